package carrier

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// begun is what came of a call that was begun.
type begun struct {
	answer connector.HoldAnswer
	err    error
}

// beginLook begins a look at a worker; the channel has room for a second, wrong outcome.
func (s *site) beginLook(t *testing.T, n int, timeout time.Duration) <-chan begun {
	t.Helper()
	done := make(chan begun, 2)
	to := connector.WorkerTarget{ID: workerID(n), Address: "x"}
	ok := s.pool.HoldAsync(t.Context(), to, connector.HoldOrder{Epoch: 5}, timeout, func(a connector.HoldAnswer, err error) {
		done <- begun{a, err}
	})
	if !ok {
		t.Fatal("the look is not begun although a host calls the worker")
	}
	return done
}

// TestBegunCallsEndOnce checks that a call without a goroutine ends once and in time, and
// that its error says whether it may have had an effect.
func TestBegunCallsEndOnce(t *testing.T) {
	const timeout = 300 * time.Millisecond
	tests := map[string]struct {
		worker   simulator.WorkerFaults
		hostEnds bool
		unknown  bool
		within   time.Duration
		answered bool
	}{
		"answered":        {within: timeout, answered: true},
		"worker silent":   {worker: simulator.WorkerFaults{Cut: true}, unknown: true, within: timeout + 10*expirePeriod},
		"host ends first": {worker: simulator.WorkerFaults{Cut: true}, hostEnds: true, unknown: true, within: timeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0)
			_, stop := s.join(t, "h1")
			s.fleet.SetFaults(workerID(1), tt.worker)
			began := time.Now()
			done := s.beginLook(t, 1, timeout)
			if tt.hostEnds {
				time.AfterFunc(timeout/3, func() { stop() })
			}
			out := <-done
			if took := time.Since(began); took > tt.within {
				t.Errorf("the call ended after %v, want %v at most", took, tt.within)
			}
			if answered := out.err == nil; answered != tt.answered || errors.Is(out.err, connector.ErrUnknown) != tt.unknown {
				t.Errorf("error %v, want an answer: %v, an unknown effect: %v", out.err, tt.answered, tt.unknown)
			}
			select {
			case again := <-done:
				t.Errorf("the call ended a second time: %+v", again)
			case <-time.After(2 * timeout):
			}
		})
	}
}

// TestCallsAreNotBegunWithoutAHost checks that the caller is told to make the call itself.
func TestCallsAreNotBegunWithoutAHost(t *testing.T) {
	s := newSite(t, 0)
	ok := s.pool.StartAsync(t.Context(), connector.WorkerTarget{ID: workerID(1)}, connector.RunOrder{}, time.Second, func(connector.OrderAnswer, error) {
		t.Error("told the outcome of a call that was not begun")
	})
	if ok {
		t.Error("a call is begun although no host makes it")
	}
}

// TestBegunOrderWithoutACallerIsNotSent checks that an order which is queued when its term
// ends, or when its time is over, does not travel, and that its caller learns that it
// certainly had no effect.
func TestBegunOrderWithoutACallerIsNotSent(t *testing.T) {
	tests := map[string]struct {
		leave time.Duration
		ended bool
	}{"time over": {leave: -time.Millisecond}, "term ended": {leave: time.Hour, ended: true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// The connection stands still: the test takes from the queue.
			s := newSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, func() time.Duration { return leastGap })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan error, 1)
			leave := time.Now().Add(tt.leave)
			o := specifiedOrder{order: order{Kind: orderStart, Worker: identifier.Worker("w")}, leave: leave, wanted: ctx}
			if _, ok := s.begin(o, call{func(_ reply, err error) { done <- err }, leave}); !ok {
				t.Fatal("order is not queued")
			}
			if tt.ended {
				cancel()
			}
			if sent := s.pack(s.orders.take()).(orders); len(sent.List) != 0 {
				t.Errorf("%d orders are sent without a caller", len(sent.List))
			}
			if err := <-done; !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown) {
				t.Errorf("error %v, want one that is certain", err)
			}
		})
	}
}
