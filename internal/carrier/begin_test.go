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

// pollResult is the outcome of a poll.
type pollResult struct {
	answer connector.HoldAnswer
	err    error
}

// beginPoll begins to poll a worker. The channel has room for a second outcome, which would be
// an error.
func (s *testHolder) beginPoll(t *testing.T, n int, timeout time.Duration) <-chan pollResult {
	t.Helper()
	done := make(chan pollResult, 2)
	to := connector.WorkerTarget{ID: workerID(n), Address: "x"}
	ok := s.pool.HoldAsync(t.Context(), to, connector.HoldOrder{Epoch: 5}, timeout, func(a connector.HoldAnswer, err error) {
		done <- pollResult{a, err}
	})
	if !ok {
		t.Fatal("poll was not begun although a host calls the worker")
	}
	return done
}

// TestAsyncCallCompletesOnce checks that a call begun with HoldAsync ends once and in time, and
// that its error is marked as unknown if the worker may have executed it.
func TestAsyncCallCompletesOnce(t *testing.T) {
	const timeout = 300 * time.Millisecond
	tests := map[string]struct {
		worker   simulator.WorkerFaults
		hostEnds bool
		unknown  bool
		within   time.Duration
		answered bool
	}{
		"answered":        {within: timeout, answered: true},
		"worker silent":   {worker: simulator.WorkerFaults{Cut: true}, unknown: true, within: timeout + 10*expiryCheckInterval},
		"host ends first": {worker: simulator.WorkerFaults{Cut: true}, hostEnds: true, unknown: true, within: timeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestHolder(t, 0)
			_, stop := s.addHost(t, "h1")
			s.fleet.SetFaults(workerID(1), tt.worker)
			start := time.Now()
			done := s.beginPoll(t, 1, timeout)
			if tt.hostEnds {
				time.AfterFunc(timeout/3, func() { stop() })
			}
			out := <-done
			if took := time.Since(start); took > tt.within {
				t.Errorf("call ended after %v, want at most %v", took, tt.within)
			}
			if answered := out.err == nil; answered != tt.answered || errors.Is(out.err, connector.ErrUnknown) != tt.unknown {
				t.Errorf("error %v, want an answer: %v, ErrUnknown: %v", out.err, tt.answered, tt.unknown)
			}
			select {
			case again := <-done:
				t.Errorf("call ended a second time: %+v", again)
			case <-time.After(2 * timeout):
			}
		})
	}
}

// TestBeginStartReturnsFalseWithoutHosts checks that a call is not begun if there are no hosts,
// so that the caller makes it itself.
func TestBeginStartReturnsFalseWithoutHosts(t *testing.T) {
	s := newTestHolder(t, 0)
	ok := s.pool.StartAsync(t.Context(), connector.WorkerTarget{ID: workerID(1)}, connector.RunOrder{}, time.Second, func(connector.OrderAnswer, error) {
		t.Error("done was called for a call that was not begun")
	})
	if ok {
		t.Error("call was begun although there are no hosts")
	}
}

// TestAsyncOrderIsDroppedAfterDeadlineOrCancel checks that an order that is still queued when its
// deadline passes or its context ends is not sent, and fails with ErrNotSent.
func TestAsyncOrderIsDroppedAfterDeadlineOrCancel(t *testing.T) {
	tests := map[string]struct {
		timeLeft  time.Duration
		cancelled bool
	}{"deadline passed": {timeLeft: -time.Millisecond}, "context ended": {timeLeft: time.Hour, cancelled: true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// Nothing sends from the queue; the test empties it itself.
			s := newHostSession(messenger.Peer{}, Offer{"h", "a", 100}, uptimer.SinceBoot, func() time.Duration { return minSendInterval })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan error, 1)
			deadline := time.Now().Add(tt.timeLeft)
			o := queuedOrder{order: order{Kind: orderStart, Worker: identifier.Worker("w")}, deadline: deadline, ctx: ctx}
			if _, ok := s.submit(o, pendingCall{func(_ reply, err error) { done <- err }, deadline}); !ok {
				t.Fatal("order was not queued")
			}
			if tt.cancelled {
				cancel()
			}
			if sent := s.buildBatch(s.orders.drain()).(orderBatch); len(sent.Orders) != 0 {
				t.Errorf("%d abandoned orders were sent", len(sent.Orders))
			}
			if err := <-done; !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown) {
				t.Errorf("error %v, want ErrNotSent only", err)
			}
		})
	}
}
