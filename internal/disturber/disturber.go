// Package disturber implements a loopback TCP proxy that can delay, hold back or reset its
// connections.
package disturber

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

const (
	// dialTimeout limits dialling the target, which is on the same machine.
	dialTimeout = time.Second
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
	// bufferedChunks limits the chunks that are queued in one direction of a connection.
	bufferedChunks = 64
)

// Faults are the faults injected into a link. The zero value injects none.
type Faults struct {
	// Delay is added to the latency of each direction.
	Delay time.Duration `json:"delay,omitempty"`
	// HoldSent holds back data from the client to the target, and HoldReceived data from the
	// target to the client, until the fault is over.
	HoldSent     bool `json:"holdSent,omitempty"`
	HoldReceived bool `json:"holdReceived,omitempty"`
}

// Link is a proxy from a listening address to a target. Its methods are safe for concurrent use.
type Link struct {
	ln     net.Listener
	target string

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	conns         map[net.Conn]struct{}
}

// Listen returns a link that listens on an address and forwards to a target once Run is called.
func Listen(address, target string) (*Link, error) {
	ln, err := listener.Listen(address)
	if err != nil {
		return nil, err
	}
	return &Link{ln: ln, target: target, faultsChanged: make(chan struct{}), conns: map[net.Conn]struct{}{}}, nil
}

// SetFaults replaces the faults of the link, including for open connections.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == f {
		return
	}
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// Reset closes all open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Run accepts and forwards connections until ctx ends. It returns an error if accepting fails.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.ln.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := l.ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection on link")
		}
		conns.Go(func() { l.proxyConn(ctx, conn) })
	}
}

// proxyConn forwards one connection. It closes both sides together, so that each peer notices
// when the other one is gone.
func (l *Link) proxyConn(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	d := net.Dialer{Timeout: dialTimeout}
	upstream, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	l.register(client, upstream)
	defer l.unregister(client, upstream)
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = upstream.Close()
	})
	defer stop()
	l.forward(ctx, g, upstream, client, func(f Faults) bool { return f.HoldSent })
	l.forward(ctx, g, client, upstream, func(f Faults) bool { return f.HoldReceived })
	_ = g.Wait() // A closed or reset connection is an expected end.
}

func (l *Link) register(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
}

func (l *Link) unregister(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

type chunk struct {
	data   []byte
	sendAt time.Time
}

// forward copies one direction of a connection. A reader stamps each chunk with its send time, and
// a writer waits for that time and until the direction is not held back. The end of the stream is
// forwarded after all chunks.
func (l *Link) forward(ctx context.Context, g *errgroup.Group, to, from net.Conn, held func(Faults) bool) {
	chunks := make(chan chunk, bufferedChunks)
	g.Go(func() error {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{buf[:n], time.Now().Add(l.delay())}:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if err != nil {
				return nil
			}
		}
	})
	g.Go(func() error {
		for c := range chunks {
			sleeper.Pause(ctx, time.Until(c.sendAt))
			if err := l.waitUntilReleased(ctx, held); err != nil {
				return err
			}
			if _, err := to.Write(c.data); err != nil {
				return err
			}
		}
		if err := l.waitUntilReleased(ctx, held); err != nil {
			return err
		}
		return net.ErrClosed
	})
}

func (l *Link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Delay
}

// waitUntilReleased waits until a direction is no longer held back, or returns the error of ctx.
func (l *Link) waitUntilReleased(ctx context.Context, held func(Faults) bool) error {
	for {
		l.mu.Lock()
		now, changed := held(l.faults), l.faultsChanged
		l.mu.Unlock()
		if !now {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
