package dispatcher

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// takeoverCases are numbers and kinds of takeovers during a test.
var takeoverCases = map[string]struct {
	takeovers int
	takeOver  holderChange
}{
	"no takeover":     {0, nil},
	"a crash":         {1, crashHolder},
	"three crashes":   {3, crashHolder},
	"a shutdown":      {1, stopHolder},
	"three shutdowns": {3, stopHolder},
	"ended takeovers": {1, endTakeovers(3)},
}

// newTwoWorkerCell returns a cell of two workers, the long-running job that fills one of them, and
// the idle worker. Runs of other jobs take taskDuration.
func newTwoWorkerCell(t *testing.T, maxAttempts int, taskDuration time.Duration) (c *testCell, full submitter.Job, idle identifier.Worker) {
	c = newTestCell(t, 1)
	c.fleet = simulator.NewFleet(1, func(run connector.RunID) (time.Duration, bool) {
		if c.jobs[run.Task.Job].Steps[0].LongRunning {
			return longRunTime, false
		}
		return taskDuration, false
	}, c.taskSize)
	c.addWorkers(2)
	c.currentDirectory = func() connector.Directory {
		d := c.directory()
		config := testConfig
		config.MaxAttempts = maxAttempts
		d.Queues = map[identifier.Queue]connector.QueueConfig{testQueue: config}
		return d
	}
	full = c.oneTaskJob(1, 8000, true)
	c.takeOver()
	c.submit(full)
	time.Sleep(3 * time.Second)
	idle = workerID(0)
	if c.fleet.WorkerOf(identifier.JobTask{Job: full.ID}) == idle {
		idle = workerID(1)
	}
	return c, full, idle
}

// oneTaskJob creates a job of one task, without submitting it.
func (c *testCell) oneTaskJob(n int, processors identifier.Millicores, longRunning bool) submitter.Job {
	job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
		{Count: 1, Size: identifier.Size{Processors: processors, Memory: 1000}, LongRunning: longRunning},
	}}
	c.jobs[job.ID] = job
	return job
}

// TestTakeoversDoNotLiftQuarantines guards against jobs that run out of attempts because each new
// holder forgets that a worker is in quarantine, on which all runs fail.
func TestTakeoversDoNotLiftQuarantines(t *testing.T) {
	const (
		// attempts is more than one term spends on the failing worker until the other has room,
		// which it has after freeAt.
		attempts = 8
		freeAt   = 8 * time.Second
	)
	for name, tt := range takeoverCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, full, bad := newTwoWorkerCell(t, attempts, 50*time.Millisecond)
				defer c.close()
				c.fleet.SetFaults(bad, simulator.WorkerFaults{Failing: true})
				before, began := c.fleet.Starts(), time.Now()
				job := c.oneTaskJob(2, 1500, false)
				c.submit(job)
				for range tt.takeovers {
					time.Sleep(1900 * time.Millisecond)
					tt.takeOver(c)
				}
				time.Sleep(freeAt - time.Since(began))
				c.cancel(full.ID)
				time.Sleep(8 * time.Second)
				starts := c.fleet.Starts() - before
				state, _, _ := c.holder.Load().term.Load().State(t.Context(), job.ID)
				if state != planner.StateCompleted {
					t.Errorf("job is %s after %d runs, want it completed", state, starts)
				}
				t.Logf("%d runs", starts)
			})
		})
	}
}

// TestHealthOfAllWorkersIsSmall checks that the health records of all workers of the largest cell
// take at most a quarter of an append, and that healthy workers take nothing.
func TestHealthOfAllWorkersIsSmall(t *testing.T) {
	const workers = 900
	clock := renewer.Time(time.Hour)
	quarantine := planner.Health{Failures: 100, QuarantinedUntil: clock}
	stall := planner.Health{Stalls: []planner.Stall{{Job: jobID(1 << 40), Step: 20, Index: 4000, Attempt: 20, Percent: 50, Since: clock}}}
	tests := map[string]struct {
		healths int
		health  planner.Health
	}{
		"healthy":           {},
		"all in quarantine": {workers, quarantine},
		"a stall at each":   {workers, stall},
		"tails too long":    {workers, planner.Health{TailHighSince: &clock, ScavengersBarredUntil: clock}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := planner.Batch{}
			if tt.healths > 0 {
				b.Clock = &clock
			}
			for i := range tt.healths {
				b.Healths = append(b.Healths, planner.HealthRecord{Worker: identifier.Worker(fmt.Sprintf("i-%010x", i)), Health: &tt.health})
			}
			records, err := (&Term{}).encodeBatch(b)
			if err != nil {
				t.Fatal(err)
			}
			got := connector.RecordBytes(records...)
			t.Logf("%d bytes", got)
			if got > connector.MaxAppendBytes/4 || tt.healths == 0 && got > 0 {
				t.Errorf("%d bytes, want at most a quarter of an append, and none for healthy workers", got)
			}
		})
	}
}

// TestHealthRecordsOfOtherReleasesAreRead checks that a new holder copes with health records of
// other releases: it ignores unknown fields, treats a record of another form as unknown health,
// and skips records of other kinds.
func TestHealthRecordsOfOtherReleasesAreRead(t *testing.T) {
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	tests := map[string]struct {
		record connector.KeyedRecord
		want   []planner.HealthRecord
	}{
		"same release":   {connector.KeyedRecord{Key: "ha", Value: encode(planner.Health{Failures: 2})}, []planner.HealthRecord{{Worker: "a", Health: &planner.Health{Failures: 2}}}},
		"unknown fields": {connector.KeyedRecord{Key: "ha", Value: encode(map[int]any{1: 2, 99: "x"})}, []planner.HealthRecord{{Worker: "a", Health: &planner.Health{Failures: 2}}}},
		"another form":   {connector.KeyedRecord{Key: "ha", Value: encode([]int{1})}, []planner.HealthRecord{{Worker: "a"}}},
		"deleted":        {connector.KeyedRecord{Key: "ha"}, nil},
		"lease":          {connector.KeyedRecord{Key: "wa", Value: encode(renewer.Lease{})}, nil},
		"another kind":   {connector.KeyedRecord{Key: "xa", Value: encode(1)}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			term := &Term{logger: zap.NewNop()}
			records := []connector.KeyedRecord{tt.record}
			if got := term.decodeHealth(records); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("read %+v, want %+v", got, tt.want)
			}
			if got := len(term.decodeJobs(records)); got > 0 {
				t.Errorf("%d jobs read", got)
			}
		})
	}
}
