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

// TestRestartedWorkerLosesItsRunsInTime guards against tasks that run twice after a worker has
// started again under its id and is then cut off. Its clock begins anew, so that a lease computed
// by the clock of before is the longest that the worker grants, and not the one that the holder
// reckons with. The tasks of the worker must also not stay out for longer than one lease and 2 s.
func TestRestartedWorkerLosesItsRunsInTime(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		restart  = testLease*51/50 + 2*time.Second
	)
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second} {
		for _, delay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
			for _, takeover := range []bool{false, true} {
				t.Run(fmt.Sprintf("down %v, cut off after %v, takeover %t", pause, delay, takeover), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newTestCell(t, 1)
						defer c.close()
						c.maxLease = maxLease
						c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return longRunTime, false }, c.taskSize,
							simulator.WithLongestLease(maxLease))
						c.addWorkers(testWorkers)
						const tasks = 3 * testWorkers
						job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
							{Count: tasks, Size: identifier.Size{Processors: 1500, Memory: 1000}, LongRunning: true},
						}}
						c.jobs[job.ID] = job
						c.takeOver()
						c.submit(job)
						time.Sleep(17 * time.Second)
						c.fleet.Crash(workerID(0), pause)
						time.Sleep(pause + delay)
						c.fleet.SetFaults(workerID(0), simulator.WorkerFaults{Cut: true})
						if takeover {
							c.holder.Load().kill()
							time.Sleep(300 * time.Millisecond)
							c.takeOver()
							// What the first holder did not store is waited for from its end on.
							time.Sleep(testGrace)
						}
						time.Sleep(restart)
						for index := range tasks {
							task := identifier.JobTask{Job: job.ID, Index: index}
							if w := c.fleet.WorkerOf(task); w == "" || w == workerID(0) {
								t.Errorf("task %d runs on %q after %v", index, w, restart)
							}
						}
						for _, b := range c.fleet.Breaches() {
							t.Error(b)
						}
					})
				})
			}
		}
	}
}
