package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	urgentQueue    identifier.Queue = "checks"
	longRunningJob identifier.Job   = "00000000000000aa"
	// callsPerSecond is how many calls the holder can make. A task costs one call to start it and
	// a share of a poll, which reports all tasks that end at a worker at the same time.
	callsPerSecond   = 400
	overloadWorkers  = 60
	longRunningTasks = 120
	runTime          = 300 * time.Millisecond
	submitPeriod     = 50 * time.Millisecond
	urgentPeriod     = 250 * time.Millisecond
	// maxUrgentDelay is by when an urgent task has to start, 20 times the usual delay.
	maxUrgentDelay = time.Second
	// minStarted is half of the number of tasks that start without overload.
	minStarted = 1300
)

// rateLimitedRunner makes one call after the other, each of which takes cost, as on a small host
// with a busy processor or link. A call whose context ends before its turn takes as long, but is
// not made.
type rateLimitedRunner struct {
	connector.Runner
	cost time.Duration

	mu sync.Mutex
	// freeAt is when the last call that was queued is done.
	freeAt time.Time
}

// waitTurn waits until it is a call's turn, or until ctx ends.
func (r *rateLimitedRunner) waitTurn(ctx context.Context) error {
	r.mu.Lock()
	now := time.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(r.cost)
	wait := r.freeAt.Sub(now)
	r.mu.Unlock()
	sleeper.Pause(ctx, wait)
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	return nil
}

// Start implements connector.Runner.
func (r *rateLimitedRunner) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	if err := r.waitTurn(ctx); err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.Start(ctx, to, o)
}

// Stop implements connector.Runner.
func (r *rateLimitedRunner) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	if err := r.waitTurn(ctx); err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.Stop(ctx, to, run, epoch)
}

// SetPace implements connector.Runner.
func (r *rateLimitedRunner) SetPace(ctx context.Context, to connector.WorkerTarget, run connector.RunID, percent int, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	if err := r.waitTurn(ctx); err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.SetPace(ctx, to, run, percent, epoch)
}

// Hold implements connector.Runner.
func (r *rateLimitedRunner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	if err := r.waitTurn(ctx); err != nil {
		return connector.HoldAnswer{}, err
	}
	a, err := r.Runner.Hold(ctx, to, o)
	for i := range a.Active {
		a.Active[i].Percent = 100
	}
	return a, err
}

// overloadCell is a cell whose holder can make only callsPerSecond calls.
type overloadCell struct {
	*testCell

	mu sync.Mutex
	// starts counts the runs of each task.
	starts      map[identifier.JobTask]int
	submittedAt map[identifier.Job]time.Time
	// startDelays are the times from the submission of a job to its first start.
	startDelays map[identifier.Job]time.Duration
}

func queueConfig(q identifier.Queue, priority int) connector.QueueConfig {
	c := testConfig
	c.Name, c.Priority = q, priority
	return c
}

var overloadQueues = map[identifier.Queue]connector.QueueConfig{
	testQueue:   queueConfig(testQueue, 2),
	urgentQueue: queueConfig(urgentQueue, 0),
}

func newOverloadCell(t *testing.T) *overloadCell {
	c := &overloadCell{
		testCell: &testCell{t: t, jobs: map[identifier.Job]submitter.Job{}, store: simulator.NewStore(1, 1)},
		starts:   map[identifier.JobTask]int{}, submittedAt: map[identifier.Job]time.Time{}, startDelays: map[identifier.Job]time.Duration{},
	}
	c.ctx, c.stop = context.WithCancel(t.Context())
	size := identifier.Size{Processors: 100, Memory: 100}
	c.fleet = simulator.NewFleet(1, c.recordStart, func(identifier.JobTask) identifier.Size { return size })
	for i := range overloadWorkers {
		c.fleet.Add(connector.WorkerEntry{
			ID: workerID(i), Service: testService, Address: "x", DataCentre: "a", Capacity: identifier.Size{Processors: 8000, Memory: 16000},
		})
	}
	return c
}

// recordStart records that a run starts at a worker, and returns how long it takes and that it does
// not fail.
func (c *overloadCell) recordStart(run connector.RunID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[run.Task]++
	if run.Task.Job == longRunningJob {
		return time.Hour, false
	}
	if _, known := c.startDelays[run.Task.Job]; !known {
		c.startDelays[run.Task.Job] = time.Since(c.submittedAt[run.Task.Job])
	}
	return runTime, false
}

func (c *overloadCell) directory() connector.Directory {
	d := c.testCell.directory()
	d.Queues = overloadQueues
	return d
}

// startHolder begins the term of the holder; done is closed at its end.
func (c *overloadCell) startHolder() (done chan struct{}) {
	runner, _ := c.fleet.Client()
	limited := &rateLimitedRunner{Runner: runner, cost: time.Second / callsPerSecond}
	term := NewTerm(0, testSettings("host1"), c.store.Client("host1"), limited, zap.NewNop())
	done = make(chan struct{})
	go func() {
		defer close(done)
		_ = term.Run(c.ctx, c.directory())
	}()
	go func() {
		for c.ctx.Err() == nil {
			sleeper.Pause(c.ctx, 200*time.Millisecond)
			term.Notify(planner.DirectoryChanged{Directory: c.directory()})
		}
	}()
	return done
}

