package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestPreview checks what a job that is not submitted is told, and that the planner then decides as
// it would have without.
func TestPreview(t *testing.T) {
	tests := map[string]struct {
		step   submitter.Step
		before func(b *testbed)
		// best is the best candidate, "" if there is none; count is the number of candidates.
		best   identifier.Worker
		count  int
		reason string
		ahead  int
	}{
		"room everywhere": {submitter.Step{Count: 2, Size: smallSize}, nil, "w", 2, "", 0},
		"near its data":   {submitter.Step{Count: 2, Size: smallSize, DataRack: "r2"}, nil, "x", 2, "", 0},
		"too large":       {submitter.Step{Count: 1, Size: identifier.Size{Processors: 5000}}, nil, "", 0, "have no room", 0},
		"label":           {submitter.Step{Count: 1, Size: smallSize, Label: "gpu"}, nil, "", 0, "lack the label", 0},
		"one is draining": {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed) {
			e := b.dir.Workers["w"]
			e.Draining = true
			b.dir.Workers["w"] = e
			b.update(0)
		}, "x", 1, "are draining", 0},
		"others wait": {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed) {
			b.submit("00000000000000aa", submitter.Step{Count: 9, Size: identifier.Size{Processors: 4000, Memory: 8000}, Estimate: identifier.Duration(time.Second)})
		}, "", 0, "have no room", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := workerEntry("x")
			x.Rack = "r2"
			b := newTestbed(t, workerEntry("w"), x)
			b.update(0)
			for _, id := range []identifier.Worker{"w", "x"} {
				b.answerNewPoll(id, connector.HoldAnswer{StartedAt: 1})
			}
			if tt.before != nil {
				tt.before(b)
				b.update(time.Millisecond)
			}
			stats := b.p.Stats()
			out := b.p.Preview(submitter.Job{ID: "p", Queue: queue, Steps: []submitter.Step{tt.step}}, queueConfig)
			step := out.Steps[0]
			best := identifier.Worker("")
			if len(step.Candidates) > 0 {
				best = step.Candidates[0].Worker
			}
			reason := ""
			if len(step.RuledOut) > 0 {
				reason = step.RuledOut[0].Reason
			}
			if best != tt.best || step.CandidateCount != tt.count || reason != tt.reason || out.Ahead != tt.ahead || out.Hold != "" {
				t.Errorf("%+v, want best %q of %d, %q, %d ahead", out, tt.best, tt.count, tt.reason, tt.ahead)
			}
			if b.p.Stats() != stats || len(b.p.jobs) != stats.Jobs {
				t.Errorf("state %+v after the preview, %+v before", b.p.Stats(), stats)
			}
			if tt.before != nil || tt.best == "" {
				return
			}
			b.submit("00000000000000ab", tt.step)
			if r := b.p.lookupTask(identifier.JobTask{Job: "00000000000000ab"}).runs; len(r) != 1 || r[0].worker.id != tt.best {
				t.Errorf("the first task runs on %v, want %s", r, tt.best)
			}
		})
	}
	b := newTestbed(t)
	b.now = b.now.Add(time.Hour)
	b.p.Update(b.now)
	if out := b.p.Preview(submitter.Job{Queue: queue, Steps: []submitter.Step{{Count: 1}}}, queueConfig); out.Hold == "" {
		t.Error("a directory of an hour ago does not hold starts back")
	}
}
