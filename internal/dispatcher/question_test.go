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

// shortReads is a store whose reads never wait, so that what is written to the inbox
// is found by the next question before the term itself looks.
type shortReads struct{ connector.Store }

func (s shortReads) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (connector.ReadResult, error) {
	if topic == intake.TopicInbox && wait > 0 {
		time.Sleep(wait)
	}
	return s.Store.Read(ctx, topic, part, from, 0)
}

// slowStops notes how the orders to stop ended that took a while.
type slowStops struct {
	connector.Runner
	mu   sync.Mutex
	errs []error
}

func (r *slowStops) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
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

// TestOrdersOutliveAQuestion checks that orders which follow from what a caller's
// question made the term read are not given up when the question is answered.
func TestOrdersOutliveAQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.close()
		job := submitter.Job{ID: jobID(1), Queue: testQueue, Spec: "s", Steps: []submitter.Step{
			{Count: 1, Size: identifier.Size{Processors: 1000, Memory: 1000}, LongRunning: true},
		}}
		w.jobs[job.ID] = job
		w.submit(job)
		runner, cut := w.fleet.Client()
		stops := &slowStops{Runner: runner}
		h := &holding{name: "host", done: make(chan struct{}), kill: cut}
		h.lastSeen.Store(time.Now().UnixNano())
		term := NewTerm(0, settings("host"), shortReads{w.store.Client("host")}, stops, zap.NewNop())
		h.term.Store(term)
		w.holder.Store(h)
		go func() {
			defer close(h.done)
			_ = term.Run(w.ctx, w.directory())
		}()
		go w.feed(w.ctx, h)
		time.Sleep(2100 * time.Millisecond)
		if n := term.Stats().Runs; n != 1 {
			t.Fatalf("%d runs before the job is cancelled, want 1", n)
		}
		w.cancel(job.ID)
		question, answered := context.WithCancel(w.ctx)
		if _, known, err := term.State(question, jobID(2)); known || err != nil {
			t.Fatalf("unknown job is known: %v, %v", known, err)
		}
		answered()
		time.Sleep(300 * time.Millisecond)
		stops.mu.Lock()
		defer stops.mu.Unlock()
		if len(stops.errs) == 0 || stops.errs[0] != nil {
			t.Fatalf("stops ended with %v, want the first to be carried out", stops.errs)
		}
	})
}
