package carrier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// lateRunner counts the starts that are made after their context has ended.
type lateRunner struct {
	connector.Runner
	lateStarts int
}

// Start implements connector.Runner.
func (r *lateRunner) Start(ctx context.Context, _ connector.WorkerTarget, _ connector.RunOrder) (connector.OrderAnswer, error) {
	if ctx.Err() != nil {
		r.lateStarts++
	}
	return connector.OrderAnswer{}, errors.Mark(errors.New("no answer"), connector.ErrUnknown)
}

// TestTimedOutOrderLeavesQueue checks that an order that times out while queued is removed from
// the queue, so that it fails with ErrNotSent and does not delay the orders behind it.
func TestTimedOutOrderLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Nothing sends from the queue.
		s := newHostSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, func() time.Duration { return minSendInterval })
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := s.do(ctx, order{Kind: orderStart, Worker: "w"}, "spec")
		if !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown) {
			t.Errorf("error %v, want ErrNotSent only", err)
		}
		if n := len(s.orders.drain()); n != 0 {
			t.Errorf("%d timed out orders are still queued", n)
		}
	})
}

// TestStartIsNotSentAfterDeadline checks that a new holder that waits for hosts does not make
// the call itself once the caller's context has ended.
func TestStartIsNotSentAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := &lateRunner{}
		p := NewPool(runner, 0, zap.NewNop())
		p.Open()
		p.SetWorkers(map[identifier.Worker]connector.WorkerEntry{"w": {ID: "w"}})
		ctx, cancel := context.WithTimeout(t.Context(), hostWaitTimeout/2)
		defer cancel()
		_, err := p.Start(ctx, connector.WorkerTarget{ID: "w"}, connector.RunOrder{})
		if runner.lateStarts != 0 {
			t.Errorf("%d starts were sent after their context had ended", runner.lateStarts)
		}
		if !errors.Is(err, connector.ErrNotSent) {
			t.Errorf("error %v, want ErrNotSent", err)
		}
	})
}
