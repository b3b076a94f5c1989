package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// idleTimeout is how long an unused connection to a minion is kept. It is shorter than the time
// after which servers usually close idle connections.
const idleTimeout = 4 * time.Second

type idleConn struct {
	conn      connector.MinionConn
	idleSince time.Time
}

// pool keeps connections to one minion, at most limit of them.
type pool struct {
	dial    connector.MinionDialer
	address string

	mu    sync.Mutex
	limit int
	open  int
	idle  []idleConn
}

// get returns an idle connection or opens one. The error is marked
// connector.ErrNotSent.
func (p *pool) get(ctx context.Context) (connector.MinionConn, error) {
	if conn, ok := p.takeIdle(); ok {
		return conn, nil
	}
	if !p.reserve() {
		return nil, errors.Mark(errors.Newf("all connections to %s are in use", p.address), connector.ErrNotSent)
	}
	conn, err := p.dial(ctx, p.address)
	if err != nil {
		p.release()
		return nil, errors.Mark(err, connector.ErrNotSent)
	}
	return conn, nil
}

// takeIdle removes and returns the most recently used idle connection.
func (p *pool) takeIdle() (connector.MinionConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOlderLocked(idleTimeout)
	if len(p.idle) == 0 {
		return nil, false
	}
	last := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return last.conn, true
}

// closeOlderLocked closes the connections that have been idle for at least age, oldest first. The
// caller holds p.mu.
func (p *pool) closeOlderLocked(age time.Duration) {
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= age {
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// reserve counts a connection that is about to be opened; it returns false at the limit.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// release uncounts a connection that was closed or could not be opened.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put returns a connection to the pool after a complete exchange.
func (p *pool) put(conn connector.MinionConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, idleConn{conn, time.Now()})
}

// discard closes a connection whose exchange failed: a late answer must not be
// read as that of the next request.
func (p *pool) discard(conn connector.MinionConn) {
	_ = conn.Close()
	p.release()
}

// closeIdle closes the connections that have been unused for at least age.
func (p *pool) closeIdle(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOlderLocked(age)
}
