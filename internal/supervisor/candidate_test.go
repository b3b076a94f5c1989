package supervisor

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOnlyLargestHostsAreEligibleAtOnce checks which hosts may hold cells at start and after
// fallbackDelay, by their size and by who holds cells already.
func TestOnlyLargestHostsAreEligibleAtOnce(t *testing.T) {
	sizes := map[string]float64{"large": 0.8, "small": 0.2}
	tests := map[string]struct {
		largest    float64
		sizesKnown bool
		owners     []string
		initially  bool
		afterDelay bool
	}{
		"one of the largest":        {0.2, true, []string{"small"}, true, true},
		"larger host holds a cell":  {0.8, true, []string{"small", "large"}, false, false},
		"smaller host holds a cell": {0.8, true, []string{"small"}, false, true},
		"no host holds a cell":      {0.8, true, nil, false, true},
		"sizes not known yet":       {0.2, false, nil, false, true},
		"size of owner not known":   {0.8, true, []string{"other"}, false, true},
		"all hosts of one size":     {0.2, true, nil, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &eligibility{
					cores: 0.2, largestHost: func() (float64, bool) { return tt.largest, tt.sizesKnown },
					cellOwners: func() []string { return tt.owners }, coresOf: func(a string) float64 { return sizes[a] }, largerSeenAt: time.Now(),
				}
				if got := e.eligible(); got != tt.initially {
					t.Errorf("eligible at start: %v, want %v", got, tt.initially)
				}
				time.Sleep(fallbackDelay + time.Millisecond)
				if got := e.eligible(); got != tt.afterDelay {
					t.Errorf("eligible after the delay: %v, want %v", got, tt.afterDelay)
				}
			})
		})
	}
}

// TestFallbackDelayRestartsAfterHostSizesBecomeKnown guards against a small host that takes cells
// as soon as it reaches the store for the first time. Until then it saw no hosts at all, which
// does not show that no larger one holds a cell.
func TestFallbackDelayRestartsAfterHostSizesBecomeKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sizesKnown := false
		e := &eligibility{
			cores:       0.2,
			largestHost: func() (float64, bool) { return 0.8, sizesKnown },
			cellOwners:  func() []string { return nil },
			coresOf:     func(string) float64 { return 0 }, largerSeenAt: time.Now(),
		}
		for range 10 {
			time.Sleep(fallbackDelay / 5)
			_ = e.eligible()
		}
		sizesKnown = true
		if e.eligible() {
			t.Fatal("eligible as soon as the sizes are known, before it can know who holds cells")
		}
		for range 6 {
			time.Sleep(fallbackDelay / 5)
			_ = e.eligible()
		}
		if !e.eligible() {
			t.Fatal("not eligible although no larger host holds a cell")
		}
	})
}

// TestFallbackDelayExcludesStoreOutage checks that the time in which this host does not reach the
// store does not count towards fallbackDelay, since a larger host may hold cells meanwhile.
func TestFallbackDelayExcludesStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storeReachable := true
		e := &eligibility{
			cores:          0.2,
			largestHost:    func() (float64, bool) { return 0.8, true },
			cellOwners:     func() []string { return nil },
			coresOf:        func(string) float64 { return 0 },
			storeReachable: func() bool { return storeReachable }, largerSeenAt: time.Now(),
		}
		_ = e.eligible()
		storeReachable = false
		time.Sleep(2 * fallbackDelay)
		if e.eligible() {
			t.Fatal("eligible while it does not reach the store")
		}
		storeReachable = true
		time.Sleep(fallbackDelay / 2)
		if e.eligible() {
			t.Fatal("eligible too soon after the store is reachable again")
		}
		time.Sleep(fallbackDelay)
		if !e.eligible() {
			t.Fatal("not eligible although no larger host holds a cell")
		}
	})
}
