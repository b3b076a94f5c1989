package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRecordsLeaveOutWhatSubmissionsHold checks that the record of a job, which is stored
// with each of its changes, holds the configuration of its queue only if the submission
// does not, and that the next holder knows it either way.
func TestRecordsLeaveOutWhatSubmissionsHold(t *testing.T) {
	tests := map[string]struct {
		submitted connector.QueueConfig
		stored    bool
	}{
		"in the submission":     {queueConfig, false},
		"not in the submission": {connector.QueueConfig{}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, workerEntry("w"))
			b.update(0)
			b.look("w", connector.HoldAnswer{})
			job := JobSubmitted{Job: submitter.Job{ID: "00000000000000aa", Queue: queue, Steps: []submitter.Step{{Count: 1, Size: small}}}, Queue: tt.submitted}
			b.update(0, job)
			records := b.save().Records
			if len(records) != 1 || (records[0].Queue != nil) != tt.stored {
				t.Fatalf("stored %+v", records)
			}
			next := New(2, b.now, Settings{Retention: time.Minute})
			next.Inform(b.now, job, JobsRestored{Records: records})
			if got := next.jobs[job.Job.ID].queue; got != queueConfig {
				t.Errorf("the next holder takes the queue for %+v, want %+v", got, queueConfig)
			}
		})
	}
}
