package supervisor

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLargestHostsHoldCells checks which hosts may hold cells, at once and after a
// while.
func TestLargestHostsHoldCells(t *testing.T) {
	sizes := map[string]float64{"large": 0.8, "small": 0.2}
	tests := map[string]struct {
		largest float64
		known   bool
		owners  []string
		atOnce  bool
		later   bool
	}{
		"of the largest kind":       {0.2, true, []string{"small"}, true, true},
		"a larger one holds":        {0.8, true, []string{"small", "large"}, false, false},
		"no larger one holds":       {0.8, true, []string{"small"}, false, true},
		"nobody holds":              {0.8, true, nil, false, true},
		"sizes are not known yet":   {0.2, false, nil, false, true},
		"owner is not known":        {0.8, true, []string{"other"}, false, true},
		"all hosts are of one size": {0.2, true, nil, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &candidacy{
					cores: 0.2, largest: func() (float64, bool) { return tt.largest, tt.known },
					owners: func() []string { return tt.owners }, coresOf: func(a string) float64 { return sizes[a] }, largerSeen: time.Now(),
				}
				if got := c.candidate(); got != tt.atOnce {
					t.Errorf("candidate at once: %v, want %v", got, tt.atOnce)
				}
				time.Sleep(standInAfter + time.Millisecond)
				if got := c.candidate(); got != tt.later {
					t.Errorf("candidate later: %v, want %v", got, tt.later)
				}
			})
		})
	}
}

// TestHostThatWasCutOffDoesNotStandIn checks that a small host which could not know the
// others waits, once it can, as long as one that has just started: it has not seen that
// no larger host holds cells, but seen nothing.
func TestHostThatWasCutOffDoesNotStandIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := false
		c := &candidacy{
			cores:   0.2,
			largest: func() (float64, bool) { return 0.8, reached },
			owners:  func() []string { return nil },
			coresOf: func(string) float64 { return 0 }, largerSeen: time.Now(),
		}
		for range 10 {
			time.Sleep(standInAfter / 5)
			_ = c.candidate()
		}
		reached = true
		if c.candidate() {
			t.Fatal("stands in as soon as it reaches the store, before it knows who holds cells")
		}
		for range 6 {
			time.Sleep(standInAfter / 5)
			_ = c.candidate()
		}
		if !c.candidate() {
			t.Fatal("does not stand in although no larger host holds cells")
		}
	})
}

// TestHostInACutDoesNotStandIn checks that the time in which the store is not reached does
// not count as one in which no larger host held cells.
func TestHostInACutDoesNotStandIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := true
		c := &candidacy{
			cores:     0.2,
			largest:   func() (float64, bool) { return 0.8, true },
			owners:    func() []string { return nil },
			coresOf:   func(string) float64 { return 0 },
			reachable: func() bool { return reached }, largerSeen: time.Now(),
		}
		_ = c.candidate()
		reached = false
		time.Sleep(2 * standInAfter)
		if c.candidate() {
			t.Fatal("stands in while it does not reach the store")
		}
		reached = true
		time.Sleep(standInAfter / 2)
		if c.candidate() {
			t.Fatal("stands in soon after a cut")
		}
		time.Sleep(standInAfter)
		if !c.candidate() {
			t.Fatal("does not stand in although no larger host holds cells")
		}
	})
}
