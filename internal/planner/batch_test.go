package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestBatchesOfLargeJobsFitIntoAnAppend checks that changes of many large jobs at the same
// time are stored in appends that the store takes; a refused one ends the holder's term.
func TestBatchesOfLargeJobsFitIntoAnAppend(t *testing.T) {
	const jobs, tasks = 150, submitter.MaxTasks
	b := newTestbed(t)
	var restored []JobRecord
	for n := range jobs {
		id := identifier.Job(fmt.Sprintf("%016x", n))
		b.p.Inform(b.now, JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: tasks, Size: smallSize}}}, Queue: queueConfig})
		rec := JobRecord{ID: id, State: StateRunning}
		for i := range tasks {
			rec.Tasks = append(rec.Tasks, TaskRecord{Index: i, Attempt: 1, Checkpoint: "00000bb87a21d94b", Runs: []RunRecord{{Attempt: 1, Worker: "i-08ddcdfe73"}}})
			rec.Lost = append(rec.Lost, LostRecord{Index: i, Attempts: []identifier.Attempt{1, 2, 3}})
		}
		restored = append(restored, rec)
	}
	b.p.Inform(b.now, JobsRestored{Records: restored})
	for n := range jobs {
		b.p.markDirty(b.p.jobs[identifier.Job(fmt.Sprintf("%016x", n))])
	}
	stored := map[identifier.Job]bool{}
	for b.p.Dirty() {
		batch := b.p.TakeBatch()
		sum := 0
		for _, r := range batch.Records {
			value, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if len(value) > connector.MaxRecordBytes {
				t.Fatalf("record of a job with %d tasks has %d bytes, at most %d are taken", tasks, len(value), connector.MaxRecordBytes)
			}
			sum += len(value)
			stored[r.ID] = true
		}
		if sum > connector.MaxAppendBytes {
			t.Fatalf("batch has %d bytes, at most %d are taken", sum, connector.MaxAppendBytes)
		}
		b.now = b.now.Add(time.Millisecond)
		b.p.Inform(b.now, BatchSaved{Batch: batch})
	}
	if len(stored) != jobs {
		t.Errorf("%d of %d jobs were stored", len(stored), jobs)
	}
}
