package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetryDelay is the delay before retrying a failed Accept, for example when the process has
// run out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// acceptFailures counts the failed calls of Accept on all listeners.
var acceptFailures atomic.Int64

// AcceptFailures returns the number of failed accepts since the process started.
func AcceptFailures() int64 { return acceptFailures.Load() }

// retryingListener is a listener whose Accept retries on errors and fails only once the listener is
// closed. A server stops when Accept fails, and one failed accept must not stop the process.
type retryingListener struct {
	net.Listener
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (p *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		acceptFailures.Add(1)
		select {
		case <-time.After(acceptRetryDelay):
		case <-p.closed:
			return nil, errors.Mark(err, net.ErrClosed)
		}
	}
}

// Close implements net.Listener.
func (p *retryingListener) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.Listener.Close()
}
