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

// changes are ways in which a cell may change hands.
var changes = map[string]struct {
	takeovers int
	end       handOver
}{
	"no takeover":     {0, nil},
	"a crash":         {1, holderCrashes},
	"three crashes":   {3, holderCrashes},
	"an ordered stop": {1, holderStops},
	"three stops":     {3, holderStops},
}

// newPair returns a world of two workers, one of which is full with a lasting job, and the
// other one.
func newPair(t *testing.T, attempts int, takes time.Duration) (w *world, full submitter.Job, bad identifier.Worker) {
	w = newWorld(t, 1)
	w.fleet = simulator.NewFleet(1, func(run connector.RunID) (time.Duration, bool) {
		if w.jobs[run.Task.Job].Steps[0].LongRunning {
			return forEver, false
		}
		return takes, false
	}, w.size)
	w.addWorkers(2)
	w.look = func() connector.Directory {
		d := w.directory()
		config := testConfig
		config.MaxAttempts = attempts
		d.Queues = map[identifier.Queue]connector.QueueConfig{testQueue: config}
		return d
	}
	full = w.oneTask(1, 8000, true)
	w.takeOver()
	w.submit(full)
	time.Sleep(3 * time.Second)
	bad = workerID(0)
	if w.fleet.WorkerOf(identifier.JobTask{Job: full.ID}) == bad {
		bad = workerID(1)
	}
	return w, full, bad
}

// oneTask returns a job of one task.
func (w *world) oneTask(n int, processors identifier.Millicores, lasts bool) submitter.Job {
	job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
		{Count: 1, Size: identifier.Size{Processors: processors, Memory: 1000}, LongRunning: lasts},
	}}
	w.jobs[job.ID] = job
	return job
}

// TestTakeoversDoNotLiftQuarantines guards against jobs that fail since each holder tries a worker
// anew on which all runs fail.
func TestTakeoversDoNotLiftQuarantines(t *testing.T) {
	const (
		// attempts are more than one term spends on such a worker until the other is free.
		attempts = 8
		freeAt   = 8 * time.Second
	)
	for name, tt := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, full, bad := newPair(t, attempts, 50*time.Millisecond)
				defer w.close()
				w.fleet.SetFaults(bad, simulator.WorkerFaults{Failing: true})
				before, began := w.fleet.Starts(), time.Now()
				job := w.oneTask(2, 1500, false)
				w.submit(job)
				for range tt.takeovers {
					time.Sleep(1900 * time.Millisecond)
					tt.end(w)
				}
				time.Sleep(freeAt - time.Since(began))
				w.cancel(full.ID)
				time.Sleep(8 * time.Second)
				starts := w.fleet.Starts() - before
				state, _, _ := w.holder.Load().term.Load().State(t.Context(), job.ID)
				if state != planner.StateCompleted {
					t.Errorf("the job is %s after %d runs, want it completed", state, starts)
				}
				t.Logf("%d runs", starts)
			})
		})
	}
}

// TestHealthOfAllWorkersIsSmall checks that the health of all workers of the largest cell fits
// beside the jobs of a batch, and that workers which are well add nothing.
func TestHealthOfAllWorkersIsSmall(t *testing.T) {
	const workers = 900
	clock := renewer.Time(time.Hour)
	quarantine := planner.Health{Failures: 100, QuarantinedUntil: clock}
	stall := planner.Health{Stalls: []planner.Stall{{Job: jobID(1 << 40), Step: 20, Index: 4000, Attempt: 20, Percent: 50, Since: clock}}}
	tests := map[string]struct {
		healths int
		health  planner.Health
	}{
		"well":              {},
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
			records, err := (&Term{}).encode(b)
			if err != nil {
				t.Fatal(err)
			}
			got := connector.RecordBytes(records...)
			t.Logf("%d bytes", got)
			if got > connector.MaxAppendBytes/4 || tt.healths == 0 && got > 0 {
				t.Errorf("%d bytes", got)
			}
		})
	}
}

// TestHealthRecordsOfOtherReleasesAreRead checks that no stored record keeps a holder from
// beginning its term.
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
		"its own":             {connector.KeyedRecord{Key: "ha", Value: encode(planner.Health{Failures: 2})}, []planner.HealthRecord{{Worker: "a", Health: &planner.Health{Failures: 2}}}},
		"keys of a later one": {connector.KeyedRecord{Key: "ha", Value: encode(map[int]any{1: 2, 99: "x"})}, []planner.HealthRecord{{Worker: "a", Health: &planner.Health{Failures: 2}}}},
		"of another form":     {connector.KeyedRecord{Key: "ha", Value: encode([]int{1})}, []planner.HealthRecord{{Worker: "a"}}},
		"deleted":             {connector.KeyedRecord{Key: "ha"}, nil},
		"a lease":             {connector.KeyedRecord{Key: "wa", Value: encode(renewer.Lease{})}, nil},
		"of another kind":     {connector.KeyedRecord{Key: "xa", Value: encode(1)}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			term := &Term{logger: zap.NewNop()}
			records := []connector.KeyedRecord{tt.record}
			if got := term.healthRecords(records); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("read %+v, want %+v", got, tt.want)
			}
			if got := len(term.jobRecords(records)); got > 0 {
				t.Errorf("%d jobs read", got)
			}
		})
	}
}
