// Package follower reads one log stream in order, applies its records to a state machine and
// passes each record's result to whoever waits for it.
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

// ErrStateLost marks a stream whose state cannot be restored, because records expired from the log
// that no intact snapshot covers.
var ErrStateLost = errors.New("stream state is lost")

// StateMachine is the state that results from applying the records of a stream in order. It must be
// deterministic. The follower calls its methods under the follower's lock.
type StateMachine interface {
	// Apply applies one record and returns its result.
	Apply(rec encoder.Record) any
	// Marshal returns the state for a snapshot.
	Marshal() ([]byte, error)
	// Unmarshal replaces the state by that of a snapshot.
	Unmarshal(data []byte) error
	// Reset starts from the empty state in a stream that holds neither records nor snapshots below
	// base. It returns an error if records that have expired are needed.
	Reset(base identifier.Offset) error
}

// Timing holds the intervals and timeouts of a follower.
type Timing struct {
	// PollInterval is the wait after a read that reached the end of the stream or failed.
	PollInterval time.Duration
	// ReadTimeout is the timeout of one read.
	ReadTimeout time.Duration
}

// Follower tails one stream and applies its records to a state machine. Its methods are safe for
// concurrent use.
type Follower struct {
	log    connector.Log
	stream identifier.Stream
	timing Timing
	logger *zap.Logger
	wake   chan struct{}

	mu  sync.Mutex
	fsm StateMachine
	// hasState is set while fsm holds the state up to next. While it is unset, the follower reads
	// on in search of a snapshot and applies no records.
	hasState bool
	// next is the offset of the next record to read.
	next identifier.Offset
	// shown is the offset up to which fsm held the state before hasState was last unset.
	shown      identifier.Offset
	caughtUpAt time.Time
	fatalErr   error
	waiters    map[identifier.RecordID]chan any
	onChange   func()
	// snapshotNext is the offset up to which the last snapshot in the stream holds the state.
	snapshotNext identifier.Offset
	snapshotAt   time.Time
}

// Option configures a Follower.
type Option func(*Follower)

// WithOnChange calls fn, without the follower's lock, after every read that reached the head of the
// stream or returned records.
func WithOnChange(fn func()) Option { return func(f *Follower) { f.onChange = fn } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.logger = l } }

