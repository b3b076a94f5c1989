// Package logger writes the program's log as JSON lines without ever blocking
// the writer: lines that find no room in a bounded queue are dropped and
// counted.
package logger

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// lineRate is how many lines a second are written in the long run, the operators'
	// bound; lineBurst is how many more may come at once, as when a data centre is
	// cut off.
	lineRate  = 200
	lineBurst = 400
	// urgentRate and urgentBurst are the parts of them that are kept for warnings and
	// errors: under load, lines about single runs would take the place of those that tell
	// why.
	urgentRate  = 20
	urgentBurst = 100
	// chunkBytes is about how many bytes are written at once.
	chunkBytes = 16 << 10
)

// Sink is a bounded queue of lines in front of a writer.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	urgent  *rate.Limiter
	dropped atomic.Int64
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
}

// SinkOption changes a new sink.
type SinkOption func(*Sink)

// WithoutRateLimit lets a sink write as many lines a second as find room in its queue,
// for a program that is being debugged.
func WithoutRateLimit() SinkOption {
	return func(s *Sink) { s.limit, s.urgent = rate.NewLimiter(rate.Inf, 0), rate.NewLimiter(rate.Inf, 0) }
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer, opts ...SinkOption) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queueLines), closed: make(chan struct{}), done: make(chan struct{}),
		limit: rate.NewLimiter(lineRate-urgentRate, lineBurst-urgentBurst), urgent: rate.NewLimiter(urgentRate, urgentBurst),
	}
	for _, o := range opts {
		o(s)
	}
	go s.run()
	return s
}

// Write queues one line; it never fails and never waits. A line beyond the limit is
// dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	return s.put(line, s.limit.Allow())
}

// urgentLines is a sink's place for lines that have a limit of their own.
type urgentLines struct{ *Sink }

// Write queues one line; it never fails and never waits.
func (u urgentLines) Write(line []byte) (int, error) {
	return u.put(line, u.limit.Allow() || u.urgent.Allow())
}

func (s *Sink) put(line []byte, allowed bool) (int, error) {
	if !allowed || s.isClosed() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Sync does nothing; Close writes out what is queued.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines found no room.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes out what is queued and ends the sink. Lines that are written afterwards are
// dropped and counted: a call may outlive the servers.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closed) })
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.closed:
			s.write(nil)
			return
		}
	}
}

// write writes a line and what is queued behind it.
func (s *Sink) write(line []byte) {
	for chunk := s.gather(line); len(chunk) > 0; chunk = s.gather(chunk[:0]) {
		// There is nobody to tell about a log that cannot be written.
		_, _ = s.out.Write(chunk)
	}
}

// gather adds the lines that wait already, up to the size of a chunk.
func (s *Sink) gather(chunk []byte) []byte {
	for len(chunk) < chunkBytes {
		select {
		case line := <-s.lines:
			chunk = append(chunk, line...)
		default:
			return chunk
		}
	}
	return chunk
}

// New returns a logger of JSON lines at a level such as "info". Warnings and errors have
// a part of the sink's limit to themselves.
func New(s *Sink, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	usual := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at >= l && at < zapcore.WarnLevel })
	urgent := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at >= l && at >= zapcore.WarnLevel })
	return zap.New(zapcore.NewTee(
		zapcore.NewCore(zapcore.NewJSONEncoder(enc), s, usual),
		zapcore.NewCore(zapcore.NewJSONEncoder(enc), urgentLines{s}, urgent),
	)), nil
}

// Err returns the field of an error, without its stack; nothing for nil.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
