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

// lateRunner notes starts that are made after their caller has left.
type lateRunner struct {
	connector.Runner
	late int
}

// Start implements connector.Runner.
func (r *lateRunner) Start(ctx context.Context, _ connector.WorkerTarget, _ connector.RunOrder) (connector.OrderAnswer, error) {
	if ctx.Err() != nil {
		r.late++
	}
	return connector.OrderAnswer{}, errors.Mark(errors.New("no answer"), connector.ErrUnknown)
}

// TestOrderWithoutACallerIsNotSent checks that an order whose time ran out in the queue of
// a connection is taken out of it, so that it certainly has no effect and does not delay
// those behind it.
func TestOrderWithoutACallerIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The connection stands still: nothing takes from the queue.
		s := newSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, func() time.Duration { return leastGap })
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := s.do(ctx, order{Kind: orderStart, Worker: "w"}, "spec")
		if !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown) {
			t.Errorf("error %v, want one that is certain", err)
		}
		if n := len(s.orders.take()); n != 0 {
			t.Errorf("%d orders without a caller are still to be sent", n)
		}
	})
}

// TestStartThatWaitedForHostsIsNotSentLate checks that a new holder which gathers hosts
// does not make a call by itself once the caller's time is over.
func TestStartThatWaitedForHostsIsNotSentLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &lateRunner{}
		p := NewPool(own, 0, zap.NewNop())
		p.Open()
		p.SetWorkers(map[identifier.Worker]connector.WorkerEntry{"w": {ID: "w"}})
		ctx, cancel := context.WithTimeout(t.Context(), gatherTime/2)
		defer cancel()
		_, err := p.Start(ctx, connector.WorkerTarget{ID: "w"}, connector.RunOrder{})
		if own.late != 0 {
			t.Errorf("%d starts are sent after their time", own.late)
		}
		if !errors.Is(err, connector.ErrNotSent) {
			t.Errorf("error %v, want one that is certain", err)
		}
	})
}
