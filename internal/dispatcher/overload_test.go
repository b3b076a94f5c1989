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
	urgentQueue identifier.Queue = "checks"
	lastingJob  identifier.Job   = "00000000000000aa"
	// callsPerSecond is what the holder carries. A task costs a start and, beside
	// others that end at the same time, a look at its worker.
	callsPerSecond = 400
	crowdWorkers   = 60
	lastingTasks   = 120
	runTime        = 300 * time.Millisecond
	submitPeriod   = 50 * time.Millisecond
	urgentPeriod   = 250 * time.Millisecond
	// urgentBound is by when an urgent task has to begin, 20 times the usual.
	urgentBound = time.Second
	// leastServed is half of the tasks that begin when no more are offered than the
	// holder carries.
	leastServed = 1300
)

// narrowRunner passes calls one after the other, as a processor or a link of a small
// host does. One whose caller has left costs as much and has no effect.
type narrowRunner struct {
	connector.Runner
	cost time.Duration

	mu   sync.Mutex
	free time.Time
}

// pass waits for the turn of a call.
func (r *narrowRunner) pass(ctx context.Context) error {
	r.mu.Lock()
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(r.cost)
	turn := r.free.Sub(now)
	r.mu.Unlock()
	sleeper.Pause(ctx, turn)
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	return nil
}

// Start implements connector.Runner.
func (r *narrowRunner) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.Start(ctx, to, o)
}

// Stop implements connector.Runner.
func (r *narrowRunner) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.Stop(ctx, to, run, epoch)
}

// SetPace implements connector.Runner.
func (r *narrowRunner) SetPace(ctx context.Context, to connector.WorkerTarget, run connector.RunID, percent int, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.SetPace(ctx, to, run, percent, epoch)
}

// Hold implements connector.Runner.
func (r *narrowRunner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return connector.HoldAnswer{}, err
	}
	a, err := r.Runner.Hold(ctx, to, o)
	for i := range a.Active {
		a.Active[i].Percent = 100
	}
	return a, err
}

// crowd is a cell whose holder is offered more calls than it can make.
type crowd struct {
	*world

	mu     sync.Mutex
	begun  map[identifier.JobTask]int
	handed map[identifier.Job]time.Time
	waits  map[identifier.Job]time.Duration
}

func crowdConfig(q identifier.Queue, priority int) connector.QueueConfig {
	c := testConfig
	c.Name, c.Priority = q, priority
	return c
}

var crowdQueues = map[identifier.Queue]connector.QueueConfig{
	testQueue:   crowdConfig(testQueue, 2),
	urgentQueue: crowdConfig(urgentQueue, 0),
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{
		world: &world{t: t, jobs: map[identifier.Job]submitter.Job{}, store: simulator.NewStore(1, 1)},
		begun: map[identifier.JobTask]int{}, handed: map[identifier.Job]time.Time{}, waits: map[identifier.Job]time.Duration{},
	}
	c.ctx, c.stop = context.WithCancel(t.Context())
	size := identifier.Size{Processors: 100, Memory: 100}
	c.fleet = simulator.NewFleet(1, c.begins, func(identifier.JobTask) identifier.Size { return size })
	for i := range crowdWorkers {
		c.fleet.Add(connector.WorkerEntry{
			ID: workerID(i), Service: testService, Address: "x", DataCentre: "a", Capacity: identifier.Size{Processors: 8000, Memory: 16000},
		})
	}
	return c
}

// begins notes that a run begins at a worker.
func (c *crowd) begins(run connector.RunID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun[run.Task]++
	if run.Task.Job == lastingJob {
		return time.Hour, false
	}
	if _, known := c.waits[run.Task.Job]; !known {
		c.waits[run.Task.Job] = time.Since(c.handed[run.Task.Job])
	}
	return runTime, false
}

func (c *crowd) directory() connector.Directory {
	d := c.world.directory()
	d.Queues = crowdQueues
	return d
}

