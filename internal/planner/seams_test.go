package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestStartIsNotRepeatedAtARestartedWorker guards against a start that is sent again to a worker which
// has come back, maybe smaller, since it was sent first.
func TestStartIsNotRepeatedAtARestartedWorker(t *testing.T) {
	e, small := workerEntry("w"), workerEntry("small")
	e.StartedAt, small.Capacity.Processors, small.Draining = 1, 500, true
	b := newTestbed(t, e, small)
	b.update(0)
	b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 2})
	b.update(time.Millisecond, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
	if again := b.starts(); len(again) > 0 {
		t.Errorf("sent again: %+v", again)
	}
}

// TestWorkBehindALimitIsNoBacklog guards against jobs of other teams that are refused because one team
// waits for its limit.
func TestWorkBehindALimitIsNoBacklog(t *testing.T) {
	b := quotaTestbed(t, 1000, workerEntry("w"), workerEntry("x"))
	b.submitFor("t", quotaJob, submitter.Step{Count: 1000, Size: smallSize, Estimate: identifier.Duration(time.Second)})
	b.startAll()
	b.update(time.Second)
	for _, s := range b.p.Backlog() {
		if s.Work[queueConfig.Priority] > 0 {
			t.Errorf("backlog %+v, want none beside idle workers", s)
		}
	}
}

// TestUnansweredStartsProlongNoWait guards against a wait that begins anew when the outcome of a start
// stays unknown.
func TestUnansweredStartsProlongNoWait(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	ready := b.p.lookupTask(s.Order.Run.Task).readyAt
	for range maxStartTries {
		b.update(300*time.Millisecond, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
	}
	b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 2}, StartedAt: 1})
	task := b.p.lookupTask(s.Order.Run.Task)
	if len(task.runs) > 0 && task.runs[0].id == s.Order.Run {
		t.Fatal("the run was not given up")
	}
	if since := task.readyAt; !since.Equal(ready) {
		t.Errorf("ready since %v, want %v", since, ready)
	}
}
