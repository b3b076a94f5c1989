package planner

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRunsFitIntoTheRecordOfTheirJob guards against a job whose record the store refuses, which would end the
// holder's term, since the IDs of its workers are long. All its tasks run, if not at once.
func TestRunsFitIntoTheRecordOfTheirJob(t *testing.T) {
	tests := map[string]struct {
		idBytes int
		// unlimited is set if the record has room for runs of all tasks at the same time.
		unlimited bool
		step      submitter.Step
	}{
		"IDs of 10 bytes":       {10, true, submitter.Step{Count: submitter.MaxTasks}},
		"IDs of 60 bytes":       {60, false, submitter.Step{Count: submitter.MaxTasks}},
		"IDs of 200 bytes":      {200, false, submitter.Step{Count: submitter.MaxTasks}},
		"gang, IDs of 10 bytes": {10, true, submitter.Step{Count: 500, Gang: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := workerEntry(identifier.Worker(strings.Repeat("w", tt.idBytes)))
			e.Capacity = identifier.Size{Processors: 1e9, Memory: 1e9}
			b := newTestbed(t, e)
			b.update(0)
			b.answerPoll(e.ID, connector.HoldAnswer{})
			tt.step.Size = smallSize
			b.submit(gangJob, tt.step)
			j := b.p.jobs[gangJob]
			if got := j.hasRecordRoom(e.ID, tt.step.Count); got != tt.unlimited {
				t.Errorf("room for all runs: %v, want %v", got, tt.unlimited)
			}
			for range 200 {
				for before := -1; j.readyTasks > 0 && j.runCount > before; {
					before = j.runCount
					b.pass(200*time.Millisecond, nil)
				}
				value, err := recordOf(j).Encode()
				if err != nil || len(value) > maxEncodedBytes {
					t.Fatalf("record of %d runs has %d bytes, want at most %d (%v)", j.runCount, len(value), maxEncodedBytes, err)
				}
				for i := range j.occurrences[0][0].tasks {
					task := &j.occurrences[0][0].tasks[i]
					for _, r := range slices.Clone(task.runs) {
						b.p.removeRun(r)
						b.p.finishTask(task)
					}
				}
			}
			if j.state != StateCompleted {
				t.Errorf("the job is %s, want it completed", j.state)
			}
		})
	}
}
