package planner

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

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
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			job := JobSubmitted{Job: submitter.Job{ID: "00000000000000aa", Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: tt.submitted}
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

// TestLostRunsAreStoredWhileTheirEndsCount checks that the record of a job names the runs that
// were given up, as far as their ends would count, and that the next holder knows them.
func TestLostRunsAreStoredWhileTheirEndsCount(t *testing.T) {
	tests := map[string]struct {
		step submitter.Step
		then func(b *testbed, s StartRun)
		want int
	}{
		"given up":           {submitter.Step{Count: 1, Size: smallSize}, func(*testbed, StartRun) {}, 1},
		"lasts":              {longRunningStep, func(*testbed, StartRun) {}, 0},
		"told as failed":     {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed, s StartRun) { b.reportEnd(s, connector.EndFailed) }, 0},
		"told as done":       {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed, s StartRun) { b.reportEnd(s, connector.EndDone) }, 0},
		"its job has failed": {submitter.Step{Count: 1, Size: smallSize}, func(b *testbed, s StartRun) { b.p.endJob(b.p.lookupTask(s.Order.Run.Task).group.job, StateFailed) }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1})
			s := b.startOne(tt.step)
			b.confirmStart(s)
			b.p.markLost(b.p.workers["w"].runs[s.Order.Run])
			tt.then(b, s)
			rec := recordOf(b.p.jobs[s.Order.Run.Task.Job])
			if len(rec.Lost) != tt.want {
				t.Fatalf("stored %+v", rec.Lost)
			}
			data, err := rec.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if rec, err = DecodeJobRecord(data); err != nil {
				t.Fatal(err)
			}
			next := newTestbed(t, workerEntry("w"))
			next.submit(rec.ID, tt.step)
			next.p.Inform(next.now, JobsRestored{[]JobRecord{rec}})
			if got := len(next.p.lookupTask(s.Order.Run.Task).lostAttempts); got != tt.want {
				t.Errorf("the next holder knows %d lost runs, want %d", got, tt.want)
			}
		})
	}
}

// TestRecordsOfOtherReleasesAreRead checks that a record with fewer or more keys is read.
func TestRecordsOfOtherReleasesAreRead(t *testing.T) {
	tests := map[string]map[int]any{
		"an older one": {1: "aa", 2: "running"},
		"a newer one":  {1: "aa", 2: "running", 90: []int{1}, 91: "x"},
	}
	for name, keys := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(keys)
			if err != nil {
				t.Fatal(err)
			}
			rec, err := DecodeJobRecord(data)
			if err != nil || rec.ID != "aa" || rec.State != StateRunning || len(rec.Lost) != 0 {
				t.Errorf("read %+v, %v", rec, err)
			}
		})
	}
}
