package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestLateStartInNextIncarnationKeepsItsTask guards against a second run of a task beside a first
// one whose start was sent to an earlier incarnation of the worker and executed by a later one. The
// lease of that run is granted by the clock of the later incarnation.
func TestLateStartInNextIncarnationKeepsItsTask(t *testing.T) {
	tests := map[string]func(b *testbed, s StartRun){
		"start unanswered": func(*testbed, StartRun) {},
		"start confirmed":  func(b *testbed, s StartRun) { b.confirmStart(s) },
		"start sent again to the next incarnation": func(b *testbed, s StartRun) {
			b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 2})
			b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
			if n := len(b.starts()); n != 1 {
				b.t.Fatalf("%d starts, want one repeat", n)
			}
		},
		"poll answered before the run is listed": func(b *testbed, _ StartRun) {
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
				t.Fatal("run was given up while it may still be active")
			}
		})
	}
}

// TestRunThatEndsInTimeStaysOnADrainingWorker guards against stopping a run that would have ended
// before its worker shuts down.
func TestRunThatEndsInTimeStaysOnADrainingWorker(t *testing.T) {
	const left = 4 * time.Second
	draining := func(left time.Duration) connector.WorkerEntry {
		e := workerEntry("w")
		e.Draining, e.MinRemaining = true, &left
		return e
	}
	tests := map[string]func(b *testbed, s StartRun){
		"notice given once": func(b *testbed, _ StartRun) { b.dir.Workers["w"] = draining(left) },
		"notice updated as time passes": func(b *testbed, s StartRun) {
			for passed := time.Duration(0); passed < left/2; passed += left / 8 {
				b.dir.Workers["w"] = draining(left - passed)
				b.answerNewPoll("w", connector.HoldAnswer{Active: []connector.ActiveRun{{Run: s.Order.Run}}})
				b.update(left / 8)
			}
		},
		"new holder": func(b *testbed, s StartRun) {
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
				t.Errorf("run %v was stopped", stop.Run)
			}
			if r := b.p.workers["w"].runs[s.Order.Run]; r == nil || r.unwanted {
				t.Error("the run was given up")
			}
		})
	}
}

// TestEndsOfAnEarlierIncarnationAcknowledgeNothing guards against ends that are lost: a batch that is
// stored after its worker has restarted must not acknowledge ends of the new incarnation, which
// have the same numbers and are not stored yet.
func TestEndsOfAnEarlierIncarnationAcknowledgeNothing(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	unknown := func(number identifier.EndNumber) []connector.EndedRun {
		return []connector.EndedRun{{Number: number, Run: connector.RunID{Task: identifier.JobTask{Job: "00000000000000bb"}, Attempt: 1}, Reason: connector.EndDone}}
	}
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Ended: unknown(3)})
	batch := b.p.TakeBatch()
	b.p.workers["w"].nextPoll = b.now
	b.update(unsavedPause)
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 2, Ended: unknown(3)})
	b.update(0, BatchSaved{batch})
	if n := b.p.workers["w"].storedEnd; n != 0 {
		t.Fatalf("ends up to %d of the new incarnation count as stored, want none", n)
	}
	b.save()
	if n := b.p.workers["w"].storedEnd; n != 3 {
		t.Fatalf("ends up to %d count as stored, want 3", n)
	}
}

// TestAnswersToStartsAllowNoAcknowledgement guards against ends that are lost: a worker that has
// restarted while its holder was paused answers a start, which does not tell its incarnation, and
// must not be told to forget ends by the numbers of the former one.
func TestAnswersToStartsAllowNoAcknowledgement(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	ended := []connector.EndedRun{{Number: 9, Run: connector.RunID{Task: identifier.JobTask{Job: "00000000000000bb"}, Attempt: 1}, Reason: connector.EndDone}}
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Ended: ended})
	b.save()
	if n := b.p.workers["w"].storedEnd; n != 9 {
		t.Fatalf("ends up to %d are stored, want 9", n)
	}
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.update(2 * time.Second)
	b.update(0, PollAnswered{Worker: "w", SentAt: b.now, Err: errNoAnswer})
	b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1}})
	if poll := b.nextPoll(); poll.Order.Forget != 0 {
		t.Fatalf("the worker is told to forget ends up to %d", poll.Order.Forget)
	}
}
