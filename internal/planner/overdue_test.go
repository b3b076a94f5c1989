package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestUnconfirmedRunsAreLogged checks that a run is logged once it has not been confirmed for
// longer than a lease, whether its claim is not stored or its start not answered.
func TestUnconfirmedRunsAreLogged(t *testing.T) {
	tests := map[string]struct {
		setUp         func(b *testbed)
		phase, reason string
	}{
		"claim that is never stored": {func(b *testbed) { b.submit("00000000000000aa", submitter.Step{Count: 1, Size: smallSize}) }, "claimed", "are not listed"},
		"start without an answer":    {func(b *testbed) { b.startOne(submitter.Step{Count: 1, Size: smallSize}) }, "starting", "are not listed"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := &logRecorder{}
			b := newTestbed(t, workerEntry("w"))
			b.p.log = log
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			tt.setUp(b)
			w := b.p.workers["w"]
			delete(b.dir.Workers, "w")
			w.leaseEnd = b.now.Add(time.Minute)
			b.update(b.p.settings.Lease)
			if n := len(log.overdue); n != 0 {
				t.Fatalf("%d runs logged within a lease, want 0", n)
			}
			b.update(overdueScanInterval)
			if len(log.overdue) != 1 || log.overdue[0].Phase != tt.phase || log.overdue[0].Reason != tt.reason {
				t.Fatalf("logged %+v, want one run in phase %s whose worker's reason is %q", log.overdue, tt.phase, tt.reason)
			}
			if s := b.p.Stats(); s.OverdueRuns != 1 || s.SilentWorkers != 1 {
				t.Fatalf("%d runs and %d workers counted, want 1 and 1", s.OverdueRuns, s.SilentWorkers)
			}
		})
	}
}
