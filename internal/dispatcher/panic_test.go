package dispatcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// panickingRunner is a runner whose next panicsLeft calls panic.
type panickingRunner struct {
	connector.Runner
	panicsLeft atomic.Int64
}

func (r *panickingRunner) maybePanic() {
	if r.panicsLeft.Add(-1) >= 0 {
		panic("injected panic")
	}
}

func (r *panickingRunner) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	r.maybePanic()
	return r.Runner.Start(ctx, to, o)
}

func (r *panickingRunner) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	r.maybePanic()
	return r.Runner.Stop(ctx, to, run, epoch)
}

func (r *panickingRunner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	r.maybePanic()
	return r.Runner.Hold(ctx, to, o)
}

// TestPanickingCallsAreReportedAsFailed guards against calls that panic without an answer for the
// planner: it would never poll their workers again, and count the orders as in flight forever.
func TestPanickingCallsAreReportedAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1)
		defer c.close()
		c.createJobs()
		runner := &panickingRunner{}
		c.wrapRunner = func(r connector.Runner) connector.Runner { runner.Runner = r; return runner }
		c.takeOver()
		time.Sleep(time.Second)
		runner.panicsLeft.Store(20)
		for n := range testJobs {
			c.submit(c.jobs[jobID(n)])
		}
		time.Sleep(20 * time.Second)
		for id, state := range c.waitForJobs(30 * time.Second) {
			t.Errorf("job %s is still %q", id, state)
		}
		time.Sleep(2 * time.Second)
		if s := c.holder.Load().term.Load().Stats(); s.OrdersUnderWay != 0 || s.UsableWorkers != testWorkers {
			t.Errorf("%d orders in flight and %d usable workers, want none and %d", s.OrdersUnderWay, s.UsableWorkers, testWorkers)
		}
	})
}
