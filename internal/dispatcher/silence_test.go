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
	// detectionTime is how long a worker may be lost before its holder notices: the time of a poll
	// that waits for the end of a run, and of one more poll.
	detectionTime = pollSlack + time.Second + pollSlack + 500*time.Millisecond
	// takeoverGap is the time without a holder after one has crashed.
	takeoverGap = 1200 * time.Millisecond
)

// workerLoss makes a worker disappear.
type workerLoss func(c *testCell, id identifier.Worker)

// holderChange ends the current holder and begins the term of the next one.
type holderChange func(c *testCell)

// silenceWorker makes a worker unreachable; its runs go on until their lease expires.
func silenceWorker(c *testCell, id identifier.Worker) {
	c.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true})
}

func removeWorker(c *testCell, id identifier.Worker) { c.fleet.Leave(id, 0) }

// replaceWorker removes a worker and adds another one at its address.
func replaceWorker(c *testCell, id identifier.Worker) {
	c.fleet.Leave(id, 0)
	c.fleet.Add(connector.WorkerEntry{
		ID: id + "-next", Service: testService, Address: string(id), DataCentre: "a",
		Capacity: identifier.Size{Processors: 8000, Memory: 16000},
	})
}

// crashHolder crashes the holder, and begins the term of the next one after takeoverGap.
func crashHolder(c *testCell) {
	c.holder.Load().kill()
	time.Sleep(takeoverGap)
	c.takeOver()
}

// stopHolder shuts the holder down, and begins the term of the next one at once.
func stopHolder(c *testCell) {
	c.holder.Load().stop()
	c.takeOver()
}

// endTakeovers returns a change of the holder in which the given number of hosts crash just after
// they have stored that they take the cell over, one takeoverGap after the other.
func endTakeovers(n int) holderChange {
	return func(c *testCell) {
		c.holder.Load().kill()
		c.interceptAppends(func(h *testHolder, a connector.KeyedAppend, do func() (identifier.Offset, error)) (identifier.Offset, error) {
			end, err := do()
			if a.ExpectedEnd != nil && a.Topic == TopicWork {
				h.kill()
			}
			return end, err
		})
		for range n {
			time.Sleep(takeoverGap)
			c.takeOver()
		}
		time.Sleep(takeoverGap)
		c.onAppend.Store(nil)
		c.takeOver()
	}
}

// TestTakeoversDoNotDelayRestarts guards against a wait for a lost worker's lease that starts again
// with each new holder, also with one that ends in its takeover: however often the cell is taken over, the same bound holds for the time
// from the loss of a worker to the restart of its tasks.
func TestTakeoversDoNotDelayRestarts(t *testing.T) {
	losses := map[string]workerLoss{"silent": silenceWorker, "gone": removeWorker, "replaced": replaceWorker}
	tests := map[string]struct {
		takeovers int
		takeOver  holderChange
		// within bounds the time from the loss of the worker to the restart.
		within time.Duration
	}{
		"no takeover":             {0, nil, testLease * 51 / 50},
		"a crash":                 {1, crashHolder, detectionTime + takeoverGap + testGrace + testLease*51/50},
		"three crashes":           {3, crashHolder, detectionTime + takeoverGap + testGrace + testLease*51/50},
		"a shutdown":              {1, stopHolder, testLease * 51 / 50},
		"three shutdowns":         {3, stopHolder, testLease * 51 / 50},
		"an ended takeover":       {1, endTakeovers(1), detectionTime + takeoverGap + testGrace + testLease*51/50},
		"three ended takeovers":   {1, endTakeovers(3), detectionTime + takeoverGap + testGrace + testLease*51/50},
		"six ended takeovers":     {1, endTakeovers(6), detectionTime + takeoverGap + testGrace + testLease*51/50},
		"ended takeovers, thrice": {3, endTakeovers(1), detectionTime + takeoverGap + testGrace + testLease*51/50},
	}
	for name, tt := range tests {
		for loss, lose := range losses {
			for _, firstAfter := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s, worker %s, first after %v", name, loss, firstAfter), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						took := timeToRestart(t, lose, tt.takeovers, tt.takeOver, firstAfter)
						// The second allows for a pass of the planner, a poll, and an append
						// before the start.
						if took > tt.within+time.Second {
							t.Errorf("tasks restarted %v after the loss of their worker, want %v", took, tt.within)
						}
					})
				})
			}
		}
	}
}

// timeToRestart returns the time from the loss of a worker of a long-running job until all tasks of
// the job run again. The first takeover follows the loss after firstAfter, each further one three
// seconds later.
func timeToRestart(t *testing.T, lose workerLoss, takeovers int, takeOver holderChange, firstAfter time.Duration) time.Duration {
	c := newTestCell(t, 1)
	defer c.close()
	c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return longRunTime, false }, c.taskSize)
	c.addWorkers(testWorkers)
	job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
		{Count: testWorkers, Size: identifier.Size{Processors: 1500, Memory: 1000}, LongRunning: true, MaxPerWorker: 2},
	}}
	c.jobs[job.ID] = job
	c.takeOver()
	c.submit(job)
	time.Sleep(10 * time.Second)
	allRunning := func() bool { return c.fleet.ActiveRuns(job.ID) == testWorkers }
	if !allRunning() {
		t.Fatalf("%d of %d tasks run before the worker is lost", c.fleet.ActiveRuns(job.ID), testWorkers)
	}
	began := time.Now()
	id := c.fleet.WorkerOf(identifier.JobTask{Job: job.ID})
	lose(c, id)
	go func() {
		time.Sleep(firstAfter)
		for range takeovers {
			takeOver(c)
			time.Sleep(3 * time.Second)
		}
	}()
	const limit = time.Minute
	// All tasks run at first: a worker that cannot be reached goes on until its lease expires.
	interrupted := false
	for time.Since(began) < limit {
		time.Sleep(20 * time.Millisecond)
		if !allRunning() {
			interrupted = true
		} else if interrupted {
			break
		}
	}
	took := time.Since(began)
	for _, b := range c.fleet.Breaches() {
		t.Error(b)
	}
	return took
}
