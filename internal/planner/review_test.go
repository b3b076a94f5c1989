package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

var errUnsent = errors.Mark(errors.New("no connection"), connector.ErrNotSent)

// TestCancellingALargeJobKeepsOtherLeases checks that the stops of a job with many runs
// do not delay the looks at workers on which others run.
func TestCancellingALargeJobKeepsOtherLeases(t *testing.T) {
	const workers, tasks, others = 40, 1000, 100
	const large, other identifier.Job = "00000000000000aa", "00000000000000bb"
	l := newLink(t, workers)
	l.run(time.Second)
	l.b.submit(other, submitter.Step{Count: others, Size: smallSize, LongRunning: true})
	l.b.submit(large, submitter.Step{Count: tasks, Size: smallSize, LongRunning: true})
	l.send()
	l.run(2 * (tasks + others) * orderTransitTime)
	if got := l.running(); got != tasks+others || l.lapsed > 0 {
		t.Fatalf("%d of %d tasks run, %d lapsed before the job is cancelled", got, tasks+others, l.lapsed)
	}
	l.b.update(0, JobCancelled{ID: large, At: identifier.UnixMillis(l.b.now.UnixMilli())})
	l.send()
	l.run(2 * tasks * orderTransitTime)
	if n := l.lapsedByJob[other]; n > 0 {
		t.Errorf("%d runs of another job lapsed", n)
	}
}

// TestUnsentStartOfAGangMemberIsSentAgain checks that one start which could not be sent
// does not break a gang: its members share an attempt, so that all would begin again.
func TestUnsentStartOfAGangMemberIsSentAgain(t *testing.T) {
	b := newTestbed(t, workerEntry("w"), workerEntry("v"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	b.submit("00000000000000aa", submitter.Step{Count: 2, Size: smallSize, Gang: true})
	b.save()
	starts := b.starts()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	b.confirmStart(starts[0])
	b.update(time.Millisecond, StartAnswered{Worker: starts[1].To.ID, Run: starts[1].Order.Run, Epoch: starts[1].Order.Epoch, Err: errUnsent})
	for range 10 {
		if again, ok := findCommand[StartRun](b.commands, func(s StartRun) bool { return s.Order.Run == starts[1].Order.Run }); ok {
			t.Logf("sent again: %v", again.Order.Run)
			return
		}
		b.update(50 * time.Millisecond)
		b.save()
	}
	t.Fatal("the missing member is not sent again; the gang waits until the others end alone")
}

// TestUnsentStartDoesNotDuplicateTask checks that a task whose start was not sent waits for
// another run of it that still goes on.
func TestUnsentStartDoesNotDuplicateTask(t *testing.T) {
	b := newTestbed(t, workerEntry("w"), workerEntry("v"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	s := b.startOne(longRunningStep)
	stray := s.Order.Run
	stray.Attempt = 100
	b.update(0, PollAnswered{Worker: "v", Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers["v"])}, SentAt: b.now, Answer: connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1}, StartedAt: 1, Active: []connector.ActiveRun{{Run: stray}},
	}})
	b.update(time.Millisecond, StartAnswered{Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errUnsent})
	for range 10 {
		b.update(50 * time.Millisecond)
		b.save()
		if again := b.starts(); len(again) > 0 {
			t.Fatalf("%v is started while %v has not ended", again[0].Order.Run, stray)
		}
	}
}

// TestSlowStoreDoesNotThrottleStarts checks that a store which takes long to store claims does
// not keep the link to the workers idle: tasks run within twice the time of both.
func TestSlowStoreDoesNotThrottleStarts(t *testing.T) {
	const workers, jobs, tasks = 40, 10, 100
	const slow = 600 * time.Millisecond
	l := newLink(t, workers)
	l.run(time.Second)
	l.saveDuration = slow
	for i := range jobs {
		l.b.submit(identifier.Job(fmt.Sprintf("%016x", i)), submitter.Step{Count: tasks, Size: smallSize, LongRunning: true})
	}
	l.send()
	l.run(2 * (jobs*tasks*orderTransitTime + slow))
	if got := l.running(); got != jobs*tasks {
		t.Errorf("%d of %d tasks run after twice the time that the link and the store need", got, jobs*tasks)
	}
	if l.lapsed > 0 {
		t.Errorf("%d runs lapsed", l.lapsed)
	}
}
