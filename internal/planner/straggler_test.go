package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRestoredRunsDoNotMakeStragglers checks that runs which end soon after a takeover do
// not make the others of their step look slow: how long the earlier holder saw them
// run is not known.
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
			t.Errorf("%s is stopped though it is as fast as the others", s.Run.Task)
		}
	}
	if w := b.p.workers["w"]; w.failures != 0 {
		t.Errorf("%d failures are held against the worker", w.failures)
	}
}
