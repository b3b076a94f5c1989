package dispatcher

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// noticed is how long a worker may be gone before its holder knows: a look that waits for
	// an end, and one more.
	noticed = holdSlack + time.Second + holdSlack + 500*time.Millisecond
	// betweenTerms is the time without a holder after one died.
	betweenTerms = 1200 * time.Millisecond
)

// goes is a way in which a worker ends.
type goes func(w *world, id identifier.Worker)

// handOver is a way in which a holder ends.
type handOver func(w *world)

func workerSilent(w *world, id identifier.Worker) {
	w.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true})
}

func workerGone(w *world, id identifier.Worker) { w.fleet.Leave(id, 0) }

func workerReplaced(w *world, id identifier.Worker) {
	w.fleet.Leave(id, 0)
	w.fleet.Add(connector.WorkerEntry{
		ID: id + "-next", Service: testService, Address: string(id), DataCentre: "a",
		Capacity: identifier.Size{Processors: 8000, Memory: 16000},
	})
}

func holderCrashes(w *world) {
	w.holder.Load().kill()
	time.Sleep(betweenTerms)
	w.takeOver()
}

func holderStops(w *world) {
	w.holder.Load().stop()
	w.takeOver()
}

// TestTakeoversDoNotProlongTheWaitForGoneWorkers checks that the time from a worker's end to
// the new start of its tasks has the same bound however often the cell changes hands.
func TestTakeoversDoNotProlongTheWaitForGoneWorkers(t *testing.T) {
	ends := map[string]goes{"silent": workerSilent, "gone": workerGone, "replaced": workerReplaced}
	tests := map[string]struct {
		takeovers int
		end       handOver
		// within bounds the time from the worker's end to the start.
		within time.Duration
	}{
		"no takeover":     {0, nil, testLease * 51 / 50},
		"a crash":         {1, holderCrashes, noticed + betweenTerms + testGrace + testLease*51/50},
		"three crashes":   {3, holderCrashes, noticed + betweenTerms + testGrace + testLease*51/50},
		"an ordered stop": {1, holderStops, testLease * 51 / 50},
		"three stops":     {3, holderStops, testLease * 51 / 50},
	}
	for name, tt := range tests {
		for kind, end := range ends {
			for _, after := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s, worker %s, first after %v", name, kind, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						took := timeToRestart(t, end, tt.takeovers, tt.end, after)
						// A pass, a look and the record of a claim come on top.
						if took > tt.within+time.Second {
							t.Errorf("tasks started again %v after their worker's end, want %v", took, tt.within)
						}
					})
				})
			}
		}
	}
}

// timeToRestart returns the time from the end of the worker with the first of some lasting tasks
// to the start of the last of its tasks elsewhere; the holder changes after a time, then every
// three seconds.
func timeToRestart(t *testing.T, end goes, takeovers int, change handOver, after time.Duration) time.Duration {
	w := newWorld(t, 1)
	defer w.close()
	w.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return forEver, false }, w.size)
	w.addWorkers(testWorkers)
	job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
		{Count: testWorkers, Size: identifier.Size{Processors: 1500, Memory: 1000}, LongRunning: true, MaxPerWorker: 2},
	}}
	w.jobs[job.ID] = job
	w.takeOver()
	w.submit(job)
	time.Sleep(10 * time.Second)
	all := func() bool { return w.fleet.ActiveRuns(job.ID) == testWorkers }
	if !all() {
		t.Fatalf("%d of %d tasks run", w.fleet.ActiveRuns(job.ID), testWorkers)
	}
	began := time.Now()
	id := w.fleet.WorkerOf(identifier.JobTask{Job: job.ID})
	end(w, id)
	go func() {
		time.Sleep(after)
		for range takeovers {
			change(w)
			time.Sleep(3 * time.Second)
		}
	}()
	// A worker that is only cut off goes on until its lease ends.
	const limit = time.Minute
	out := false
	for time.Since(began) < limit {
		time.Sleep(20 * time.Millisecond)
		if !all() {
			out = true
		} else if out {
			break
		}
	}
	took := time.Since(began)
	for _, b := range w.fleet.Breaches() {
		t.Error(b)
	}
	return took
}
