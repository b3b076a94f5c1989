package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRunCarriedOutInALaterLifeKeepsItsTask guards against a second run of a task beside one
// that was sent to a worker's life before: its lease is what the next life grants by its own clock.
func TestRunCarriedOutInALaterLifeKeepsItsTask(t *testing.T) {
	tests := map[string]func(b *testbed, s StartRun){
		"the start had no answer": func(*testbed, StartRun) {},
		"the start was confirmed": func(b *testbed, s StartRun) { b.confirmStart(s) },
		"it was sent again to the later life": func(b *testbed, s StartRun) {
			b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 2})
			b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
			if n := len(b.starts()); n != 1 {
				b.t.Fatalf("%d starts, want it again", n)
			}
		},
		"a look came between": func(b *testbed, _ StartRun) {
			b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 2})
		},
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.p.settings.MaxLease = 2 * b.p.settings.Lease
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: connector.WorkerClock(time.Hour)}, StartedAt: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			before(b, s)
			b.answerNewPoll("w", connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Clock: connector.WorkerClock(time.Second)}, StartedAt: 2, Active: []connector.ActiveRun{{Run: s.Order.Run}},
			})
			b.failPoll("w")
			b.update(b.p.settings.MaxLease - time.Millisecond)
			if w := b.p.workers["w"]; len(w.runs) != 1 {
				t.Fatal("the run is given up while it may go on")
			}
		})
	}
}

// TestRunThatEndsInTimeStaysOnADrainingWorker guards against work that is thrown away although it
// would have ended before its worker leaves.
func TestRunThatEndsInTimeStaysOnADrainingWorker(t *testing.T) {
	const left = 4 * time.Second
	draining := func(left time.Duration) connector.WorkerEntry {
		e := workerEntry("w")
		e.Draining, e.MinRemaining = true, &left
		return e
	}
	tests := map[string]func(b *testbed, s StartRun){
		"told once": func(b *testbed, _ StartRun) { b.dir.Workers["w"] = draining(left) },
		"told again as time passes": func(b *testbed, s StartRun) {
			for passed := time.Duration(0); passed < left/2; passed += left / 8 {
				b.dir.Workers["w"] = draining(left - passed)
				b.answerNewPoll("w", connector.HoldAnswer{Active: []connector.ActiveRun{{Run: s.Order.Run}}})
				b.update(left / 8)
			}
		},
		"to a new holder": func(b *testbed, s StartRun) {
			records := []JobRecord{recordOf(b.p.jobs[s.Order.Run.Task.Job])}
			def := b.p.jobs[s.Order.Run.Task.Job].def
			b.p = New(epoch+1, b.now, b.p.settings)
			b.p.Inform(b.now, JobSubmitted{Job: def, Queue: queueConfig})
			b.p.Inform(b.now, JobsRestored{Records: records})
			b.dir.Workers["w"] = draining(left)
		},
	}
	for name, drain := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize, Estimate: identifier.Duration(left / 2)})
			b.confirmStart(s)
			drain(b, s)
			b.update(0)
			b.answerNewPoll("w", connector.HoldAnswer{Active: []connector.ActiveRun{{Run: s.Order.Run, Percent: 90}}})
			if stop, ok := findCommand[StopRun](b.commands, func(StopRun) bool { return true }); ok {
				t.Errorf("run %v is stopped", stop.Run)
			}
			if r := b.p.workers["w"].runs[s.Order.Run]; r == nil || r.unwanted {
				t.Error("the run is given up")
			}
		})
	}
}
