package limiter

import (
	"fmt"
	"testing"
	"time"
)

// TestWindowFollowsAnswers checks the limit of a window after rounds of answers that were in
// time or late.
func TestWindowFollowsAnswers(t *testing.T) {
	type round struct{ inTime, late int }
	tests := map[string]struct {
		rounds    []round
		low, high int
	}{
		"new":                      {nil, initialWindow, initialWindow},
		"in time":                  {[]round{{initialWindow, 0}}, 2 * initialWindow, 2 * initialWindow},
		"all late":                 {[]round{{0, initialWindow}}, minWindow, initialWindow / 2},
		"never answered":           {[]round{{0, 1000}, {0, 1000}, {0, 1000}, {0, 1000}}, minWindow, minWindow},
		"a quarter is late":        {[]round{{48, 16}}, initialWindow, 2 * initialWindow},
		"recovers from congestion": {[]round{{0, initialWindow}, {400, 0}}, minWindow + 1, initialWindow},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWindow()
			now := time.UnixMilli(1_000_000)
			for _, r := range tt.rounds {
				now = now.Add(time.Second)
				for range r.inTime {
					w.Acquire()
				}
				for range r.inTime {
					w.OnAnswer(now, now)
				}
				for range r.inTime {
					w.Release()
				}
				sent := now
				for range r.late {
					w.OnTimeout(now.Add(time.Millisecond), sent)
				}
			}
			if got := w.Limit(); got < tt.low || got > tt.high {
				t.Fatalf("limit %d, want %d to %d", got, tt.low, tt.high)
			}
		})
	}
}

// TestOneBurstDecreasesWindowOnce checks that all timeouts of one burst together decrease the
// window once.
func TestOneBurstDecreasesWindowOnce(t *testing.T) {
	w := NewWindow()
	sent := time.UnixMilli(1_000_000)
	decreases := 0
	for i := range 10 * initialWindow {
		if w.OnTimeout(sent.Add(time.Second+time.Duration(i)), sent) {
			decreases++
		}
	}
	if decreases != 1 {
		t.Fatalf("%d decreases, want 1", decreases)
	}
}

// TestUnusedWindowDoesNotGrow checks that a window does not grow while only a small part of it
// is used: answers to few calls do not show that many would be answered in time.
func TestUnusedWindowDoesNotGrow(t *testing.T) {
	w := NewWindow()
	now := time.UnixMilli(1_000_000)
	for range 1000 {
		w.Acquire()
		w.OnAnswer(now, now)
		w.Release()
	}
	if got := w.Limit(); got != initialWindow {
		t.Fatalf("limit %d, want %d", got, initialWindow)
	}
}

// urgentTarget is the users' target for the time until an urgent task starts.
const urgentTarget = 2100 * time.Millisecond

// TestWindowRecoversWithinUrgentTarget checks that a window of any size is back at its former
// limit within urgentTarget after a decrease.
func TestWindowRecoversWithinUrgentTarget(t *testing.T) {
	const round = 100 * time.Millisecond
	for _, size := range []int{64, 400, 1600} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w, now := NewWindow(), time.UnixMilli(1_000_000)
			runRound := func() {
				n := w.Limit()
				for range n {
					w.Acquire()
				}
				for range n {
					w.OnAnswer(now, now)
				}
				for range n {
					w.Release()
				}
				now = now.Add(round)
			}
			for w.Limit() < size {
				runRound()
			}
			before := w.Limit()
			for sent := now; !w.OnTimeout(now, sent); {
				now = now.Add(time.Millisecond)
			}
			for end := now.Add(urgentTarget); now.Before(end); {
				runRound()
			}
			if got := w.Limit(); got < before {
				t.Errorf("limit %d, %v after a decrease, want %d as before", got, urgentTarget, before)
			}
		})
	}
}

// simulatedCaller simulates a caller that transmits one call after the other, each of which is
// answered after the same round trip. Calls beyond the window are queued.
type simulatedCaller struct {
	window     *Window
	throughput float64
	roundTrip  time.Duration
	// stallPerSecond is how long transmission stops at the start of each second.
	stallPerSecond time.Duration

	// idleAt is when the last call has been transmitted.
	now, idleAt time.Time
	queued      float64
	inFlight    []pendingCall
}

// pendingCall is a call in flight and the time at which its answer arrives.
type pendingCall struct{ sent, answerAt time.Time }

// run advances the simulation by d while calls arrive at a rate per second.
func (c *simulatedCaller) run(d time.Duration, offered float64) {
	const step = time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for len(c.inFlight) > 0 && !c.inFlight[0].answerAt.After(c.now) {
			call := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.window.OnAnswer(c.now, call.sent)
			c.window.Release()
		}
		for c.queued += offered * step.Seconds(); c.queued >= 1 && !c.window.Full(); c.queued-- {
			c.window.Acquire()
			c.inFlight = append(c.inFlight, pendingCall{c.now, c.transmit().Add(c.roundTrip)})
		}
	}
}

// transmit queues a call for transmission and returns when it has been transmitted.
func (c *simulatedCaller) transmit() time.Time {
	if c.idleAt.Before(c.now) {
		c.idleAt = c.now
	}
	c.idleAt = c.idleAt.Add(time.Duration(float64(time.Second) / c.throughput))
	if offset := c.idleAt.Sub(c.idleAt.Truncate(time.Second)); offset < c.stallPerSecond {
		c.idleAt = c.idleAt.Add(c.stallPerSecond - offset)
	}
	return c.idleAt
}

// The capacity of the largest deployment's holder and its usual load, in calls per second.
const peakThroughput, usualLoad = 4600, 3500

// TestLoadIsServedDespiteStalls checks that the queue does not keep growing under a load below
// the caller's capacity when the caller stalls briefly each second, as in garbage collection or
// a slow append to the store.
func TestLoadIsServedDespiteStalls(t *testing.T) {
	for _, stall := range []time.Duration{0, 80 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(stall.String(), func(t *testing.T) {
			c := &simulatedCaller{window: NewWindow(), throughput: peakThroughput, roundTrip: 90 * time.Millisecond, stallPerSecond: stall, now: time.UnixMilli(1_000_000)}
			c.run(30*time.Second, usualLoad)
			if limit := usualLoad * urgentTarget.Seconds(); c.queued > limit {
				t.Errorf("%.0f calls queued, more than %.0f; limit %d", c.queued, limit, c.window.Limit())
			}
		})
	}
}

// TestBacklogOfBurstIsDrained checks that the queue which a burst above the caller's capacity
// leaves is drained within twice the time that it takes at full throughput.
func TestBacklogOfBurstIsDrained(t *testing.T) {
	const (
		burst     = usualLoad * 3 / 2
		duration  = 6 * time.Second
		drainTime = duration * (burst - peakThroughput) / (peakThroughput - usualLoad)
	)
	for _, delay := range []time.Duration{5 * time.Millisecond, 90 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			c := &simulatedCaller{window: NewWindow(), throughput: peakThroughput, roundTrip: delay, now: time.UnixMilli(1_000_000)}
			c.run(10*time.Second, usualLoad)
			c.run(duration, burst)
			c.run(2*drainTime, usualLoad)
			if c.queued > usualLoad/10 {
				t.Errorf("%.0f calls queued %v after the burst, limit %d", c.queued, 2*drainTime, c.window.Limit())
			}
		})
	}
}
