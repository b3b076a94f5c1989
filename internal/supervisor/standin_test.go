package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

// newFallbackHost returns the eligibility of a small host that knows the sizes of all hosts and has
// become eligible, since no larger host holds a cell.
func newFallbackHost(t *testing.T, storeReachable *bool) *eligibility {
	t.Helper()
	e := &eligibility{
		cores:          0.2,
		largestHost:    func() (float64, bool) { return 0.8, true },
		cellOwners:     func() []string { return []string{"self"} },
		coresOf:        func(string) float64 { return 0.2 },
		storeReachable: func() bool { return *storeReachable }, largerSeenAt: time.Now(),
	}
	_ = e.eligible()
	time.Sleep(fallbackDelay + time.Millisecond)
	if !e.eligible() {
		t.Fatal("not eligible although no larger host holds a cell")
	}
	return e
}

// TestFallbackHostKeepsCellsThroughLateRead guards against a smaller host that gives up its cells
// because a single read of the store is late: the elector leaves the group as soon as the host is
// not eligible, even while its membership is valid.
func TestFallbackHostKeepsCellsThroughLateRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storeReachable := true
		e := newFallbackHost(t, &storeReachable)
		storeReachable = false
		if !e.eligible() {
			t.Error("not eligible while a read is late")
		}
		time.Sleep(400 * time.Millisecond)
		storeReachable = true
		if !e.eligible() {
			t.Error("not eligible after a late read, although no other host holds cells")
		}
	})
}

// TestHostWithoutCellsKeepsLookingUpHolders guards against an idle host that takes the store for
// unreachable only because it looks up the holders too rarely: the time between two successful
// look-ups must stay below fallbackDelay.
func TestHostWithoutCellsKeepsLookingUpHolders(t *testing.T) {
	for name, slow := range map[string]time.Duration{
		"usual latency": 0, "tenfold latency": 40 * time.Millisecond, "200 ms latency": 200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulator.NewStore(1, 1)
				store.SetFaults(simulator.StoreFaults{Slow: slow})
				l := intake.NewLocator(store.Client("small"), "self", 1, zap.NewNop())
				go func() { _ = l.Run(t.Context()) }()
				sleeper.Pause(t.Context(), time.Second)
				for range 10_000 {
					sleeper.Pause(t.Context(), time.Millisecond)
					if age := time.Since(l.LastLookup()); age > fallbackDelay {
						t.Fatalf("store counts as unreachable, last reached %v ago", age)
					}
				}
			})
		})
	}
}
