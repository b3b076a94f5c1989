package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRestoredRunsDoNotMakeStragglers checks that runs which end soon after a takeover do not make
// the others of their step look slow: it is not known how long they ran under the previous holder,
// so that their durations must not count.
func TestRestoredRunsDoNotMakeStragglers(t *testing.T) {
	const tasks = 4
	first := newTestbed(t, workerOfSize("w", tasks))
	first.update(0)
	first.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	step := submitter.Step{Count: tasks, Size: smallSize, Estimate: identifier.Duration(time.Second)}
	first.submit("00000000000000aa", step)
	batch := first.save()
	starts := first.starts()
	if len(starts) != tasks {
		t.Fatalf("%d starts, want %d", len(starts), tasks)
	}

	b := newTestbed(t, workerOfSize("w", tasks))
	b.p.Inform(b.now, JobSubmitted{Job: submitter.Job{ID: "00000000000000aa", Queue: queue, Steps: []submitter.Step{step}}, Queue: queueConfig})
	b.p.Inform(b.now, JobsRestored{Records: batch.Records})
	b.update(0)
	active := func(percent int, from int) []connector.ActiveRun {
		var out []connector.ActiveRun
		for _, s := range starts[from:] {
			out = append(out, connector.ActiveRun{Run: s.Order.Run, Percent: percent})
		}
		return out
	}
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1, Active: active(80, 0)})
	b.save()
	b.p.setPolling(b.p.workers["w"], false)
	b.update(50 * time.Millisecond)
	var ended []connector.EndedRun
	for n, s := range starts[:minDurationSamples] {
		ended = append(ended, connector.EndedRun{Number: identifier.EndNumber(n + 1), Run: s.Order.Run, Reason: connector.EndDone})
	}
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1, Ended: ended, Active: active(20, minDurationSamples)})
	b.p.setPolling(b.p.workers["w"], false)
	b.update(200 * time.Millisecond)
	b.p.workers["w"].nextPoll = b.now
	b.p.workers["w"].unsavedEnds = false
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1, Ended: ended, Active: active(30, minDurationSamples)})
	for _, c := range b.commands {
		if s, ok := c.(StopRun); ok {
			t.Errorf("%s is stopped although it is as fast as the others", s.Run.Task)
		}
	}
	if w := b.p.workers["w"]; w.failures != 0 {
		t.Errorf("%d failures are counted against the worker, want 0", w.failures)
	}
}

// TestEvictionsCountAcrossTakeovers guards against a task without progress that is stopped and
// started again for ever, because each holder counts its evictions from zero.
func TestEvictionsCountAcrossTakeovers(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
	number := identifier.EndNumber(0)
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	for round := range 4 {
		b.confirmStart(s)
		active := connector.HoldAnswer{StartedAt: 1, Active: []connector.ActiveRun{{Run: s.Order.Run}}}
		b.answerNewPoll("w", active)
		b.update(stallTimeout<<round - 10*time.Millisecond)
		b.answerNewPoll("w", active)
		if _, stopped := findCommand[StopRun](b.commands, func(StopRun) bool { return true }); stopped {
			t.Fatalf("run %d was stopped within %v", round+1, stallTimeout<<round)
		}
		b.update(50 * time.Millisecond)
		b.answerNewPoll("w", active)
		if _, stopped := findCommand[StopRun](b.commands, func(StopRun) bool { return true }); !stopped {
			t.Fatalf("run %d was not stopped after %v", round+1, stallTimeout<<round)
		}
		number++
		b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Ended: []connector.EndedRun{{Number: number, Run: s.Order.Run, Reason: connector.EndStopped}}})
		b.p.workers["w"].quarantinedUntil = time.Time{}
		b.replaceHolder()
		number = 0
		b.update(0)
		b.answerNewPoll("w", connector.HoldAnswer{StartedAt: identifier.UnixMillis(round + 2)})
		b.save()
		starts := b.starts()
		if len(starts) != 1 {
			t.Fatalf("%d starts after the takeover, want one", len(starts))
		}
		s = starts[0]
	}
}
