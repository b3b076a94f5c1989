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

// breaking is a runner whose first calls of each kind panic.
type breaking struct {
	connector.Runner
	left atomic.Int64
}

func (r *breaking) breaks() {
	if r.left.Add(-1) >= 0 {
		panic("broken call")
	}
}

func (r *breaking) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	r.breaks()
	return r.Runner.Start(ctx, to, o)
}

func (r *breaking) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	r.breaks()
	return r.Runner.Stop(ctx, to, run, epoch)
}

func (r *breaking) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	r.breaks()
	return r.Runner.Hold(ctx, to, o)
}

// TestCallsThatPanicAreAnswered guards against workers that are never looked at again, and
// a window of orders that stays full, after calls that panicked.
func TestCallsThatPanicAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.close()
		w.prepare()
		runner := &breaking{}
		w.wrap = func(r connector.Runner) connector.Runner { runner.Runner = r; return runner }
		w.takeOver()
		time.Sleep(time.Second)
		runner.left.Store(20)
		for n := range testJobs {
			w.submit(w.jobs[jobID(n)])
		}
		time.Sleep(20 * time.Second)
		for id, state := range w.settle(30 * time.Second) {
			t.Errorf("job %s is still %q", id, state)
		}
		time.Sleep(2 * time.Second)
		if s := w.holder.Load().term.Load().Stats(); s.OrdersUnderWay != 0 || s.UsableWorkers != testWorkers {
			t.Errorf("%d orders under way and %d workers in use, want none and %d", s.OrdersUnderWay, s.UsableWorkers, testWorkers)
		}
	})
}
