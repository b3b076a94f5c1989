package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRunStartedAfterItsStopIsStopped guards against runs of a cancelled job that go on because
// their worker carried out the start after it had answered the stop.
func TestRunStartedAfterItsStopIsStopped(t *testing.T) {
	// The worker's incarnation that lists the run. The start was sent to incarnation 1.
	tests := map[string]identifier.UnixMillis{"same incarnation": 1, "later incarnation": 2}
	for name, incarnation := range tests {
		t.Run(name, func(t *testing.T) {
			b, s := newRunningJob(t)
			b.update(0, JobCancelled{ID: s.Order.Run.Task.Job})
			stop, ok := findCommand[StopRun](b.commands, func(StopRun) bool { return true })
			if !ok {
				t.Fatal("no stop was sent")
			}
			b.update(0, StopAnswered{Worker: "w", Run: stop.Run, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
			b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
			stopped := false
			for range 20 {
				b.answerNewPoll("w", connector.HoldAnswer{StartedAt: incarnation, Active: []connector.ActiveRun{{Run: s.Order.Run}}})
				_, again := findCommand[StopRun](b.commands, func(StopRun) bool { return true })
				stopped = stopped || again
				b.update(100 * time.Millisecond)
				_, again = findCommand[StopRun](b.commands, func(StopRun) bool { return true })
				stopped = stopped || again
			}
			if !stopped {
				t.Error("the run is not stopped within 2 s of being listed")
			}
		})
	}
}

// newRunningJob returns a testbed with a start in flight to worker w.
func newRunningJob(t *testing.T) (*testbed, StartRun) {
	t.Helper()
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	return b, b.startOne(submitter.Step{Count: 1, Size: smallSize})
}
