// Package logger writes the program's log as JSON lines without ever blocking the caller. Lines go
// through a bounded, rate-limited queue; those that exceed the queue or the rate are dropped and
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
	// queueLines is the capacity of the queue, in lines.
	queueLines = 2048
	// lineRate is the sustained limit in lines per second, as set by the operators. lineBurst is
	// the number of lines that may exceed it at once, for example when a data centre is cut off.
	lineRate  = 200
	lineBurst = 400
	// urgentRate and urgentBurst are the shares of lineRate and lineBurst reserved for warnings and
	// errors. Without them, lines about single runs would use up the limit under load, and the
	// warnings that explain the load would be dropped.
	urgentRate  = 20
	urgentBurst = 100
	// chunkBytes is the approximate size of one write to the output.
	chunkBytes = 16 << 10
)

// Sink is a zapcore.WriteSyncer that queues lines and writes them to the output in a goroutine of
// its own. Its methods are safe for concurrent use.
type Sink struct {
	out           io.Writer
	lines         chan []byte
	limiter       *rate.Limiter
	urgentLimiter *rate.Limiter
	dropped       atomic.Int64
	closed        chan struct{}
	done          chan struct{}
	closeOnce     sync.Once
}

// SinkOption configures a Sink.
type SinkOption func(*Sink)

// WithoutRateLimit disables the rate limits, for debugging. Lines are still dropped when the queue
// is full.
func WithoutRateLimit() SinkOption {
	return func(s *Sink) { s.limiter, s.urgentLimiter = rate.NewLimiter(rate.Inf, 0), rate.NewLimiter(rate.Inf, 0) }
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer, opts ...SinkOption) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queueLines), closed: make(chan struct{}), done: make(chan struct{}),
		limiter: rate.NewLimiter(lineRate-urgentRate, lineBurst-urgentBurst), urgentLimiter: rate.NewLimiter(urgentRate, urgentBurst),
	}
	for _, o := range opts {
		o(s)
	}
	go s.run()
	return s
}

// Write queues one line under the general rate limit. It never blocks and never returns an error: a
// line that exceeds the limit or does not fit into the queue is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	return s.enqueue(line, s.limiter.Allow())
}

// urgentWriter writes warnings and errors to a sink: those that exceed the general rate limit use
// the share reserved for them.
type urgentWriter struct{ *Sink }

// Write queues one line under the general or the reserved rate limit, in other respects like
// Sink.Write.
func (u urgentWriter) Write(line []byte) (int, error) {
	return u.enqueue(line, u.limiter.Allow() || u.urgentLimiter.Allow())
}

// enqueue queues a copy of a line. If the line is not allowed, the sink is closed or the queue is
// full, it drops and counts the line.
func (s *Sink) enqueue(line []byte, allowed bool) (int, error) {
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

// Sync implements zapcore.WriteSyncer and does nothing: Close writes the queued lines.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. Lines logged after Close, for example by a
// request that outlives the servers, are dropped and counted.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	<-s.done
}

// run writes queued lines until the sink is closed, and then those that are left.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeQueued(line)
		case <-s.closed:
			s.writeQueued(nil)
			return
		}
	}
}

// writeQueued writes a line, if it is not nil, and all queued lines, in chunks of about chunkBytes.
func (s *Sink) writeQueued(line []byte) {
	for chunk := s.appendQueued(line); len(chunk) > 0; chunk = s.appendQueued(chunk[:0]) {
		// A failure to write the log cannot be logged, so that the error is ignored.
		_, _ = s.out.Write(chunk)
	}
}

// appendQueued appends queued lines to the chunk until the queue is empty or the chunk has
// chunkBytes.
func (s *Sink) appendQueued(chunk []byte) []byte {
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

// New returns a logger that writes JSON lines to the sink, from the given level (such as "info")
// up. It returns an error if the level is unknown. Part of the sink's rate limit is reserved for
// warnings and errors.
func New(s *Sink, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	normal := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at >= l && at < zapcore.WarnLevel })
	urgent := zap.LevelEnablerFunc(func(at zapcore.Level) bool { return at >= l && at >= zapcore.WarnLevel })
	return zap.New(zapcore.NewTee(
		zapcore.NewCore(zapcore.NewJSONEncoder(enc), s, normal),
		zapcore.NewCore(zapcore.NewJSONEncoder(enc), urgentWriter{s}, urgent),
	)), nil
}

// Err returns a log field with the error's message and no stack trace. A nil error adds no field.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
