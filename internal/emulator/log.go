// Package emulator holds small stand-ins for the platform's log, host list,
// workers and minions. Tests use them in memory, the demo over HTTP. What they
// record is the witness for every check of the system's promises.
package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const maxRead = 256

// LogFaults are the failures that a log shows from now on.
type LogFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMs is waited before every call takes effect, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the share of appends that take effect and report a failure.
	LoseAnswers float64 `json:"loseAnswers"`
	// Seed drives the choice of the lost answers.
	Seed uint64 `json:"seed"`
}

type logStream struct {
	earliest identifier.Offset
	data     [][]byte
	at       []time.Time
}

// Log is an append-only log in memory. The zero value is empty and without
// faults. Its methods are safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[identifier.Stream]*logStream
	faults  LogFaults
	rng     *rand.Rand
	appends int
	bytes   int
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.rng = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

// Append adds data to a stream.
func (l *Log) Append(ctx context.Context, stream identifier.Stream, data []byte) error {
	if err := l.admit(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.data = append(s.data, append([]byte(nil), data...))
	s.at = append(s.at, time.Now())
	l.appends++
	l.bytes += len(data)
	if l.faults.LoseAnswers > 0 && l.rng.Float64() < l.faults.LoseAnswers {
		return errors.Mark(errors.New("answer lost"), connector.ErrUnknown)
	}
	return nil
}

// Read returns records from an offset on, with the bounds of the stream.
func (l *Log) Read(ctx context.Context, stream identifier.Stream, from identifier.Offset) ([]connector.Record, connector.Bounds, error) {
	if err := l.admit(ctx); err != nil {
		return nil, connector.Bounds{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	bounds := connector.Bounds{Earliest: s.earliest, Head: s.earliest + identifier.Offset(len(s.data))}
	if from < s.earliest {
		return nil, bounds, errors.Mark(errors.Newf("offset %d", from), connector.ErrExpired)
	}
	var out []connector.Record
	for off := from; off < bounds.Head && len(out) < maxRead; off++ {
		out = append(out, connector.Record{Offset: off, Data: s.data[off-s.earliest]})
	}
	return out, bounds, nil
}

// Expire drops the records of all streams that are older than age.
func (l *Log) Expire(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-age)
	for _, s := range l.streams {
		for len(s.at) > 0 && s.at[0].Before(limit) {
			s.at, s.data = s.at[1:], s.data[1:]
			s.earliest++
		}
	}
}

// Corrupt flips a byte of the record at an offset.
func (l *Log) Corrupt(stream identifier.Stream, offset identifier.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data := l.stream(stream).data[offset-l.stream(stream).earliest]
	data[len(data)/2] ^= 0xff
}

// LogUsage is what a log has taken so far.
type LogUsage struct {
	Appends int `json:"appends"`
	Bytes   int `json:"bytes"`
}

// Usage returns what the log has taken so far.
func (l *Log) Usage() LogUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogUsage{l.appends, l.bytes}
}

func (l *Log) admit(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return errors.Mark(errors.New("log is down"), connector.ErrNotSent)
	}
	if f.DelayMs == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), connector.ErrNotSent)
	case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		return nil
	}
}

func (l *Log) stream(name identifier.Stream) *logStream {
	if l.streams == nil {
		l.streams = map[identifier.Stream]*logStream{}
	}
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

// CutLog is a log as one data centre reaches it; while cut, nothing passes.
type CutLog struct {
	connector.Log
	mu  sync.Mutex
	cut bool
}

// Cut starts or ends the cut.
func (c *CutLog) Cut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// IsCut reports whether the log is cut off.
func (c *CutLog) IsCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *CutLog) check() error {
	if c.IsCut() {
		return errors.Mark(errors.New("log is cut off"), connector.ErrNotSent)
	}
	return nil
}

// Append adds data unless the log is cut off.
func (c *CutLog) Append(ctx context.Context, stream identifier.Stream, data []byte) error {
	if err := c.check(); err != nil {
		return err
	}
	return c.Log.Append(ctx, stream, data)
}

// Read returns records unless the log is cut off.
func (c *CutLog) Read(ctx context.Context, stream identifier.Stream, from identifier.Offset) ([]connector.Record, connector.Bounds, error) {
	if err := c.check(); err != nil {
		return nil, connector.Bounds{}, err
	}
	return c.Log.Read(ctx, stream, from)
}
