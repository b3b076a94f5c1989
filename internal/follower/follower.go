// Package follower reads one log stream in order, folds its records into a
// state and tells those who wait for a record what became of it.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ErrStateLost marks a stream whose records expired before a snapshot of them
// was written.
var ErrStateLost = errors.New("stream state is lost")

// StateMachine is a deterministic state over the records of a stream. The follower
// calls it under its lock.
type StateMachine interface {
	// Apply folds one record and returns its verdict.
	Apply(rec encoder.Record) any
	// Marshal returns the state for a snapshot.
	Marshal() ([]byte, error)
	// Unmarshal replaces the state by that of a snapshot.
	Unmarshal(data []byte) error
	// Reset starts from a stream that holds no record below base. It returns an
	// error when earlier records are needed.
	Reset(base identifier.Offset) error
}

// Timing are the durations of a follower.
type Timing struct {
	// PollInterval is the wait between reads that found nothing new.
	PollInterval time.Duration
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration
}

// Follower tails one stream. Its methods are safe for concurrent use.
type Follower struct {
	log    connector.Log
	stream identifier.Stream
	times  Timing
	logger *zap.Logger
	wake   chan struct{}

	mu       sync.Mutex
	fold     StateMachine
	known    bool
	next     identifier.Offset
	proof    time.Time
	fatal    error
	waiters  map[identifier.RecordID]chan any
	onChange func()
	snapNext identifier.Offset
	snapAt   time.Time
}

// Option configures a Follower.
type Option func(*Follower)

// WithOnChange calls fn, without the lock, after every read that reached the
// head or changed the state.
func WithOnChange(fn func()) Option { return func(f *Follower) { f.onChange = fn } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.logger = l } }

// New returns a follower of a stream that folds into fold.
func New(log connector.Log, stream identifier.Stream, fold StateMachine, times Timing, opts ...Option) *Follower {
	f := &Follower{
		log: log, stream: stream, fold: fold, times: times,
		logger:  zap.NewNop(),
		wake:    make(chan struct{}, 1),
		waiters: map[identifier.RecordID]chan any{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run reads until ctx ends or the stream cannot be followed any further.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := f.step(ctx)
		if err != nil && isFatal(err) {
			f.fail(err)
			return err
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(f.times.PollInterval):
		}
	}
	return nil
}

// Wake makes the follower read without waiting for the next poll.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// CaughtUpAt returns the latest time of which the state is known to be complete:
// the moment before the last read that reached the head was sent. It is zero
// before the first.
func (f *Follower) CaughtUpAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proof
}

// Position returns the offset after the last folded record and whether the
// state is known.
func (f *Follower) Position() (identifier.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.known
}

// Err returns the error that ended the follower, if any.
func (f *Follower) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fatal
}

// View calls fn under the follower's lock.
func (f *Follower) View(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// Subscribe returns a channel that receives the verdict of a record. Forget must be
// called when the verdict is no longer awaited.
func (f *Follower) Subscribe(id identifier.RecordID) <-chan any {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan any, 1)
	f.waiters[id] = ch
	return ch
}

// Unsubscribe drops the waiter of a record.
func (f *Follower) Unsubscribe(id identifier.RecordID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// LoadState takes the state that a peer folded up to next. It has no effect on a
// follower that is as far already.
func (f *Follower) LoadState(next identifier.Offset, state []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known && f.next >= next {
		return nil
	}
	if err := f.fold.Unmarshal(state); err != nil {
		return err
	}
	f.known, f.next = true, next
	return nil
}

// State returns the folded state and the offset after its last record.
func (f *Follower) State() (identifier.Offset, []byte, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return 0, nil, false, nil
	}
	data, err := f.fold.Marshal()
	return f.next, data, true, err
}

// step reads once. It reports whether more records are waiting.
func (f *Follower) step(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.times.ReadTimeout)
	defer cancel()
	from, _ := f.Position()
	sent := time.Now()
	records, bounds, err := f.log.Read(ctx, f.stream, from)
	if errors.Is(err, connector.ErrExpired) {
		return true, f.restart(bounds)
	}
	if err != nil {
		f.logger.Debug("log read failed", zap.String("stream", string(f.stream)), zap.Error(err))
		return false, err
	}
	return f.take(sent, records, bounds)
}

// restart begins again at the earliest record, looking for a snapshot.
func (f *Follower) restart(bounds connector.Bounds) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = false
	f.next = bounds.Earliest
	return nil
}

func (f *Follower) take(sent time.Time, records []connector.Record, bounds connector.Bounds) (bool, error) {
	f.mu.Lock()
	err := f.foldAll(records, bounds)
	atHead := err == nil && f.known && f.next >= bounds.Head
	if atHead {
		f.proof = sent
	}
	more := f.next < bounds.Head
	f.mu.Unlock()
	if f.onChange != nil && (atHead || len(records) > 0) {
		f.onChange()
	}
	return more, err
}

func (f *Follower) foldAll(records []connector.Record, bounds connector.Bounds) error {
	if !f.known && f.next == 0 && bounds.Earliest == 0 {
		f.known = true
	}
	for _, r := range records {
		if r.Offset != f.next {
			continue
		}
		if err := f.foldOne(r, bounds); err != nil {
			return err
		}
	}
	if f.known || f.next < bounds.Head {
		return nil
	}
	if err := f.fold.Reset(f.next); err != nil {
		return errors.Mark(errors.Wrapf(err, "stream %s", f.stream), ErrStateLost)
	}
	f.known = true
	return nil
}

func (f *Follower) foldOne(r connector.Record, bounds connector.Bounds) error {
	items, err := encoder.Decode(r.Data)
	if errors.Is(err, encoder.ErrNewerFormat) {
		return err
	}
	f.next = r.Offset + 1
	if err != nil {
		f.logger.Warn("record skipped", zap.String("stream", string(f.stream)), zap.Uint64("offset", uint64(r.Offset)), zap.Error(err))
		return nil
	}
	for _, it := range items {
		if snap, ok := it.Body.(encoder.Snapshot); ok {
			if f.snapshot(snap, bounds) {
				return nil
			}
			continue
		}
		if f.known {
			f.resolve(it.ID, f.fold.Apply(it))
		}
	}
	return nil
}

// snapshot notes a snapshot and reports whether its state was taken.
func (f *Follower) snapshot(s encoder.Snapshot, bounds connector.Bounds) bool {
	if err := s.Verify(); err != nil {
		f.logger.Warn("snapshot ignored", zap.String("stream", string(f.stream)), zap.Error(err))
		return false
	}
	f.snapNext, f.snapAt = s.Next, time.UnixMilli(s.AtUnixMs)
	if f.known || s.Next < bounds.Earliest {
		return false
	}
	if err := f.fold.Unmarshal(s.State); err != nil {
		f.logger.Warn("snapshot ignored", zap.String("stream", string(f.stream)), zap.Error(err))
		return false
	}
	f.known, f.next = true, s.Next
	return true
}

// SnapshotAge returns how many records and how much time passed since the last
// snapshot in the stream.
func (f *Follower) SnapshotAge() (identifier.Offset, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return 0, 0, false
	}
	return f.next - f.snapNext, time.Since(f.snapAt), true
}

func (f *Follower) resolve(id identifier.RecordID, verdict any) {
	if ch, ok := f.waiters[id]; ok {
		delete(f.waiters, id)
		ch <- verdict
	}
}

func (f *Follower) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fatal = err
}

func isFatal(err error) bool {
	return errors.Is(err, encoder.ErrNewerFormat) || errors.Is(err, ErrStateLost)
}
