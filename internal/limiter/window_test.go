package limiter

import (
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
					w.Enter()
				}
				for range r.inTime {
					w.InTime(now)
				}
				for range r.inTime {
					w.Leave()
				}
				sent := now
				for range r.late {
					w.Late(now.Add(time.Millisecond), sent)
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
		if w.Late(sent.Add(time.Second+time.Duration(i)), sent) {
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
		w.Enter()
		w.InTime(now)
		w.Leave()
	}
	if got := w.Limit(); got != firstWindow {
		t.Fatalf("%d calls allowed, want %d", got, firstWindow)
	}
}
