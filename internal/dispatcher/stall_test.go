package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestTakeoversDoNotProlongStalls guards against a long-running task that makes no progress and is
// never moved to another worker, because the time without progress starts again with each holder.
func TestTakeoversDoNotProlongStalls(t *testing.T) {
	const (
		// maxStartup is how long a long-running task may take to be in service, and maxMove how
		// long it may take to stop it and start it on another worker.
		maxStartup = 3 * time.Second
		maxMove    = 3 * time.Second
	)
	for name, tt := range takeoverCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, full, bad := newTwoWorkerCell(t, 4, time.Second)
				defer c.close()
				c.fleet.SetFaults(bad, simulator.WorkerFaults{Hanging: true})
				job := c.oneTaskJob(2, 1500, true)
				c.submit(job)
				time.Sleep(200 * time.Millisecond)
				c.cancel(full.ID)
				began := time.Now()
				moved := make(chan time.Duration, 1)
				go func() {
					task := identifier.JobTask{Job: job.ID}
					for id := bad; id == bad || id == ""; id = c.fleet.WorkerOf(task) {
						time.Sleep(20 * time.Millisecond)
						if time.Since(began) > time.Minute {
							break
						}
					}
					moved <- time.Since(began)
				}()
				for range tt.takeovers {
					time.Sleep(2200 * time.Millisecond)
					tt.takeOver(c)
				}
				took := <-moved
				// After a crash, the cell has no holder for takeoverGap.
				if limit := maxStartup + maxMove + takeoverGap; took > limit {
					t.Errorf("task was moved after %v, want at most %v", took, limit)
				}
				t.Logf("moved after %v", took)
			})
		})
	}
}
