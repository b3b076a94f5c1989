package disturber

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startEchoLink starts an echo server and returns a link to it.
func startEchoLink(t *testing.T) *Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return startLink(t, ln.Addr().String())
}

// startLink runs a link to a target until the test ends.
func startLink(t *testing.T, target string) *Link {
	t.Helper()
	l, err := Listen("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a byte, waits up to limit for its echo and returns the round-trip time.
func exchange(t *testing.T, c net.Conn, limit time.Duration) (time.Duration, error) {
	t.Helper()
	began := time.Now()
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(began.Add(limit)); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(began), err
}

// TestLinkFaults checks the effect of each fault on an open connection, and that data held back
// arrives once the fault is over.
func TestLinkFaults(t *testing.T) {
	const delay = 150 * time.Millisecond
	tests := map[string]struct {
		faults Faults
		silent bool
		least  time.Duration
	}{
		"none":                     {faults: Faults{}},
		"delay":                    {faults: Faults{Delay: delay}, least: 2 * delay},
		"cut from the caller":      {faults: Faults{HoldSent: true}, silent: true},
		"cut towards the caller":   {faults: Faults{HoldReceived: true}, silent: true},
		"silent in both direction": {faults: Faults{HoldSent: true, HoldReceived: true}, silent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := startEchoLink(t)
			c := dial(t, l)
			if _, err := exchange(t, c, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			l.SetFaults(tt.faults)
			if tt.silent {
				if _, err := exchange(t, c, 200*time.Millisecond); err == nil {
					t.Error("received an answer while the link was held")
				}
				l.SetFaults(Faults{})
				if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
					t.Errorf("data that was held back is lost: %v", err)
				}
				return
			}
			took, err := exchange(t, c, 10*time.Second)
			if err != nil || took < tt.least {
				t.Errorf("answer after %v, %v; want at least %v", took, err, tt.least)
			}
		})
	}
}

// TestReset checks that Reset closes open connections with a TCP reset, and that new ones work.
func TestReset(t *testing.T) {
	l := startEchoLink(t)
	c := dial(t, l)
	if _, err := exchange(t, c, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("read ended with %v, want a reset", err)
	}
	if _, err := exchange(t, dial(t, l), 10*time.Second); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

// TestUnreachableTarget checks that the proxy closes a connection whose target does not listen.
func TestUnreachableTarget(t *testing.T) {
	c := dial(t, startLink(t, "127.0.0.1:1"))
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open")
	}
}
