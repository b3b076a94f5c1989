package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestUnconfirmedRunsAreLogged checks that a run which is held for longer than
// a lease is told of, whatever keeps the planner from hearing of it.
func TestUnconfirmedRunsAreLogged(t *testing.T) {
	tests := map[string]struct {
		begin        func(b *testbed)
		phase, cause string
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
			tt.begin(b)
			w := b.p.workers["w"]
			delete(b.dir.Workers, "w")
			w.leaseEnd = b.now.Add(time.Minute)
			b.update(b.p.settings.Lease)
			if n := len(log.overdue); n != 0 {
				t.Fatalf("%d lines within a lease", n)
			}
			b.update(overdueScanInterval)
			if len(log.overdue) != 1 || log.overdue[0].Phase != tt.phase || log.overdue[0].Reason != tt.cause {
				t.Fatalf("lines %+v, want one: %s, %s", log.overdue, tt.phase, tt.cause)
			}
			if s := b.p.Stats(); s.OverdueRuns != 1 || s.SilentWorkers != 1 {
				t.Fatalf("%d runs and %d workers counted, want 1 and 1", s.OverdueRuns, s.SilentWorkers)
			}
		})
	}
}
