package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// link delays the calls of all holders to workers, one way each, and loses the answers of a worker.
type link struct {
	there, back time.Duration
	mute        atomic.Pointer[identifier.Worker]
}

// linkedRunner is a connector.Runner over a link.
type linkedRunner struct {
	connector.Runner
	link *link
}

func call[A any](ctx context.Context, l *link, to connector.WorkerTarget, do func() (A, error)) (A, error) {
	sleeper.Pause(ctx, l.there)
	a, err := do()
	if m := l.mute.Load(); m != nil && *m == to.ID {
		<-ctx.Done()
		return a, errors.Mark(ctx.Err(), connector.ErrUnknown)
	}
	sleeper.Pause(ctx, l.back)
	return a, err
}

// Start implements connector.Runner.
func (r linkedRunner) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	return call(ctx, r.link, to, func() (connector.OrderAnswer, error) { return r.Runner.Start(ctx, to, o) })
}

// Hold implements connector.Runner.
func (r linkedRunner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	return call(ctx, r.link, to, func() (connector.HoldAnswer, error) { return r.Runner.Hold(ctx, to, o) })
}

// TestTasksOfCutOffWorkersRunOnce guards against tasks that run twice: workers whose clocks are as slow
// as allowed are cut off, in both ways or only theirs, beside planned stops, crashes and replacements of
// the holder, while decoding the state takes a successor long.
func TestTasksOfCutOffWorkersRunOnce(t *testing.T) {
	changes := map[string]func(c *testCell){
		"stop":    func(c *testCell) { c.holder.Load().stop(); c.takeOver() },
		"crash":   killHolder,
		"replace": replaceHolder,
	}
	for _, decoding := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		for name, change := range changes {
			for _, oneWay := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, one way %v, decoding %v", name, oneWay, decoding), func(t *testing.T) {
					for seed := *firstSeed; seed < *firstSeed+min(*seeds, 4); seed++ {
						synctest.Test(t, func(t *testing.T) { runCutTrial(t, seed, decoding, oneWay, change) })
					}
				})
			}
		}
	}
}

// runCutTrial cuts off one worker after the other, and changes the holder shortly before or after that.
func runCutTrial(t *testing.T, seed uint64, decoding time.Duration, oneWay bool, change func(c *testCell)) {
	c := newTestCell(t, seed)
	defer c.close()
	c.fleet = simulator.NewFleet(seed, func(connector.RunID) (time.Duration, bool) { return longRunTime, false }, c.taskSize, simulator.WithSlowClocks())
	c.addWorkers(testWorkers)
	c.decodeDelay = decoding
	ms := func(low, high int) time.Duration {
		return time.Duration(low+rand.New(rand.NewPCG(seed, uint64(high))).IntN(high-low)) * time.Millisecond
	}
	l := &link{there: ms(5, 50), back: ms(5, 51)}
	c.wrapRunner = func(r connector.Runner) connector.Runner { return linkedRunner{r, l} }
	job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
		{Count: testWorkers, Size: identifier.Size{Processors: 1500, Memory: 1000}, LongRunning: true, MaxPerWorker: 2},
	}}
	c.jobs[job.ID] = job
	c.takeOver()
	c.submit(job)
	time.Sleep(10 * time.Second)
	for i := range 3 {
		id := workerID(i)
		cut := func() { c.fleet.SetFaults(id, simulator.WorkerFaults{Cut: true}) }
		if oneWay {
			cut = func() { l.mute.Store(&id) }
		}
		time.AfterFunc(ms(1, 3000+i), cut)
		time.Sleep(ms(1, 3100+i))
		change(c)
		time.Sleep(20 * time.Second)
		c.fleet.SetFaults(id, simulator.WorkerFaults{})
		l.mute.Store(nil)
		time.Sleep(5 * time.Second)
	}
	for _, b := range c.fleet.Breaches() {
		t.Error(b)
	}
	if n := c.fleet.ActiveRuns(job.ID); n != testWorkers {
		t.Errorf("%d tasks run at the end, want %d", n, testWorkers)
	}
}

// TestNoStartBeforeTheTermIsConfirmed guards against a holder that goes on after another one may have
// begun a term: a start would begin a lease that the other's successors do not wait for.
func TestNoStartBeforeTheTermIsConfirmed(t *testing.T) {
	tests := map[string]struct {
		confirmed uint64
		// ago is how long ago the last append was sent.
		ago  time.Duration
		want bool
	}{
		"confirmed":                       {confirmed: 3, ago: time.Minute, want: true},
		"another holder may have existed": {confirmed: 2, ago: testGrace + time.Millisecond},
		"no longer than leases are renewed without the store": {confirmed: 2, ago: testGrace, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1)
				defer c.stop()
				runner, disconnect := c.fleet.Client()
				defer disconnect()
				term := NewTerm(0, testSettings("host"), c.store.Client("host"), runner, zap.NewNop(), WithTenure(func() uint64 { return 3 }))
				term.confirm(tt.confirmed, term.uptime())
				time.Sleep(tt.ago)
				pool, err := ants.NewPool(1)
				if err != nil {
					t.Fatal(err)
				}
				defer pool.Release()
				term.pool = pool
				c.jobs[jobID(1)] = c.oneTaskJob(1, 1500, false)
				run := connector.RunID{Task: identifier.JobTask{Job: jobID(1)}, Attempt: 1}
				term.startRun(t.Context(), planner.StartRun{
					To:    connector.WorkerTarget{ID: workerID(0)},
					Order: connector.RunOrder{Run: run, Epoch: 1, LeaseUntil: connector.WorkerClock(tt.ago + testLease)},
				})
				time.Sleep(time.Second)
				if got := c.fleet.Starts() == 1; got != tt.want {
					t.Errorf("started: %v, want %v", got, tt.want)
				}
				if events, _ := term.events.take(); len(events) != 1 {
					t.Errorf("planner got %d events, want the outcome", len(events))
				}
			})
		})
	}
}