// submitStep submits a job of one step, whose size it sets.
func (c *overloadCell) submitStep(id identifier.Job, q identifier.Queue, step submitter.Step) {
	step.Size = identifier.Size{Processors: 100, Memory: 100}
	job := submitter.Job{ID: id, Queue: q, Spec: "s", Steps: []submitter.Step{step}}
	c.mu.Lock()
	c.jobs[id], c.submittedAt[id] = job, time.Now()
	c.mu.Unlock()
	c.submit(job)
}

// submitEvery submits a job to a queue in every period until ctx ends.
func (c *overloadCell) submitEvery(ctx context.Context, q identifier.Queue, period time.Duration, tasks int) {
	for n := 0; ctx.Err() == nil; n++ {
		c.submitStep(identifier.Job(fmt.Sprintf("%s%08x", q, n)), q, submitter.Step{Count: tasks, Estimate: identifier.Duration(runTime)})
		sleeper.Pause(ctx, period)
	}
}

// TestOverloadedHolderKeepsLeases guards against leases that expire, and urgent tasks that wait,
// while a holder has more calls to make than it can. The loads are tasks per submitted job.
func TestOverloadedHolderKeepsLeases(t *testing.T) {
	tests := map[string]int{"within capacity": 7, "2.2 times": 24, "2.8 times": 30}
	for name, tasks := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOverloadTrial(t, tasks) })
		})
	}
}

func runOverloadTrial(t *testing.T, tasks int) {
	c := newOverloadCell(t)
	done := c.startHolder()
	c.submitStep(longRunningJob, testQueue, submitter.Step{Count: longRunningTasks, LongRunning: true})
	time.Sleep(4 * time.Second)
	if n := c.fleet.ActiveRuns(longRunningJob); n != longRunningTasks {
		t.Errorf("%d of %d long-running tasks run before the overload", n, longRunningTasks)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	go c.submitEvery(ctx, testQueue, submitPeriod, tasks)
	go c.submitEvery(ctx, urgentQueue, urgentPeriod, 1)
	time.Sleep(20 * time.Second)
	cancel()
	c.checkRuns()
	c.checkUrgent()
	c.stop()
	<-done
	time.Sleep(time.Minute)
	synctest.Wait()
}

// maxCancelDelay is by when the runs of a cancelled job have to be stopped. It is the shortest
// bound that users set for a start after a cancellation and for the stop of a run.
const maxCancelDelay = 3900 * time.Millisecond

// TestCancelledJobsStopUnderOverload guards against stops that wait behind starts: a job of many
// runs is cancelled while the holder has more calls to make than it can.
func TestCancelledJobsStopUnderOverload(t *testing.T) {
	tests := map[string]int{"within capacity": 7, "2.2 times": 24, "2.8 times": 30}
	for name, tasks := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newOverloadCell(t)
				done := c.startHolder()
				c.submitStep(longRunningJob, testQueue, submitter.Step{Count: longRunningTasks, LongRunning: true})
				time.Sleep(4 * time.Second)
				ctx, cancel := context.WithCancel(c.ctx)
				go c.submitEvery(ctx, testQueue, submitPeriod, tasks)
				time.Sleep(10 * time.Second)
				c.cancel(longRunningJob)
				time.Sleep(maxCancelDelay)
				if n := c.fleet.ActiveRuns(longRunningJob); n > 0 {
					t.Errorf("%d of %d runs still go on %v after their job was cancelled", n, longRunningTasks, maxCancelDelay)
				}
				cancel()
				c.stop()
				<-done
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}

// checkRuns checks that no run was lost and that enough tasks started.
func (c *overloadCell) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted, restarted := 0, 0
	for task, n := range c.starts {
		switch {
		case n < 2:
		case task.Job == longRunningJob:
			interrupted++
		default:
			restarted++
		}
	}
	if interrupted > 0 {
		c.t.Errorf("leases of %d of %d long-running tasks expired", interrupted, longRunningTasks)
	}
	if restarted > 0 {
		c.t.Errorf("%d other tasks were lost and restarted", restarted)
	}
	if n := len(c.starts) - longRunningTasks; n < minStarted {
		c.t.Errorf("%d other tasks started, want at least %d", n, minStarted)
	}
	for _, b := range c.fleet.Breaches() {
		c.t.Error(b)
	}
}

// checkUrgent checks that urgent tasks started within maxUrgentDelay.
func (c *overloadCell) checkUrgent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, total := 0, 0
	for id, at := range c.submittedAt {
		if c.jobs[id].Queue != urgentQueue || time.Since(at) < maxUrgentDelay {
			continue
		}
		total++
		if wait, begun := c.startDelays[id]; !begun || wait > maxUrgentDelay {
			late++
		}
	}
	if late > 0 {
		c.t.Errorf("%d of %d urgent tasks did not start within %v", late, total, maxUrgentDelay)
	}
}
