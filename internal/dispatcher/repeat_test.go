package dispatcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// newRepeatCell returns a cell with the given number of workers, whose runs behave as given.
func newRepeatCell(t *testing.T, workers int, behaviour simulator.Behaviour) *testCell {
	c := newTestCell(t, 1)
	c.fleet = simulator.NewFleet(1, behaviour, c.taskSize)
	c.addWorkers(workers)
	c.takeOver()
	return c
}

// submitSteps creates and submits a job.
func (c *testCell) submitSteps(n int, steps ...submitter.Step) identifier.Job {
	job := submitter.Job{ID: jobID(n), Queue: testQueue, Spec: "s", Steps: steps}
	c.jobs[job.ID] = job
	c.submit(job)
	return job.ID
}

// stateOf returns the state of a job.
func (c *testCell) stateOf(id identifier.Job) planner.JobState {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	state, _, _ := c.holder.Load().term.Load().State(ctx, id)
	return state
}

// maxProbe is how long a job of one short task may take beside a task that is repeated.
const maxProbe = time.Second

// probe submits the job of one short task and checks that it is completed within maxProbe.
func (c *testCell) probe(t *testing.T, n int) {
	t.Helper()
	id := c.submitSteps(100+n, smallStep)
	time.Sleep(maxProbe)
	if state := c.stateOf(id); state != planner.StateCompleted {
		t.Errorf("a short job beside the repeated task is %q after %v", state, maxProbe)
	}
}

var smallStep = submitter.Step{Count: 1, Size: identifier.Size{Processors: 1000, Memory: 1000}, Estimate: identifier.Duration(300 * time.Millisecond)}

// TestLongTaskOfAStepEnds guards against a task that takes far longer than the others of its step
// and is stopped and started again for ever, and against workers that get no tasks since they are
// blamed for it.
func TestLongTaskOfAStepEnds(t *testing.T) {
	const (
		others = 300 * time.Millisecond
		// maxStarts is the number of starts of the long task: it may be tried on other workers,
		// but not again and again.
		maxStarts = 5
	)
	tests := map[string]struct {
		workers   int
		long      time.Duration
		takeovers int
		// wasted bounds the time that the stopped runs of the long task take.
		wasted time.Duration
	}{
		"one worker":                     {1, 15 * time.Second, 0, 0},
		"one worker, takeovers":          {1, 15 * time.Second, 2, 0},
		"many workers":                   {4, 15 * time.Second, 0, 5 * time.Second},
		"many workers, takeovers":        {4, 15 * time.Second, 2, 8 * time.Second},
		"progress that rarely changes":   {1, 400 * time.Second, 0, 15 * time.Second},
		"progress that rarely changes 4": {4, 400 * time.Second, 0, 15 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var starts atomic.Int64
				c := newRepeatCell(t, tt.workers, func(run connector.RunID) (time.Duration, bool) {
					if run.Task.Job == jobID(1) && run.Task.Index == 0 {
						starts.Add(1)
						return tt.long, false
					}
					return others, false
				})
				defer c.close()
				step := smallStep
				step.Count = 8
				id := c.submitSteps(1, step)
				began := time.Now()
				go func() {
					for range tt.takeovers {
						time.Sleep(3 * time.Second)
						crashHolder(c)
					}
				}()
				time.Sleep(3*time.Second + time.Duration(tt.takeovers)*(3*time.Second+takeoverGap))
				limit := tt.long + tt.wasted + 2*time.Second
				for n := 0; c.stateOf(id) != planner.StateCompleted; n++ {
					if time.Since(began) > limit {
						t.Fatalf("the job is %q after %v and %d starts of its long task", c.stateOf(id), limit, starts.Load())
					}
					c.probe(t, n)
				}
				if n := starts.Load(); n > maxStarts {
					t.Errorf("%d starts of the long task, want at most %d", n, maxStarts)
				}
				for _, b := range c.fleet.Breaches() {
					t.Error(b)
				}
			})
		})
	}
}

// TestFailingLongRunningTaskIsDelayed guards against a long-running task that ends soon after each
// start and is started again without a delay, and against workers that get no tasks since they are
// blamed for it. It must still run again within the time that callers accept.
func TestFailingLongRunningTaskIsDelayed(t *testing.T) {
	const (
		runTime = 50 * time.Millisecond
		watch   = 30 * time.Second
		// maxDown is how long a long-running task may be without a run, maxStarts what a delay
		// of a second on average leads to.
		maxDown   = 6 * time.Second
		maxStarts = int64(watch/time.Second) + 10
	)
	for _, workers := range []int{1, 4} {
		for _, fails := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d workers, fails %t", workers, fails), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var starts, last, gap atomic.Int64
					c := newRepeatCell(t, workers, func(run connector.RunID) (time.Duration, bool) {
						if run.Task.Job != jobID(1) {
							return 300 * time.Millisecond, false
						}
						now := time.Now().UnixNano()
						if before := last.Swap(now); before > 0 {
							gap.Store(max(gap.Load(), now-before))
						}
						starts.Add(1)
						return runTime, fails
					})
					defer c.close()
					step := smallStep
					step.LongRunning = true
					c.submitSteps(1, step)
					for n := range int(watch / time.Second) {
						c.probe(t, n)
					}
					if n := starts.Load(); n > maxStarts {
						t.Errorf("%d starts in %v, want at most %d", n, watch, maxStarts)
					}
					if d := time.Duration(gap.Load()); d > maxDown {
						t.Errorf("not started for %v, want at most %v", d, maxDown)
					}
				})
			})
		}
	}
}

// refusingRunner refuses each start of one job as invalid.
type refusingRunner struct {
	connector.Runner
	job    identifier.Job
	starts *atomic.Int64
}

// Start implements connector.Runner.
func (r refusingRunner) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	if o.Run.Task.Job != r.job {
		return r.Runner.Start(ctx, to, o)
	}
	r.starts.Add(1)
	return connector.OrderAnswer{Verdict: connector.VerdictInvalid}, nil
}

// TestRefusedTaskIsDelayed guards against a task whose starts all workers refuse and that is tried
// again without a delay, and against workers that get no tasks since they are blamed for it.
func TestRefusedTaskIsDelayed(t *testing.T) {
	const (
		watch     = 30 * time.Second
		maxStarts = int64(watch/time.Second) + 10
	)
	for _, workers := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var starts atomic.Int64
				c := newTestCell(t, 1)
				c.fleet = simulator.NewFleet(1, func(connector.RunID) (time.Duration, bool) { return 300 * time.Millisecond, false }, c.taskSize)
				c.addWorkers(workers)
				c.wrapRunner = func(r connector.Runner) connector.Runner { return refusingRunner{r, jobID(1), &starts} }
				c.takeOver()
				defer c.close()
				c.submitSteps(1, smallStep)
				for n := range int(watch / time.Second) {
					c.probe(t, n)
				}
				if n := starts.Load(); n > maxStarts {
					t.Errorf("%d starts in %v, want at most %d", n, watch, maxStarts)
				}
			})
		})
	}
}
