package logger

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

var errUnavailable = errors.New("unavailable")

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// TestLoggingNeverBlocks checks that logging does not block while the output does, and that lines
// that exceed the queue are dropped and counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := NewSink(out, WithoutRateLimit())
	l, err := New(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = queueLines * 2
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			l.Info("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output does")
	}
	close(out.release)
	s.Close()
	written := int64(bytes.Count(out.Bytes(), []byte("\n")))
	if s.Dropped() == 0 || written+s.Dropped() != lines {
		t.Fatalf("%d lines written and %d dropped of %d", written, s.Dropped(), lines)
	}
}

// TestLinesAfterCloseAreDropped checks that lines logged after Close, by a request that outlives
// the servers, are dropped without a panic, and that all lines logged before Close are written.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out, WithoutRateLimit())
	l, err := New(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	const before, after = 500, 3
	for range before {
		l.Info("line")
	}
	s.Close()
	for range after {
		l.Info("line")
	}
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != before || s.Dropped() != after {
		t.Errorf("%d lines written and %d dropped, want %d and %d", n, s.Dropped(), before, after)
	}
}

// TestLineRateIsBounded checks that lines are written at no more than the rate limit and its burst,
// and that the others are counted as dropped.
func TestLineRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const linesPerSecond, seconds = 1000, 5
		var out bytes.Buffer
		s := NewSink(&out)
		for range seconds {
			for range linesPerSecond {
				if _, err := s.Write([]byte("line\n")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
		}
		s.Close()
		written := bytes.Count(out.Bytes(), []byte("\n"))
		if maxLines := lineBurst + seconds*lineRate; written > maxLines || written < lineRate*seconds {
			t.Errorf("%d lines written, want %d to %d", written, lineRate*seconds, maxLines)
		}
		if int(s.Dropped())+written != linesPerSecond*seconds {
			t.Errorf("%d dropped and %d written of %d", s.Dropped(), written, linesPerSecond*seconds)
		}
	})
}

// TestWarningsAreKeptAboveTheLineRate checks that a high rate of lines about single runs does not
// cause warnings to be dropped, and that both together stay within the rate limit.
func TestWarningsAreKeptAboveTheLineRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const linesPerSecond, seconds = 1000, 5
		var out bytes.Buffer
		s := NewSink(&out)
		l, err := New(s, "info")
		if err != nil {
			t.Fatal(err)
		}
		for range seconds {
			for range linesPerSecond {
				l.Info("run ended")
			}
			l.Warn("starts are limited")
			time.Sleep(time.Second)
		}
		s.Close()
		if n := bytes.Count(out.Bytes(), []byte("starts are limited")); n != seconds {
			t.Errorf("%d of %d warnings written", n, seconds)
		}
		if n, maxLines := bytes.Count(out.Bytes(), []byte("\n")), lineBurst+seconds*lineRate; n > maxLines {
			t.Errorf("%d lines written, want at most %d", n, maxLines)
		}
	})
}

func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	l, err := New(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	l.Debug("not logged")
	l.Info("job starts", zap.String("request", "ab"), Err(nil), zap.Duration("tookMs", 20*time.Millisecond))
	s.Close()
	var line struct {
		Msg     string  `json:"msg"`
		Request string  `json:"request"`
		Took    float64 `json:"tookMs"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Msg != "job starts" || line.Request != "ab" || line.Took != 20 {
		t.Fatalf("unexpected line %+v", line)
	}
	if _, err := New(s, "loud"); err == nil {
		t.Fatal("New accepts an unknown level")
	}
}

// TestDependencyLogsOnlyChanges checks that repeated failures or successes log one line for each
// change of availability.
func TestDependencyLogsOnlyChanges(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	l, err := New(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	d := Dependency{Name: "store", Logger: l}
	for _, outcome := range []error{nil, errUnavailable, errUnavailable, nil, nil} {
		d.Report(outcome)
	}
	s.Close()
	if lost, regained := bytes.Count(out.Bytes(), []byte("dependency lost")), bytes.Count(out.Bytes(), []byte("dependency regained")); lost != 1 || regained != 1 {
		t.Fatalf("%d \"dependency lost\" and %d \"dependency regained\" lines, want one each", lost, regained)
	}
}
