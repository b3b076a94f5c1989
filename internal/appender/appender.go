// Package appender writes records to one log stream in batches. It learns the result of each record
// by reading the stream back, since the answer to an append may be lost.
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
	maxBatchRecords = 512
	minRetryDelay   = 20 * time.Millisecond
	maxRetryDelay   = time.Second
	appendTimeout   = 2 * time.Second
)

// queuedRecord is a record that is not known to be in the log.
type queuedRecord struct {
	rec encoder.Record
	// inFlight is set while an append of the record is under way.
	inFlight bool
	// mayBeInLog is set once an append of the record succeeded or had an unknown outcome.
	mayBeInLog bool
	cancelled  bool
}

// Appender writes records to one stream and takes their results from the stream's follower. Its
// methods are safe for concurrent use.
type Appender struct {
	log      connector.Log
	stream   identifier.Stream
	follower *follower.Follower
	wake     chan struct{}

	mu    sync.Mutex
	queue []*queuedRecord
}

// New returns an appender to the stream that f follows. It writes nothing before Run.
func New(log connector.Log, stream identifier.Stream, f *follower.Follower) *Appender {
	return &Appender{log: log, stream: stream, follower: f, wake: make(chan struct{}, 1)}
}

// Append appends a record and returns the result of applying it. If ctx ends first, the error is
// marked connector.ErrNotSent if the record is certainly not in the log and will not be appended,
// and connector.ErrUnknown otherwise. The same record may be appended again without harm.
func (a *Appender) Append(ctx context.Context, rec encoder.Record) (any, error) {
	result := a.follower.Subscribe(rec.ID)
	defer a.follower.Unsubscribe(rec.ID)
	r := a.enqueue(rec)
	select {
	case v := <-result:
		a.cancel(r)
		return v, nil
	case <-ctx.Done():
	}
	if a.cancel(r) {
		return nil, errors.Mark(errors.New("the log did not take the record"), connector.ErrNotSent)
	}
	return nil, errors.Mark(errors.New("the log did not show the record in time"), connector.ErrUnknown)
}

// AppendAsync appends a record without waiting for its result. Once ttl has passed, no further
// attempt is made to append it.
func (a *Appender) AppendAsync(rec encoder.Record, ttl time.Duration) {
	r := a.enqueue(rec)
	time.AfterFunc(ttl, func() { a.cancel(r) })
}

// Run writes queued records until ctx ends. It retries failed writes with exponential backoff, and
// returns nil.
func (a *Appender) Run(ctx context.Context) error {
	retry := newBackOff()
	for ctx.Err() == nil {
		batch := a.nextBatch()
		if len(batch) == 0 {
			waitForWake(ctx, a.wake, 0)
			continue
		}
		if a.writeBatch(ctx, batch) {
			retry.Reset()
			a.follower.Wake()
			continue
		}
		waitForWake(ctx, nil, retry.NextBackOff())
	}
	return nil
}

func (a *Appender) enqueue(rec encoder.Record) *queuedRecord {
	r := &queuedRecord{rec: rec}
	a.mu.Lock()
	a.queue = append(a.queue, r)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return r
}

// cancel prevents further attempts to append a record and reports whether the record is certainly
// not in the log.
func (a *Appender) cancel(r *queuedRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.cancelled = true
	return !r.mayBeInLog && !r.inFlight
}

// nextBatch removes up to maxBatchRecords records from the queue and returns them. Cancelled
// records are dropped.
func (a *Appender) nextBatch() []*queuedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*queuedRecord
	for len(a.queue) > 0 && len(batch) < maxBatchRecords {
		r := a.queue[0]
		a.queue = a.queue[1:]
		if r.cancelled {
			continue
		}
		batch = append(batch, r)
	}
	return batch
}

// writeBatch appends a batch and reports whether the log confirmed it. A batch that failed goes
// back to the front of the queue; one that cannot be encoded is dropped.
func (a *Appender) writeBatch(ctx context.Context, batch []*queuedRecord) bool {
	records := a.markInFlight(batch)
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
	a.finishWrite(batch, err)
	return err == nil
}

// markInFlight marks the records of a batch that are not cancelled as in flight and returns them.
func (a *Appender) markInFlight(batch []*queuedRecord) []encoder.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := make([]encoder.Record, 0, len(batch))
	for _, r := range batch {
		if !r.cancelled {
			records = append(records, r.rec)
			r.inFlight = true
		}
	}
	return records
}

// finishWrite takes the outcome of an append: it marks records that may be in the log and, after an
// error, puts the batch back into the queue.
func (a *Appender) finishWrite(batch []*queuedRecord, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	notWritten := errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrRefused)
	for _, r := range batch {
		r.mayBeInLog = r.mayBeInLog || (r.inFlight && !notWritten)
		r.inFlight = false
	}
	if err != nil {
		a.queue = append(append(make([]*queuedRecord, 0, len(batch)+len(a.queue)), batch...), a.queue...)
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// waitForWake blocks until ctx ends, wake is signalled or, if d is above zero, d has passed.
func waitForWake(ctx context.Context, wake <-chan struct{}, d time.Duration) {
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
