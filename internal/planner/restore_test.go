package planner

import (
	"math"
	"testing"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestOddNamesOfTasks checks that names of tasks which there are not, in stored records and
// in the answers of workers, end no holder.
func TestOddNamesOfTasks(t *testing.T) {
	names := map[string]identifier.JobTask{
		"step below zero":       {Job: "a", Step: -1},
		"index below zero":      {Job: "a", Index: -1},
		"occurrence below zero": {Job: "a", Occurrence: -1},
		"step beyond the last":  {Job: "a", Step: math.MaxInt},
		"index beyond the last": {Job: "a", Index: math.MaxInt},
		"later occurrence":      {Job: "a", Occurrence: math.MaxInt},
		"no such job":           {Job: "zz"},
	}
	for name, odd := range names {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, workerEntry("w"))
			b.submit("a", submitter.Step{Count: 1, Size: small})
			b.p.restore([]JobRecord{{ID: odd.Job, State: StateRunning, Tasks: []TaskRecord{{
				Occurrence: odd.Occurrence, Step: odd.Step, Index: odd.Index, Attempt: 1, Runs: []RunRecord{{Attempt: 1, Worker: "w"}},
			}}}})
			run := connector.RunID{Task: odd, Attempt: 1}
			b.look("w", connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Clock: 1}, Born: 1,
				Active: []connector.ActiveRun{{Run: run}}, Ended: []connector.EndedRun{{Number: 1, Run: run, How: connector.EndDone}},
			})
			b.save()
			if len(b.starts()) != 1 {
				t.Errorf("%d starts of the task that there is, want 1", len(b.starts()))
			}
		})
	}
}
