package renewer

import (
	"testing"
	"time"
)

// TestFastLocalClockIsCorrectedByReadings guards against an estimate that gets ahead of the
// holder's clock since the observing host's own clock runs faster.
func TestFastLocalClockIsCorrectedByReadings(t *testing.T) {
	var tracker ClockTracker
	uptime, clock := time.Duration(0), Time(0)
	// One reading a minute for a day; the host's clock runs 50 ppm fast.
	for range 24 * 60 {
		clock += Time(time.Minute)
		uptime += time.Minute + 3*time.Millisecond
		tracker.Observe(0, ClockReading{Epoch: 1, Clock: clock}, uptime)
	}
	if ahead := time.Duration(tracker.Estimate(0, uptime).Clock - clock); ahead > 0 {
		t.Errorf("estimate is %v ahead of the holder's clock", ahead)
	}
}

// TestSuspensionOfTheHolderDoesNotShortenTheWait guards against a cell's clock that stands still
// while the holder's machine is suspended. Hosts that observed it before would then be ahead of
// the holder, and a successor on one of them would consider leases expired too early.
func TestSuspensionOfTheHolderDoesNotShortenTheWait(t *testing.T) {
	c := newTestCell()
	c.now = c.now.Add(maxInheritedLease)
	c.clocks.Observe(0, ClockReading{c.epoch, c.current().Clock()}, c.uptime())
	c.suspended = 6 * time.Second
	c.current().Resume(worker)
	c.storeBatch()
	c.confirmBatch()
	c.renew(c.holder)
	c.suspend()
	c.storeBatch()
	// The times as seen by machines that were not suspended.
	now, expiry := c.now.Add(c.suspended), c.actualExpiry.Add(c.suspended)
	next := New(Reading{now, c.uptime(), c.uptime()}, c.uptime(), maxInheritedLease, c.stored.BeginTerm(c.epoch+1, "", c.clocks.Estimate(0, c.uptime())))
	if end := next.InheritedExpiry(worker); end.Before(expiry) {
		t.Errorf("lease expires %v later than its holder expects", expiry.Sub(end))
	}
}
