package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestFailuresOfLostRunsCountAfterTakeovers guards against more runs than MaxAttempts. A run is
// given up when its worker cannot be reached, and fails there. The worker reports that only to a
// later holder, which has to count it as a failed attempt.
func TestFailuresOfLostRunsCountAfterTakeovers(t *testing.T) {
	const attempts = 2
	for name, tt := range takeoverCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1)
				defer c.close()
				c.fleet = simulator.NewFleet(1, func(run connector.RunID) (time.Duration, bool) {
					if run.Attempt == 1 {
						return time.Second, true
					}
					return 10 * time.Second, true
				}, c.taskSize)
				c.addWorkers(2)
				c.currentDirectory = func() connector.Directory {
					d := c.directory()
					config := testConfig
					config.MaxAttempts = attempts
					d.Queues = map[identifier.Queue]connector.QueueConfig{testQueue: config}
					return d
				}
				job := c.oneTaskJob(1, 1500, false)
				c.takeOver()
				c.submit(job)
				time.Sleep(500 * time.Millisecond)
				id := c.fleet.WorkerOf(identifier.JobTask{Job: job.ID})
				c.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true})
				for c.fleet.Starts() < attempts {
					time.Sleep(20 * time.Millisecond)
				}
				for range tt.takeovers {
					time.Sleep(time.Second)
					tt.takeOver(c)
				}
				c.fleet.SetFaults(id, simulator.WorkerFaults{})
				time.Sleep(20 * time.Second)
				if n := c.fleet.Starts(); n != attempts {
					t.Errorf("%d runs started, want %d", n, attempts)
				}
				if state, _, _ := c.holder.Load().term.Load().State(t.Context(), job.ID); state != planner.StateFailed {
					t.Errorf("job is %s, want it failed", state)
				}
			})
		})
	}
}
