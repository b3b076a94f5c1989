package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRunStartedAfterItsStopIsStopped guards against runs of a cancelled job that go on since their
// start was carried out after their stop was answered.
func TestRunStartedAfterItsStopIsStopped(t *testing.T) {
	// The life that lists the run; the start was sent to the first.
	tests := map[string]identifier.UnixMillis{"in the same life": 1, "in a later life": 2}
	for name, born := range tests {
		t.Run(name, func(t *testing.T) {
			b, s := newRunningJob(t)
			b.update(0, JobCancelled{ID: s.Order.Run.Task.Job})
			stop, ok := findCommand[StopRun](b.commands, func(StopRun) bool { return true })
			if !ok {
				t.Fatal("no stop")
			}
			b.update(0, StopAnswered{Worker: "w", Run: stop.Run, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK}})
			b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
			stopped := false
			for range 20 {
				b.answerNewPoll("w", connector.HoldAnswer{StartedAt: born, Active: []connector.ActiveRun{{Run: s.Order.Run}}})
				_, again := findCommand[StopRun](b.commands, func(StopRun) bool { return true })
				stopped = stopped || again
				b.update(100 * time.Millisecond)
				_, again = findCommand[StopRun](b.commands, func(StopRun) bool { return true })
				stopped = stopped || again
			}
			if !stopped {
				t.Error("the run goes on, 2 s after it was listed")
			}
		})
	}
}

// newRunningJob returns a bench with a start on its way to worker w.
func newRunningJob(t *testing.T) (*testbed, StartRun) {
	t.Helper()
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	return b, b.startOne(submitter.Step{Count: 1, Size: smallSize})
}
