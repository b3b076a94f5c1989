package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestUnreadableWorkerKeepsItsRuns checks that a worker whose entry cannot be read takes
// nothing new, that what runs there goes on under a renewed lease, and that the worker is
// used again with the next good entry.
func TestUnreadableWorkerKeepsItsRuns(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	hold, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.confirmStart(s)
	mark := func(unreadable bool) {
		e := b.dir.Workers["w"]
		e.Unreadable = unreadable
		b.dir.Workers["w"] = e
		b.update(time.Millisecond)
	}
	mark(true)
	b.submit("00000000000000bb", submitter.Step{Count: 1, Size: smallSize})
	b.save()
	clock := connector.WorkerClock(1)
	for range 20 {
		const pause = 700 * time.Millisecond
		if n := len(b.starts()); n != 0 {
			t.Fatalf("%d starts on a worker whose entry cannot be read", n)
		}
		if !ok || hold.Order.LeaseUntil == nil {
			t.Fatalf("look %+v (sent: %v), want one that renews the lease", hold, ok)
		}
		clock += connector.WorkerClock(pause)
		b.update(pause, PollAnswered{Worker: "w", Order: hold.Order, SentAt: b.now, Answer: connector.HoldAnswer{
			OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: clock}, StartedAt: 1,
			Active: []connector.ActiveRun{{Run: s.Order.Run}},
		}})
		hold, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		b.save()
	}
	if n := len(b.p.workers["w"].runs); n != 1 {
		t.Fatalf("%d runs, want the one from before", n)
	}
	mark(false)
	b.save()
	if starts := b.starts(); len(starts) != 1 || starts[0].Order.Run.Task.Job != "00000000000000bb" {
		t.Errorf("starts %+v once the entry is good again, want that of the task that waited", starts)
	}
}
