// Package appender writes records to one log stream, many to an append, and
// finds out what became of each although the log's answers may be lost.
package appender

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/follower"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	maxBatch      = 512
	firstRetry    = 20 * time.Millisecond
	longestRetry  = time.Second
	appendTimeout = 2 * time.Second
)

// waiting is a record that is not known to be in the log.
type waiting struct {
	rec       encoder.Record
	inFlight  bool
	maybeSent bool
	withdrawn bool
}

// Appender writes to one stream and reads the verdicts from its follower. Its
// methods are safe for concurrent use.
type Appender struct {
	log      connector.Log
	stream   identifier.Stream
	follower *follower.Follower
	wake     chan struct{}

	mu    sync.Mutex
	queue []*waiting
}

// New returns an appender to the stream that f follows.
func New(log connector.Log, stream identifier.Stream, f *follower.Follower) *Appender {
	return &Appender{log: log, stream: stream, follower: f, wake: make(chan struct{}, 1)}
}

// Append appends a record and returns its verdict. When ctx ends first, the error
// is marked connector.ErrNotSent if the record is certainly not in the log and
// will not be, and connector.ErrUnknown otherwise. Doing the same record again
// is harmless.
func (a *Appender) Append(ctx context.Context, rec encoder.Record) (any, error) {
	verdict := a.follower.Subscribe(rec.ID)
	defer a.follower.Unsubscribe(rec.ID)
	w := a.enqueue(rec)
	select {
	case v := <-verdict:
		a.withdraw(w)
		return v, nil
	case <-ctx.Done():
	}
	if a.withdraw(w) {
		return nil, errors.Mark(errors.New("the log did not take the record"), connector.ErrNotSent)
	}
	return nil, errors.Mark(errors.New("the log did not show the record in time"), connector.ErrUnknown)
}

// AppendAsync appends a record without waiting for its verdict. The record is dropped
// when ttl has passed before the log took it.
func (a *Appender) AppendAsync(rec encoder.Record, ttl time.Duration) {
	w := a.enqueue(rec)
	time.AfterFunc(ttl, func() { a.withdraw(w) })
}

// Run writes queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	retry := newBackOff()
	for ctx.Err() == nil {
		batch := a.take()
		if len(batch) == 0 {
			wait(ctx, a.wake, 0)
			continue
		}
		if a.write(ctx, batch) {
			retry.Reset()
			a.follower.Wake()
			continue
		}
		wait(ctx, nil, retry.NextBackOff())
	}
	return nil
}

func (a *Appender) enqueue(rec encoder.Record) *waiting {
	w := &waiting{rec: rec}
	a.mu.Lock()
	a.queue = append(a.queue, w)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return w
}

// withdraw stops further tries and reports whether none was made.
func (a *Appender) withdraw(w *waiting) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.withdrawn = true
	return !w.maybeSent && !w.inFlight
}

// take removes up to maxBatch records from the queue.
func (a *Appender) take() []*waiting {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*waiting
	for len(a.queue) > 0 && len(batch) < maxBatch {
		w := a.queue[0]
		a.queue = a.queue[1:]
		if w.withdrawn {
			continue
		}
		batch = append(batch, w)
	}
	return batch
}

// write appends a batch and reports whether the log confirmed it. A batch that
// failed goes back to the front of the queue.
func (a *Appender) write(ctx context.Context, batch []*waiting) bool {
	records := a.markSent(batch)
	if len(records) == 0 {
		return true
	}
	data, err := encoder.Encode(records)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = a.log.Append(ctx, a.stream, data)
	a.settle(batch, err)
	return err == nil
}

func (a *Appender) markSent(batch []*waiting) []encoder.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := make([]encoder.Record, 0, len(batch))
	for _, w := range batch {
		if !w.withdrawn {
			records = append(records, w.rec)
			w.inFlight = true
		}
	}
	return records
}

// settle notes what a try proved and requeues the records that are not
// confirmed.
func (a *Appender) settle(batch []*waiting, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	harmless := errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrRefused)
	for _, w := range batch {
		w.maybeSent = w.maybeSent || (w.inFlight && !harmless)
		w.inFlight = false
	}
	if err != nil {
		a.queue = append(append(make([]*waiting, 0, len(batch)+len(a.queue)), batch...), a.queue...)
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetry
	b.MaxInterval = longestRetry
	return b
}

// wait blocks until ctx ends, wake is signalled or, if d is above zero, d has
// passed.
func wait(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	var timeout <-chan time.Time
	if d > 0 {
		timeout = time.After(d)
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timeout:
	}
}
