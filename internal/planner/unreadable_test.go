package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestUnreadableWorkerKeepsItsRuns checks that a worker whose directory entry cannot be read gets
// no new runs, keeps its runs under a renewed lease, and is used again once its entry can be read.
func TestUnreadableWorkerKeepsItsRuns(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	poll, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.confirmStart(s)
	setUnreadable := func(unreadable bool) {
		e := b.dir.Workers["w"]
		e.Unreadable = unreadable
		b.dir.Workers["w"] = e
		b.update(time.Millisecond)
	}
	setUnreadable(true)
	b.submit("00000000000000bb", submitter.Step{Count: 1, Size: smallSize})
	b.save()
	clock := connector.WorkerClock(1)
	for range 20 {
		const pause = 700 * time.Millisecond
		if n := len(b.starts()); n != 0 {
			t.Fatalf("%d starts on a worker whose entry cannot be read", n)
		}
		if !ok || poll.Order.LeaseUntil == nil {
			t.Fatalf("poll %+v (sent: %v), want one that renews the lease", poll, ok)
		}
		clock += connector.WorkerClock(pause)
		b.update(pause, PollAnswered{Worker: "w", Order: poll.Order, SentAt: b.now, Answer: connector.HoldAnswer{
			OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: clock}, StartedAt: 1,
			Active: []connector.ActiveRun{{Run: s.Order.Run}},
		}})
		poll, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		b.save()
	}
	if n := len(b.p.workers["w"].runs); n != 1 {
		t.Fatalf("%d runs, want the one started before", n)
	}
	setUnreadable(false)
	b.save()
	if starts := b.starts(); len(starts) != 1 || starts[0].Order.Run.Task.Job != "00000000000000bb" {
		t.Errorf("starts %+v after the entry became readable, want one of the waiting task", starts)
	}
}
