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
	// minSendInterval is the shortest time between two batches on a connection in one
	// direction; it may delay the start of a run by as much.
	minSendInterval = 4 * time.Millisecond
	// maxMessageRate is the number of batches per second that a holder receives from all
	// active hosts together. Each costs about 60 us of processor time besides its content.
	maxMessageRate = 800
	// maxSendInterval bounds the delay that batching adds to a reply.
	maxSendInterval = 25 * time.Millisecond
)

// sendIntervalFor returns the minimum time between two batches on a connection, given the
// number of active hosts.
func sendIntervalFor(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*time.Second/maxMessageRate, minSendInterval), maxSendInterval)
}

// batchSender queues items and sends them over a connection in batches, in order. The queue
// needs no limit of its own: it holds at most one item per call in flight, and each call has a
// timeout.
type batchSender[T any] struct {
	peer   messenger.Peer
	method messenger.Method
	uptime func() time.Duration
	// newContent returns the content of a batch of items.
	newContent func([]T) any
	// interval is the minimum time between two batches, in nanoseconds.
	interval atomic.Int64

	mu    sync.Mutex
	queue []T
	// wake tells run that the queue may have items.
	wake chan struct{}
}

func newBatchSender[T any](peer messenger.Peer, method messenger.Method, uptime func() time.Duration, newContent func([]T) any) *batchSender[T] {
	s := &batchSender[T]{peer: peer, method: method, uptime: uptime, newContent: newContent, wake: make(chan struct{}, 1)}
	s.setInterval(minSendInterval)
	return s
}

// setInterval sets the minimum time between two batches, limited to the range from
// minSendInterval to maxSendInterval.
func (s *batchSender[T]) setInterval(interval time.Duration) {
	s.interval.Store(int64(min(max(interval, minSendInterval), maxSendInterval)))
}

// enqueue adds an item to the queue; it never blocks.
func (s *batchSender[T]) enqueue(item T) {
	s.mu.Lock()
	s.queue = append(s.queue, item)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// remove removes the first queued item that matches; ok is false if there is none.
func (s *batchSender[T]) remove(match func(T) bool) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.queue, match)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// drain empties the queue and returns its items.
func (s *batchSender[T]) drain() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.queue
	s.queue = nil
	return out
}

// run sends batches until ctx or the connection ends. It returns an error if a batch cannot be
// encoded or sent.
func (s *batchSender[T]) run(ctx context.Context) error {
	for {
		select {
		case <-s.wake:
		case <-s.peer.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
		content, err := encodeBatch(s.uptime(), s.newContent(s.drain()))
		if err != nil {
			return err
		}
		if err := s.peer.SendBatch(s.method, content); err != nil {
			return err
		}
		sleeper.Pause(ctx, time.Duration(s.interval.Load()))
	}
}
