package planner

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestSummaryNamesObstacleOfScavengers guards against a summary that hides why scavengers wait
// beside processors that nobody uses.
func TestSummaryNamesObstacleOfScavengers(t *testing.T) {
	const waited = minLoggedWait + 200*time.Millisecond
	tests := map[string]struct {
		interference estimator.Interference
		// tail is the tail latency of the serving task, whose target is a second.
		tail time.Duration
		want obstacle
	}{
		"harmful although there is slack": {12, 250 * time.Millisecond, obstacleHarmful},
		"too much of the slack":           {12, 500 * time.Millisecond, obstacleSlack},
		"tail too long":                   {0, 2 * time.Second, obstacleTailHigh},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := &logRecorder{}
			entry := workerEntry("w")
			entry.Capacity.Processors = 10 * smallSize.Processors
			b := newTestbed(t, entry)
			b.p.log = log
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
			// More than half of the worker is reserved, so that the scavenger is not placed merely
			// because nothing of its job runs beside much free room.
			size := smallSize
			size.Processors *= 6
			watch := b.startOne(submitter.Step{Count: 1, Size: size, LongRunning: true, TailTarget: identifier.Duration(time.Second), Image: "watch"})
			b.confirmStart(watch)
			b.p.estimator.Set("watch", "batch", tt.interference)
			active := []connector.ActiveRun{{Run: watch.Order.Run, Percent: 100, TailLatency: tt.tail}}
			b.p.setPolling(b.p.workers["w"], false)
			b.update(100 * time.Millisecond)
			b.answerPoll("w", connector.HoldAnswer{StartedAt: 1, Active: active})
			b.submit("00000000000000ab", submitter.Step{Count: 3, Size: smallSize, Estimate: identifier.Duration(time.Minute), Scavenger: true, Image: "batch"})
			b.update(waited)
			if len(log.scavengerWaits) == 0 {
				t.Fatal("no log line about waiting scavengers")
			}
			w := log.scavengerWaits[len(log.scavengerWaits)-1]
			if w.Tasks != 3 || w.Steps != 1 || w.Oldest < minLoggedWait || w.Spare < 7*smallSize.Processors {
				t.Errorf("%+v, want three tasks of one step beside spare processors", w)
			}
			if !strings.Contains(w.Reason, string(tt.want)) {
				t.Errorf("reason %q, want workers that %s", w.Reason, tt.want)
			}
		})
	}
}

// TestSummaryComparesExpectedAndObservedLoss checks that the summary gives the slack that known
// scavengers were expected to take and the slack that they took.
func TestSummaryComparesExpectedAndObservedLoss(t *testing.T) {
	m := newMixedTestbed(t, 8)
	m.p.scavengerSummary = scavengerSummary{since: m.now}
	baseline := &m.p.jobs[m.watch.Order.Run.Task.Job].occurrences[0][0].baseline
	baseline.Observe(m.now, 1, 2)
	m.pollWithSlack(100*time.Millisecond, 1.6)
	w := m.p.scavengerWait()
	if w.Observed != 1 || w.ExpectedLoss < 0.79 || w.ExpectedLoss > 0.81 || w.ObservedLoss < 0.39 || w.ObservedLoss > 0.41 {
		t.Errorf("%+v, want one tail with a loss of 0.4 where 0.8 was expected", w)
	}
}
