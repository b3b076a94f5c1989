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

// standIn returns a small host that knows the sizes of all and stands in.
func standIn(t *testing.T, reached *bool) *candidacy {
	t.Helper()
	c := &candidacy{
		cores:     0.2,
		largest:   func() (float64, bool) { return 0.8, true },
		owners:    func() []string { return []string{"self"} },
		coresOf:   func(string) float64 { return 0.2 },
		reachable: func() bool { return *reached }, largerSeen: time.Now(),
	}
	_ = c.candidate()
	time.Sleep(standInAfter + time.Millisecond)
	if !c.candidate() {
		t.Fatal("does not stand in although no larger host holds cells")
	}
	return c
}

// TestStandInKeepsItsCellsThroughALateRead checks that a host which holds cells does not
// give them back because one read of the operator's records is late: the elector
// resigns as soon as it is no candidate, although its membership is valid.
func TestStandInKeepsItsCellsThroughALateRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := true
		c := standIn(t, &reached)
		reached = false
		if !c.candidate() {
			t.Error("gives its cells back while a read is late")
		}
		time.Sleep(400 * time.Millisecond)
		reached = true
		if !c.candidate() {
			t.Error("does not hold cells after a read that was late, and nobody else does")
		}
	})
}

// TestHostWithoutCellsKnowsThatItReachesTheStore checks that a host that holds nothing
// does not count the store as away while it answers, however seldom it asks.
func TestHostWithoutCellsKnowsThatItReachesTheStore(t *testing.T) {
	for name, slow := range map[string]time.Duration{
		"usual answers": 0, "answers ten times as long": 40 * time.Millisecond, "answers that take a fifth of s": 200 * time.Millisecond,
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
					if age := time.Since(l.LastLookup()); age > standInAfter {
						t.Fatalf("store counts as away, last reached %v ago", age)
					}
				}
			})
		})
	}
}
