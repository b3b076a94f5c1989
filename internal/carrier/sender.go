package carrier

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

const (
	// leastGap is the least time between two messages of a connection in one
	// direction; a start may be late by it.
	leastGap = 4 * time.Millisecond
	// messageRate is how many messages a second a holder takes from all hosts that it
	// uses: one costs it about 60 us beside what it carries.
	messageRate = 800
	// mostGap bounds the time that this adds to an answer.
	mostGap = 25 * time.Millisecond
)

// gapOf returns the least time between two messages of a host, by the number of those
// in use.
func gapOf(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*time.Second/messageRate, leastGap), mostGap)
}

// sender sends what is queued for a connection in batches, in order. The queue is
// bounded by the calls under way, each of which has a timeout.
type sender[T any] struct {
	peer   messenger.Peer
	method messenger.Method
	clock  func() time.Duration
	// pack returns the content of a message.
	pack func([]T) any
	gap  atomic.Int64

	mu    sync.Mutex
	queue []T
	ready chan struct{}
}

func newSender[T any](peer messenger.Peer, method messenger.Method, clock func() time.Duration, pack func([]T) any) *sender[T] {
	s := &sender[T]{peer: peer, method: method, clock: clock, pack: pack, ready: make(chan struct{}, 1)}
	s.setGap(leastGap)
	return s
}

// setGap sets the least time between two messages.
func (s *sender[T]) setGap(gap time.Duration) {
	s.gap.Store(int64(min(max(gap, leastGap), mostGap)))
}

// put queues an item; it never blocks.
func (s *sender[T]) put(item T) {
	s.mu.Lock()
	s.queue = append(s.queue, item)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// remove takes the first item that matches out of the queue; ok is false if none is
// queued any more.
func (s *sender[T]) remove(match func(T) bool) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.queue, match)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
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
		content, err := encodeMessage(s.clock(), s.pack(s.take()))
		if err != nil {
			return err
		}
		if err := s.peer.SendBatch(s.method, content); err != nil {
			return err
		}
		sleeper.Pause(ctx, time.Duration(s.gap.Load()))
	}
}
