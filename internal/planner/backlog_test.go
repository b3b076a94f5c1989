package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// submitBacklog submits jobs of ten tasks of a second that find no room, with the given time to their
// objective.
func submitBacklog(p *Planner, now time.Time, jobs int, allowance time.Duration) {
	cfg := queueConfig
	cfg.Allowance = identifier.Duration(allowance)
	for n := range jobs {
		step := submitter.Step{Count: 10, Estimate: identifier.Duration(time.Second), Size: identifier.Size{Processors: 20000}}
		p.Inform(now, JobSubmitted{Job: submitter.Job{ID: identifier.Job(fmt.Sprintf("%016x", n)), Queue: queue, Steps: []submitter.Step{step}}, Queue: cfg})
	}
}

// TestBacklogCountsJobsThatCanBeInTime checks the work that other hosts are told of: nothing without
// waiting jobs, that of jobs on time, and none of late ones.
func TestBacklogCountsJobsThatCanBeInTime(t *testing.T) {
	p, now := benchPlanner(4)
	if got := p.Backlog(); got != nil {
		t.Fatalf("backlog %v without jobs", got)
	}
	submitBacklog(p, now, 3, 10*time.Second)
	p.Update(now.Add(time.Second))
	got := p.Backlog()
	want := admitter.CoreTime(3 * 10 * 20 * time.Second)
	if len(got) != 1 || got[0].Name != service || got[0].Processors != 4*16000 || got[0].Work[queueConfig.Priority] != want {
		t.Errorf("backlog %+v, want %d of %s", got, want, service)
	}
	p.Update(now.Add(time.Minute))
	if got := p.Backlog(); got != nil {
		t.Errorf("backlog %+v of late jobs", got)
	}
}

// BenchmarkBacklog counts the backlog of 490 workers and 5,000 waiting tasks.
func BenchmarkBacklog(b *testing.B) {
	p, now := benchPlanner(490)
	submitBacklog(p, now, 500, time.Hour)
	for b.Loop() {
		p.backlog.countedAt = time.Time{}
		p.Backlog()
	}
}
