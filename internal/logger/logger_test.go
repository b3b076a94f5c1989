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

var errAway = errors.New("away")

// blocked is a writer that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// TestNeverBlocks checks that lines beyond the queue are dropped and counted
// while nobody reads the log.
func TestNeverBlocks(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
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
		t.Fatal("logging waits for its reader")
	}
	close(out.release)
	s.Close()
	written := int64(bytes.Count(out.Bytes(), []byte("\n")))
	if s.Dropped() == 0 || written+s.Dropped() != lines {
		t.Fatalf("%d lines written and %d dropped of %d", written, s.Dropped(), lines)
	}
}

// TestLinesAfterCloseAreDropped checks that a call which outlives the servers does not end the
// process with its last lines, and that all lines from before are written.
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

// TestVolumeIsBounded checks that a flood of lines is cut to the operators' bound, and
// that what was dropped is counted.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flood, seconds = 1000, 5
		var out bytes.Buffer
		s := NewSink(&out)
		for range seconds {
			for range flood {
				if _, err := s.Write([]byte("line\n")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
		}
		s.Close()
		written := bytes.Count(out.Bytes(), []byte("\n"))
		if most := lineBurst + seconds*lineRate; written > most || written < lineRate*seconds {
			t.Errorf("%d lines written, want %d to %d", written, lineRate*seconds, most)
		}
		if int(s.Dropped())+written != flood*seconds {
			t.Errorf("%d dropped and %d written of %d", s.Dropped(), written, flood*seconds)
		}
	})
}

// TestWarningsPassAFloodOfLines checks that lines about single runs do not take the place
// of warnings, and that both together keep to the bound.
func TestWarningsPassAFloodOfLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flood, seconds = 1000, 5
		var out bytes.Buffer
		s := NewSink(&out)
		l, err := New(s, "info")
		if err != nil {
			t.Fatal(err)
		}
		for range seconds {
			for range flood {
				l.Info("run ended")
			}
			l.Warn("starts are limited")
			time.Sleep(time.Second)
		}
		s.Close()
		if n := bytes.Count(out.Bytes(), []byte("starts are limited")); n != seconds {
			t.Errorf("%d warnings written of %d", n, seconds)
		}
		if n, most := bytes.Count(out.Bytes(), []byte("\n")), lineBurst+seconds*lineRate; n > most {
			t.Errorf("%d lines written, want at most %d", n, most)
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
		t.Fatalf("line %+v", line)
	}
	if _, err := New(s, "loud"); err == nil {
		t.Fatal("an unknown level is accepted")
	}
}

// TestDependencyIsReportedOnce checks that only changes are logged.
func TestDependencyIsReportedOnce(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	l, err := New(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	d := Dependency{Name: "store", Logger: l}
	for _, outcome := range []error{nil, errAway, errAway, nil, nil} {
		d.Report(outcome)
	}
	s.Close()
	if lost, regained := bytes.Count(out.Bytes(), []byte("dependency lost")), bytes.Count(out.Bytes(), []byte("dependency regained")); lost != 1 || regained != 1 {
		t.Fatalf("%d losses and %d returns logged, want one each", lost, regained)
	}
}
