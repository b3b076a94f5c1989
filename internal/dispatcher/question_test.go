package dispatcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// delayedInboxStore is a store whose waiting reads of the inbox return new records only at the end
// of the wait, so that a query finds them before followInbox does.
type delayedInboxStore struct{ connector.Store }

func (s delayedInboxStore) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	if topic == intake.TopicInbox && wait > 0 {
		time.Sleep(wait)
	}
	return s.Store.Read(ctx, topic, part, from, 0)
}

// slowStopRunner delays orders to stop a run, and records whether their context ended meanwhile.
type slowStopRunner struct {
	connector.Runner
	mu   sync.Mutex
	errs []error
}

func (r *slowStopRunner) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	err := context.Cause(ctx)
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
		err = ctx.Err()
	}
	r.mu.Lock()
	r.errs = append(r.errs, err)
	r.mu.Unlock()
	if err != nil {
		return connector.OrderAnswer{}, err
	}
	return r.Runner.Stop(ctx, to, run, epoch)
}

// TestOrdersOutliveTheQueryThatCausedThem guards against orders that end with the context of a
// query: a query about an unknown job reads the inbox, the cancellation found there makes the
// planner stop a run, and the query ends before the worker has answered.
func TestOrdersOutliveTheQueryThatCausedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1)
		defer c.close()
		job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: 1, Size: identifier.Size{Processors: 1000, Memory: 1000}, LongRunning: true},
		}}
		c.jobs[job.ID] = job
		c.submit(job)
		runner, disconnect := c.fleet.Client()
		stopRunner := &slowStopRunner{Runner: runner}
		h := &testHolder{name: "host", done: make(chan struct{}), kill: disconnect}
		h.lastSeen.Store(time.Now().UnixNano())
		term := NewTerm(0, testSettings("host"), delayedInboxStore{c.store.Client("host")}, stopRunner, zap.NewNop())
		h.term.Store(term)
		c.holder.Store(h)
		go func() {
			defer close(h.done)
			_ = term.Run(c.ctx, c.directory())
		}()
		go c.feedDirectory(c.ctx, h)
		time.Sleep(2100 * time.Millisecond)
		if n := term.Stats().Runs; n != 1 {
			t.Fatalf("%d runs before the job is cancelled, want 1", n)
		}
		c.cancel(job.ID)
		queryCtx, endQuery := context.WithCancel(c.ctx)
		if _, known, err := term.State(queryCtx, jobID(2)); known || err != nil {
			t.Fatalf("query about an unknown job: known %v, error %v", known, err)
		}
		endQuery()
		time.Sleep(300 * time.Millisecond)
		stopRunner.mu.Lock()
		defer stopRunner.mu.Unlock()
		if len(stopRunner.errs) == 0 || stopRunner.errs[0] != nil {
			t.Fatalf("errors of the orders to stop: %v, want the first to be nil", stopRunner.errs)
		}
	})
}
