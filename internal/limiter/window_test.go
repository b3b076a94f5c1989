package limiter

import (
	"fmt"
	"testing"
	"time"
)

// TestWindowFollowsAnswers checks how many calls a window allows after rounds of
// answers that were in time or late.
func TestWindowFollowsAnswers(t *testing.T) {
	type round struct{ inTime, late int }
	tests := map[string]struct {
		rounds      []round
		least, most int
	}{
		"new":                      {nil, firstWindow, firstWindow},
		"in time":                  {[]round{{firstWindow, 0}}, 2 * firstWindow, 2 * firstWindow},
		"all late":                 {[]round{{0, firstWindow}}, leastWindow, firstWindow / 2},
		"never answered":           {[]round{{0, 1000}, {0, 1000}, {0, 1000}, {0, 1000}}, leastWindow, leastWindow},
		"a quarter is late":        {[]round{{48, 16}}, firstWindow, 2 * firstWindow},
		"recovers after congested": {[]round{{0, firstWindow}, {400, 0}}, leastWindow + 1, firstWindow},
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
			if got := w.Limit(); got < tt.least || got > tt.most {
				t.Fatalf("%d calls allowed, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

// TestOneBurstCutsOnce checks that the late answers of one burst count once.
func TestOneBurstCutsOnce(t *testing.T) {
	w := NewWindow()
	sent := time.UnixMilli(1_000_000)
	cuts := 0
	for i := range 10 * firstWindow {
		if w.OnTimeout(sent.Add(time.Second+time.Duration(i)), sent) {
			cuts++
		}
	}
	if cuts != 1 {
		t.Fatalf("%d cuts, want 1", cuts)
	}
}

// TestUnusedWindowDoesNotGrow checks that answers to few calls do not allow many.
func TestUnusedWindowDoesNotGrow(t *testing.T) {
	w := NewWindow()
	now := time.UnixMilli(1_000_000)
	for range 1000 {
		w.Acquire()
		w.OnAnswer(now, now)
		w.Release()
	}
	if got := w.Limit(); got != firstWindow {
		t.Fatalf("%d calls allowed, want %d", got, firstWindow)
	}
}

// urgentTarget is by when urgent work has to start, the users' target.
const urgentTarget = 2100 * time.Millisecond

// TestWindowRegainsACutInTimeForUrgentWork checks that a window which was cut once allows
// as many calls as before within the target for urgent work, however large it was.
func TestWindowRegainsACutInTimeForUrgentWork(t *testing.T) {
	const round = 100 * time.Millisecond
	for _, size := range []int{64, 400, 1600} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w, now := NewWindow(), time.UnixMilli(1_000_000)
			answer := func() {
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
				answer()
			}
			before := w.Limit()
			for sent := now; !w.OnTimeout(now, sent); {
				now = now.Add(time.Millisecond)
			}
			for end := now.Add(urgentTarget); now.Before(end); {
				answer()
			}
			if got := w.Limit(); got < before {
				t.Errorf("%d calls allowed %v after a cut, %d before", got, urgentTarget, before)
			}
		})
	}
}

// line is a caller whose calls pass one after the other, each with the same way there
// and back; what the window does not allow waits.
type line struct {
	window *Window
	rate   float64
	delay  time.Duration
	// stall is how long nothing passes in each second.
	stall time.Duration

	now, free time.Time
	waiting   float64
	underWay  []passing
}

// passing is a call under way and when its answer comes.
type passing struct{ sent, due time.Time }

// run lets time pass while calls are offered at a rate.
func (l *line) run(d time.Duration, offered float64) {
	const step = time.Millisecond
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(step)
		for len(l.underWay) > 0 && !l.underWay[0].due.After(l.now) {
			c := l.underWay[0]
			l.underWay = l.underWay[1:]
			l.window.OnAnswer(l.now, c.sent)
			l.window.Release()
		}
		for l.waiting += offered * step.Seconds(); l.waiting >= 1 && !l.window.Full(); l.waiting-- {
			l.window.Acquire()
			l.underWay = append(l.underWay, passing{l.now, l.pass().Add(l.delay)})
		}
	}
}

// pass returns when a call that is sent now has passed.
func (l *line) pass() time.Time {
	if l.free.Before(l.now) {
		l.free = l.now
	}
	l.free = l.free.Add(time.Duration(float64(time.Second) / l.rate))
	if into := l.free.Sub(l.free.Truncate(time.Second)); into < l.stall {
		l.free = l.free.Add(l.stall - into)
	}
	return l.free
}

// The load of the largest deployment, in calls a second: what its holder carries and what
// it is offered.
const carried, usual = 4600, 3500

// TestLoadIsServedDespiteStalls checks that a load which a caller carries does not wait
// longer and longer when it is held up for a moment each second, as by the collection of
// garbage or by a slow append.
func TestLoadIsServedDespiteStalls(t *testing.T) {
	for _, stall := range []time.Duration{0, 80 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(stall.String(), func(t *testing.T) {
			l := &line{window: NewWindow(), rate: carried, delay: 90 * time.Millisecond, stall: stall, now: time.UnixMilli(1_000_000)}
			l.run(30*time.Second, usual)
			if most := usual * urgentTarget.Seconds(); l.waiting > most {
				t.Errorf("%.0f calls wait, more than %.0f; the window allows %d", l.waiting, most, l.window.Limit())
			}
		})
	}
}

// TestBacklogOfABurstIsWorkedOff checks that a load which a caller carries is carried
// again after a burst: what waits is gone after twice the time that the rate needs.
func TestBacklogOfABurstIsWorkedOff(t *testing.T) {
	const (
		burst  = usual * 3 / 2
		length = 6 * time.Second
		needed = length * (burst - carried) / (carried - usual)
	)
	for _, delay := range []time.Duration{5 * time.Millisecond, 90 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			l := &line{window: NewWindow(), rate: carried, delay: delay, now: time.UnixMilli(1_000_000)}
			l.run(10*time.Second, usual)
			l.run(length, burst)
			l.run(2*needed, usual)
			if l.waiting > usual/10 {
				t.Errorf("%.0f calls wait %v after the burst, the window allows %d", l.waiting, 2*needed, l.window.Limit())
			}
		})
	}
}
