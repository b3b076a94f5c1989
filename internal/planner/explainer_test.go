package planner

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const explainedJob identifier.Job = "00000000000000ab"

func TestExplain(t *testing.T) {
	full := identifier.Size{Processors: 5000}
	tests := map[string]struct {
		steps []submitter.Step
		// before runs ahead of the submission, and after behind it.
		before, after func(b *testbed)
		want          string
	}{
		"no room": {[]submitter.Step{{Count: 2, Size: full}}, nil, nil, "step 0: 2 of 2 tasks wait for a worker; 1 workers have no room"},
		"waits for another step": {
			[]submitter.Step{{Count: 1, Size: full}, {Count: 1, Size: smallSize, After: []int{0}}}, nil, nil, "step 1 waits for steps [0]",
		},
		"label":      {[]submitter.Step{{Count: 1, Size: smallSize, Label: "gpu"}}, nil, nil, "1 workers lack the label"},
		"evacuated":  {[]submitter.Step{{Count: 1, Size: smallSize}}, func(b *testbed) { b.dir.Evacuated["a"] = true }, nil, "1 workers are in an evacuated data centre"},
		"quarantine": {[]submitter.Step{{Count: 1, Size: smallSize}}, func(b *testbed) { b.p.workers["w"].quarantinedUntil = b.now.Add(time.Hour) }, nil, "1 workers are in quarantine"},
		"no worker": {[]submitter.Step{{Count: 1, Size: smallSize}}, func(b *testbed) {
			b.p.forgetWorker(b.p.workers["w"])
			delete(b.dir.Workers, "w")
		}, nil, "has no worker"},
		"claimed": {[]submitter.Step{{Count: 1, Size: smallSize}}, nil, nil, "step 0 is about to start on w"},
		"runs": {[]submitter.Step{{Count: 1, Size: smallSize}}, nil, func(b *testbed) {
			b.save()
			b.confirmStart(b.starts()[0])
		}, "step 0 runs on w"},
		"cancelled": {[]submitter.Step{{Count: 1, Size: full}}, nil, func(b *testbed) { b.update(0, JobCancelled{ID: explainedJob}) }, "it is cancelled since"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			if tt.before != nil {
				tt.before(b)
			}
			b.submit(explainedJob, tt.steps...)
			if tt.after != nil {
				tt.after(b)
			}
			e, ok := b.p.Explain(explainedJob)
			if got := strings.Join(e.Reasons, "; "); !ok || !strings.Contains(got, tt.want) {
				t.Errorf("%q, want %q", got, tt.want)
			}
		})
	}
	if _, ok := newTestbed(t).p.Explain(explainedJob); ok {
		t.Error("Explain succeeded for an unknown job")
	}
}

func TestListSelectsJobs(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	for _, id := range []identifier.Job{"00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		b.submit(id, submitter.Step{Count: 1, Size: smallSize})
		b.update(time.Millisecond)
	}
	b.update(0, JobCancelled{ID: "00000000000000a2"})
	b.save()
	tests := map[string]struct {
		sel  submitter.Selection
		want []identifier.Job
	}{
		"all":           {submitter.Selection{}, []identifier.Job{"00000000000000a1", "00000000000000a2", "00000000000000a3"}},
		"cancelled":     {submitter.Selection{State: "cancelled"}, []identifier.Job{"00000000000000a2"}},
		"another queue": {submitter.Selection{Queue: "none"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []identifier.Job
			for _, r := range b.p.List(tt.sel).Jobs {
				got = append(got, r.ID)
			}
			if strings.Join(toStrings(got), " ") != strings.Join(toStrings(tt.want), " ") {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
	r, ok := b.p.Report("00000000000000a1")
	if !ok || r.Steps[0].Tasks != 1 || r.Steps[0].Placed+r.Steps[0].Ready != 1 {
		t.Errorf("report %+v, want one task", r)
	}
}

func toStrings[T ~string](in []T) []string {
	out := make([]string, len(in))
	for i, v := range in {
		out[i] = string(v)
	}
	return out
}
