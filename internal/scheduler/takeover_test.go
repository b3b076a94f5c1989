package scheduler

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// TestTakeoversDoNotDelayReleases guards against tasks of a lost worker that stay claimed for longer
// with each holder of the cell lease, since each counts from its own beginning how long an earlier
// one may have renewed the worker's lease. The last of several holders has watched the others.
func TestTakeoversDoNotDelayReleases(t *testing.T) {
	const (
		termLength = 10 * time.Second
		terms      = 4
		// slack allows for the calls that the last holder makes itself, and for its resync.
		slack = 2 * time.Second
	)
	ownWait := lostAfterTTLs * testTiming.WorkerTTL
	isRelease := func(c Command) bool {
		a, ok := c.(Append)
		if !ok {
			return false
		}
		_, ok = a.Body.(encoder.Release)
		return ok
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(parser.InService, 1)
		h.Update(LeaseChecked{Epoch: 1})
		h.Update(TaskChanged{tracker.Task{
			ID: "r", Pool: "runs", State: tracker.StateClaimed, Attempt: 1, DataCentre: "a", Worker: "w0", Size: size(2, 4), Repeatable: true,
		}})
		lost := time.Now()
		var epoch identifier.Epoch = 1
		for range terms {
			time.Sleep(termLength)
			epoch++
			h.Update(LeaseChecked{Epoch: epoch})
		}
		epoch++
		last := time.Now()
		for !slices.ContainsFunc(h.commands, isRelease) && time.Since(lost) < 5*time.Minute {
			h.holdLease(epoch)
			h.tick(time.Now())
			if h.workers["w0"].callPending {
				h.Update(WorkerCallFailed{Worker: "w0", Epoch: epoch})
			}
			time.Sleep(50 * time.Millisecond)
		}
		limit := max(termLength+takeoverDelay(0)+ownWait, last.Sub(lost)+ownWait) + slack
		if took := time.Since(lost); took > limit {
			t.Errorf("task released %v after its worker was lost, want at most %v after %d takeovers", took, limit, terms+1)
		}
	})
}
