package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

// sendGap is the least time between two messages of a connection. It bounds the
// messages to 250 a second; a start may be late by it.
const sendGap = 4 * time.Millisecond

// sender sends what is queued for a connection in batches, in order. The queue is
// bounded by the calls under way, each of which has a timeout.
type sender[T any] struct {
	peer   messenger.Peer
	method messenger.Method
	clock  func() time.Duration
	// pack returns the content of a message.
	pack func([]T) any

	mu    sync.Mutex
	queue []T
	ready chan struct{}
}

func newSender[T any](peer messenger.Peer, method messenger.Method, clock func() time.Duration, pack func([]T) any) *sender[T] {
	return &sender[T]{peer: peer, method: method, clock: clock, pack: pack, ready: make(chan struct{}, 1)}
}

// put queues an item; it never blocks.
func (s *sender[T]) put(item T) {
	s.mu.Lock()
	s.queue = append(s.queue, item)
	s.mu.Unlock()
	s.wake()
}

// wake makes the sender send even without an item, to show that this host is there.
func (s *sender[T]) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *sender[T]) take() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.queue
	s.queue = nil
	return out
}

// run sends until ctx or the connection ends.
func (s *sender[T]) run(ctx context.Context) error {
	for {
		select {
		case <-s.ready:
		case <-s.peer.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
		m, err := encode(s.clock(), s.pack(s.take()))
		if err != nil {
			return err
		}
		if err := s.peer.Notify(ctx, s.method, m); err != nil {
			return err
		}
		sleeper.Pause(ctx, sendGap)
	}
}
