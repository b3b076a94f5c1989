package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// submission is a job that all workers together can run one of at a time, in a second.
func submission(n int) intake.Submission {
	return intake.Submission{Job: submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
		{Count: 4, Size: identifier.Size{Processors: 8000, Memory: 1000}, Estimate: identifier.Duration(time.Second)},
	}}, Queue: testConfig}
}

// TestEveryHostRefusesWhatTheHolderCannotServe checks over real connections that a host which
// does not hold the cell refuses new jobs of a queue that its holder can't serve in time,
// and still accepts a job again that was accepted before.
func TestEveryHostRefusesWhatTheHolderCannotServe(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	store := simulator.NewStore(1, 1)
	fleet := simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return time.Second, false },
		func(identifier.JobTask) identifier.Size { return identifier.Size{Processors: 8000, Memory: 1000} })
	for _, id := range []identifier.Worker{"w1", "w2", "w3", "w4"} {
		fleet.Add(connector.WorkerEntry{ID: id, Service: testService, Address: "x", DataCentre: "a", Capacity: identifier.Size{Processors: 8000, Memory: 16000}})
	}
	hosts := []*host{startHostThatCalls(t, "a", store, fleet, 8), startHostThatCalls(t, "b", store, fleet, 8)}
	other := hostWithoutCells(ctx, t, hosts)
	var accepted []int
	for n := 0; ; n++ {
		err := other.Intake().Submit(ctx, submission(n))
		var r *refuser.Refusal
		if errors.As(err, &r) && r.Code == refuser.CodeOverloaded && r.Effect == refuser.NotRun && r.RetryAfterMillis > 0 {
			break
		}
		if err != nil {
			t.Fatalf("job %d of ten times what is served: %v", n, err)
		}
		accepted = append(accepted, n)
		sleeper.Pause(ctx, 100*time.Millisecond)
	}
	for _, n := range accepted {
		if err := other.Intake().Submit(ctx, submission(n)); err != nil {
			t.Errorf("job %d was accepted and is refused when it comes again: %v", n, err)
		}
	}
}

// hostWithoutCells returns a host beside one that schedules on workers.
func hostWithoutCells(ctx context.Context, t *testing.T, hosts []*host) *host {
	t.Helper()
	for ctx.Err() == nil {
		for i, h := range hosts {
			if s := h.Stats(); len(s) > 0 && s[0].UsableWorkers > 0 {
				return hosts[1-i]
			}
		}
		sleeper.Pause(ctx, 20*time.Millisecond)
	}
	t.Fatal("no host schedules")
	return nil
}
