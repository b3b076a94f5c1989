package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the pause after a connection that could not be accepted, as when the
// process is out of descriptors.
const acceptPause = 50 * time.Millisecond

// failed counts the connections that could not be accepted.
var failed atomic.Int64

// AcceptFailures returns how many connections could not be accepted since the process began.
func AcceptFailures() int64 { return failed.Load() }

// persistent is a listener whose Accept only fails once it is closed: whatever keeps
// one connection from being accepted must not end the process.
type persistent struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (p *persistent) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		failed.Add(1)
		select {
		case <-time.After(acceptPause):
		case <-p.closed:
			return nil, errors.Mark(err, net.ErrClosed)
		}
	}
}

// Close implements net.Listener.
func (p *persistent) Close() error {
	p.once.Do(func() { close(p.closed) })
	return p.Listener.Close()
}
