package renewer

import (
	"testing"
	"time"
)

// TestWitnessWithAFastClockStaysBehindTheHolder checks that a host whose clock runs a little
// faster than the holder's is corrected by what it hears.
func TestWitnessWithAFastClockStaysBehindTheHolder(t *testing.T) {
	var w ClockTracker
	uptime, clock := time.Duration(0), Time(0)
	// A day of beats each minute, 50 millionths apart.
	for range 24 * 60 {
		clock += Time(time.Minute)
		uptime += time.Minute + 3*time.Millisecond
		w.Observe(0, ClockReading{Epoch: 1, Clock: clock}, uptime)
	}
	if ahead := time.Duration(w.Estimate(0, uptime).Clock - clock); ahead > 0 {
		t.Errorf("the reading is %v ahead of the holder's clock", ahead)
	}
}

// TestHolderThatWasSuspendedIsNotAheadOfItself checks that what hosts heard before the holder's
// machine was suspended does not shorten what a successor waits.
func TestHolderThatWasSuspendedIsNotAheadOfItself(t *testing.T) {
	c := newCell()
	c.now = c.now.Add(testMost)
	c.witness.Observe(0, ClockReading{c.epoch, c.holder.Clock()}, c.uptime())
	c.suspended = 6 * time.Second
	c.holder.Resume(worker)
	c.take()
	c.saved()
	c.renew(c.holder)
	c.suspend()
	c.take()
	// By the clocks of machines that were not suspended.
	now, lease := c.now.Add(c.suspended), c.lease.Add(c.suspended)
	next := New(now, c.uptime, testMost, c.stored.BeginTerm(c.epoch+1, c.witness.Estimate(0, c.uptime())))
	if end := next.InheritedExpiry(worker, now); end.Before(lease) {
		t.Errorf("the lease ends %v after its holder counts on it", lease.Sub(end))
	}
}