// New returns a follower that applies the records of stream to fsm. It reads nothing before Run.
func New(log connector.Log, stream identifier.Stream, fsm StateMachine, timing Timing, opts ...Option) *Follower {
	f := &Follower{
		log: log, stream: stream, fsm: fsm, timing: timing,
		logger:  zap.NewNop(),
		wake:    make(chan struct{}, 1),
		waiters: map[identifier.RecordID]chan any{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run reads the stream until ctx ends, and then returns nil, or until the stream cannot be followed
// any further. That error is marked ErrStateLost or encoder.ErrNewerFormat.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := f.readOnce(ctx)
		if err != nil && isFatal(err) {
			f.setFatalErr(err)
			return err
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(f.timing.PollInterval):
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

// CaughtUpAt returns the latest time at which the state is known to have been complete: when the
// last read that reached the head of the stream was sent. It is zero before the first such read.
func (f *Follower) CaughtUpAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUpAt
}

// Position returns the offset of the next record to read, and whether the state up to it is known.
func (f *Follower) Position() (identifier.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.hasState
}

// Err returns the error that ended the follower, if any.
func (f *Follower) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fatalErr
}

// View calls fn under the follower's lock, which guards the state machine.
func (f *Follower) View(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// Subscribe returns a channel that receives the result of a record once it has been applied.
// Unsubscribe must be called when the result is no longer awaited.
func (f *Follower) Subscribe(id identifier.RecordID) <-chan any {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan any, 1)
	f.waiters[id] = ch
	return ch
}

// Unsubscribe drops the subscription to the result of a record.
func (f *Follower) Unsubscribe(id identifier.RecordID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// LoadState replaces the state by a peer's state up to next. It has no effect if this follower has
// already read that far.
func (f *Follower) LoadState(next identifier.Offset, state []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasState && f.next >= next || next < f.shown {
		return nil
	}
	if err := f.fsm.Unmarshal(state); err != nil {
		return err
	}
	f.hasState, f.next = true, next
	return nil
}

// State returns the offset of the next record to read and the encoded state up to it. It reports
// false if the state is not known.
func (f *Follower) State() (identifier.Offset, []byte, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasState {
		return 0, nil, false, nil
	}
	data, err := f.fsm.Marshal()
	return f.next, data, true, err
}

// readOnce reads from the log once. It reports whether the follower should read again without
// waiting.
func (f *Follower) readOnce(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.ReadTimeout)
	defer cancel()
	from, _ := f.Position()
	sent := time.Now()
	records, bounds, err := f.log.Read(ctx, f.stream, from)
	if errors.Is(err, connector.ErrExpired) {
		return true, f.rewind(bounds)
	}
	if err != nil {
		f.logger.Debug("log read failed", zap.String("stream", string(f.stream)), zap.Error(err))
		return false, err
	}
	return f.handleRead(sent, records, bounds)
}

// rewind continues at the earliest record that the log still keeps, without state, in search of a
// snapshot.
func (f *Follower) rewind(bounds connector.Bounds) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasState {
		f.shown = f.next
	}
	f.hasState = false
	f.next = bounds.Earliest
	return nil
}

// handleRead applies the answer to a read that was sent at the given time, and reports whether the
// stream holds more records.
func (f *Follower) handleRead(sent time.Time, records []connector.Record, bounds connector.Bounds) (bool, error) {
	f.mu.Lock()
	err := f.applyRecords(records, bounds)
	atHead := err == nil && f.hasState && f.next >= bounds.Head
	if atHead {
		f.caughtUpAt = sent
	}
	more := f.next < bounds.Head
	f.mu.Unlock()
	if f.onChange != nil && (atHead || len(records) > 0) {
		f.onChange()
	}
	return more, err
}

// applyRecords applies the records that follow on next. The state is known from the start at
// offset 0, from a snapshot, or, in a stream without one, after a reset at its head.
func (f *Follower) applyRecords(records []connector.Record, bounds connector.Bounds) error {
	if !f.hasState && f.next == 0 && bounds.Earliest == 0 {
		f.hasState = true
	}
	for _, r := range records {
		if r.Offset != f.next {
			continue
		}
		if err := f.applyRecord(r, bounds); err != nil {
			return err
		}
	}
	if f.hasState || f.next < bounds.Head {
		return nil
	}
	if err := f.fsm.Reset(f.next); err != nil {
		return errors.Mark(errors.Wrapf(err, "stream %s", f.stream), ErrStateLost)
	}
	f.hasState = true
	return nil
}

// applyRecord applies the records of one append. One that cannot be decoded is skipped, unless a
// newer program wrote it; then the follower must stop, because it would miss a change of state.
func (f *Follower) applyRecord(r connector.Record, bounds connector.Bounds) error {
	decoded, err := encoder.Decode(r.Data)
	if errors.Is(err, encoder.ErrNewerFormat) {
		return err
	}
	f.next = r.Offset + 1
	if err != nil {
		f.logger.Warn("record skipped", zap.String("stream", string(f.stream)), zap.Uint64("offset", uint64(r.Offset)), zap.Error(err))
		return nil
	}
	for _, rec := range decoded {
		if snapshot, ok := rec.Body.(encoder.Snapshot); ok {
			if f.handleSnapshot(snapshot, bounds) {
				return nil
			}
			continue
		}
		if f.hasState {
			f.notifyWaiter(rec.ID, f.fsm.Apply(rec))
		}
	}
	return nil
}

// handleSnapshot notes the position and age of a snapshot, and loads it if the state is not known.
// It reports whether it loaded the snapshot, which also moves next back to the snapshot's offset.
func (f *Follower) handleSnapshot(s encoder.Snapshot, bounds connector.Bounds) bool {
	if err := s.Verify(); err != nil {
		f.logger.Warn("snapshot ignored", zap.String("stream", string(f.stream)), zap.Error(err))
		return false
	}
	f.snapshotNext, f.snapshotAt = s.Next, time.UnixMilli(s.AtUnixMs)
	if f.hasState || s.Next < bounds.Earliest || s.Next < f.shown {
		return false
	}
	if err := f.fsm.Unmarshal(s.State); err != nil {
		f.logger.Warn("snapshot ignored", zap.String("stream", string(f.stream)), zap.Error(err))
		return false
	}
	f.hasState, f.next = true, s.Next
	return true
}

// SnapshotAge returns how many records and how much time have passed since the last snapshot in the
// stream was written. It reports false if the state is not known.
func (f *Follower) SnapshotAge() (identifier.Offset, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasState {
		return 0, 0, false
	}
	return f.next - f.snapshotNext, time.Since(f.snapshotAt), true
}

func (f *Follower) notifyWaiter(id identifier.RecordID, result any) {
	if waiter, ok := f.waiters[id]; ok {
		delete(f.waiters, id)
		waiter <- result
	}
}

func (f *Follower) setFatalErr(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fatalErr = err
}

// isFatal reports whether a follower cannot go on after err, because it would lose state.
func isFatal(err error) bool {
	return errors.Is(err, encoder.ErrNewerFormat) || errors.Is(err, ErrStateLost)
}
