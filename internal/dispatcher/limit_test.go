package dispatcher

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRepeatedJobDoesNotStopTheCell guards against a cell that stores nothing any more, and so starts
// nothing, since the record of a job that repeats often outgrows what the store accepts.
func TestRepeatedJobDoesNotStopTheCell(t *testing.T) {
	const span, taskTime = 40 * time.Second, 2 * time.Second
	for _, takeovers := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d takeovers", takeovers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRepeatCell(t, 20, func(run connector.RunID) (time.Duration, bool) {
					if run.Task.Job == jobID(1) {
						return taskTime, false
					}
					return 300 * time.Millisecond, false
				})
				defer c.close()
				step := submitter.Step{Count: 160, Size: identifier.Size{Processors: 10, Memory: 4}, Estimate: identifier.Duration(taskTime), Checkpoints: true}
				const times = 300
				c.jobs[jobID(1)] = submitter.Job{
					ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{step},
					// A part of the occurrences is due at once.
					Schedule: &submitter.Schedule{First: identifier.UnixMillis(time.Now().Add(-20 * time.Second).UnixMilli()), Period: identifier.Duration(200 * time.Millisecond), Times: times},
				}
				c.submit(c.jobs[jobID(1)])
				go func() {
					for range takeovers {
						time.Sleep(span / 3)
						stopHolder(c)
					}
				}()
				for n := range int(span / time.Second) {
					probe := c.submitSteps(100+n, smallStep)
					time.Sleep(time.Second)
					if state := c.stateOf(probe); state != planner.StateCompleted && takeovers == 0 {
						t.Fatalf("a short job beside the repeated one is %q after a second, %d s after the first", state, n)
					}
				}
				delete(c.jobs, jobID(0))
				for id, state := range c.waitForJobs(time.Minute) {
					t.Errorf("job %s is still %q", id, state)
				}
				report, _, err := c.holder.Load().term.Load().Report(t.Context(), jobID(1))
				if err != nil || report.Steps[0].Done != times*step.Count || report.Steps[0].Tasks != times*step.Count {
					t.Errorf("report %+v, %v, want all %d tasks done", report.Steps, err, times*step.Count)
				}
				for _, b := range c.fleet.Breaches() {
					t.Error(b)
				}
			})
		})
	}
}

// TestLongCheckpointsDoNotStopTheCell guards against job records and batches that the store refuses
// since the checkpoints of their tasks are long.
func TestLongCheckpointsDoNotStopTheCell(t *testing.T) {
	const jobs, tasks = 20, 200
	b := planner.Batch{}
	for n := range jobs {
		r := planner.JobRecord{ID: jobID(n), State: planner.StateRunning}
		for i := range tasks {
			r.Tasks = append(r.Tasks, planner.TaskRecord{
				Index: i, Attempt: 3, Checkpoint: identifier.Checkpoint(bytes.Repeat([]byte("c"), 1000)),
				Runs: []planner.RunRecord{{Attempt: 3, Worker: "i-0123456789"}},
			})
		}
		b.Records = append(b.Records, r)
	}
	// The checkpoints of this job do not fit into a record.
	large := planner.JobRecord{ID: jobID(jobs), State: planner.StateRunning}
	for i := range 2 * tasks {
		large.Tasks = append(large.Tasks, planner.TaskRecord{Index: i, Attempt: 1, Checkpoint: identifier.Checkpoint(bytes.Repeat([]byte("c"), 1000))})
	}
	b.Records = append(b.Records, large)
	records, err := (&Term{}).encodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}
	store := simulator.NewStore(1, 1).Client("host")
	stored := 0
	for _, part := range splitAppend(records) {
		if _, err := store.Append(t.Context(), connector.KeyedAppend{Topic: TopicWork, Records: part}); err != nil {
			t.Fatal(err)
		}
		stored += len(part)
	}
	if stored != jobs+1 {
		t.Errorf("%d records stored, want %d", stored, jobs+1)
	}
	out, err := planner.DecodeJobRecord(records[jobs].Value)
	if err != nil || len(out.Tasks) != 2*tasks {
		t.Errorf("%d tasks in the large record, %v; want %d", len(out.Tasks), err, 2*tasks)
	}
}

// TestEstimatesDoNotStopTheCell guards against estimates of interference that the store refuses
// since there are too many. Those from the most observations are kept.
func TestEstimatesDoNotStopTheCell(t *testing.T) {
	const pairs = 20_000
	var estimates []estimator.Record
	for n := range pairs {
		estimates = append(estimates, estimator.Record{Serving: "serving-image", Scavenger: identifier.Image(fmt.Sprintf("scavenger-image-%d", n)), Interference: 0.5, Samples: n})
	}
	value, err := encodeEstimates(estimates)
	if err != nil || len(value) > connector.MaxRecordBytes {
		t.Fatalf("%d bytes, %v; want at most %d", len(value), err, connector.MaxRecordBytes)
	}
	var kept []estimator.Record
	if err := cbor.Unmarshal(value, &kept); err != nil {
		t.Fatal(err)
	}
	if len(kept) < 1000 || kept[0].Samples != pairs-1 {
		t.Errorf("%d estimates kept, the first from %d observations", len(kept), kept[0].Samples)
	}
}