// hold begins the term of the holder.
func (c *crowd) hold() (done chan struct{}) {
	runner, _ := c.fleet.Client()
	narrow := &narrowRunner{Runner: runner, cost: time.Second / callsPerSecond}
	term := NewTerm(0, settings("host1"), c.store.Client("host1"), narrow, zap.NewNop())
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

// hand submits a job of one step.
func (c *crowd) hand(id identifier.Job, q identifier.Queue, step submitter.Step) {
	step.Size = identifier.Size{Processors: 100, Memory: 100}
	job := submitter.Job{ID: id, Queue: q, Spec: "s", Steps: []submitter.Step{step}}
	c.mu.Lock()
	c.jobs[id], c.handed[id] = job, time.Now()
	c.mu.Unlock()
	c.submit(job)
}

// handMany submits jobs of a queue, one each period, until ctx ends.
func (c *crowd) handMany(ctx context.Context, q identifier.Queue, period time.Duration, tasks int) {
	for n := 0; ctx.Err() == nil; n++ {
		c.hand(identifier.Job(fmt.Sprintf("%s%08x", q, n)), q, submitter.Step{Count: tasks, Estimate: identifier.Duration(runTime)})
		sleeper.Pause(ctx, period)
	}
}

// TestOverloadedHolderKeepsLeases offers a holder more calls than it can make.
func TestOverloadedHolderKeepsLeases(t *testing.T) {
	tests := map[string]int{"within its reach": 7, "2.2 times": 24, "2.8 times": 30}
	for name, tasks := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crowded(t, tasks) })
		})
	}
}

func crowded(t *testing.T, tasks int) {
	c := newCrowd(t)
	done := c.hold()
	c.hand(lastingJob, testQueue, submitter.Step{Count: lastingTasks, LongRunning: true})
	time.Sleep(4 * time.Second)
	if n := c.fleet.ActiveRuns(lastingJob); n != lastingTasks {
		t.Errorf("%d of %d lasting tasks run before the overload", n, lastingTasks)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	go c.handMany(ctx, testQueue, submitPeriod, tasks)
	go c.handMany(ctx, urgentQueue, urgentPeriod, 1)
	time.Sleep(20 * time.Second)
	cancel()
	c.judgeRuns()
	c.judgeUrgent()
	c.stop()
	<-done
	time.Sleep(time.Minute)
	synctest.Wait()
}

// cancelBound is by when the runs of a cancelled job have to be gone, the users' shortest
// bound for a start after a cancellation and for the stop of a run.
const cancelBound = 3900 * time.Millisecond

// TestCancelledJobsStopUnderOverload cancels a job of many runs while a holder is offered
// more calls than it can make.
func TestCancelledJobsStopUnderOverload(t *testing.T) {
	tests := map[string]int{"within its reach": 7, "2.2 times": 24, "2.8 times": 30}
	for name, tasks := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrowd(t)
				done := c.hold()
				c.hand(lastingJob, testQueue, submitter.Step{Count: lastingTasks, LongRunning: true})
				time.Sleep(4 * time.Second)
				ctx, cancel := context.WithCancel(c.ctx)
				go c.handMany(ctx, testQueue, submitPeriod, tasks)
				time.Sleep(10 * time.Second)
				c.cancel(lastingJob)
				time.Sleep(cancelBound)
				if n := c.fleet.ActiveRuns(lastingJob); n > 0 {
					t.Errorf("%d of %d runs go on %v after their job was cancelled", n, lastingTasks, cancelBound)
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

// judgeRuns checks that what began goes on, and that enough began.
func (c *crowd) judgeRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted, again := 0, 0
	for task, n := range c.begun {
		switch {
		case n < 2:
		case task.Job == lastingJob:
			interrupted++
		default:
			again++
		}
	}
	if interrupted > 0 {
		c.t.Errorf("the leases of %d of %d lasting tasks lapsed", interrupted, lastingTasks)
	}
	if again > 0 {
		c.t.Errorf("%d tasks that ran were lost and began again", again)
	}
	if n := len(c.begun) - lastingTasks; n < leastServed {
		c.t.Errorf("%d short tasks began, want %d", n, leastServed)
	}
	for _, b := range c.fleet.Breaches() {
		c.t.Error(b)
	}
}

// judgeUrgent checks that urgent tasks did not wait behind others.
func (c *crowd) judgeUrgent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, all := 0, 0
	for id, at := range c.handed {
		if c.jobs[id].Queue != urgentQueue || time.Since(at) < urgentBound {
			continue
		}
		all++
		if wait, begun := c.waits[id]; !begun || wait > urgentBound {
			late++
		}
	}
	if late > 0 {
		c.t.Errorf("%d of %d urgent tasks did not begin within %v", late, all, urgentBound)
	}
}
