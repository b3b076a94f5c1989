package listener

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
)

// failingListener is a listener whose Accept returns the errors in failures first.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

func (l *failingListener) Close() error { return nil }

// TestAcceptRetriesAfterError checks that Accept retries when the process runs out of file
// descriptors or a client aborts its connection before it is accepted, and that it fails once the
// listener is closed.
func TestAcceptRetriesAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &retryingListener{Listener: &failingListener{failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}, closed: make(chan struct{})}
		before := AcceptFailures()
		conn, err := p.Accept()
		if err != nil {
			t.Fatalf("Accept failed: %v", err)
		}
		_ = conn.Close()
		if AcceptFailures()-before != 3 {
			t.Errorf("counted %d failed accepts, want 3", AcceptFailures()-before)
		}
		p = &retryingListener{Listener: &failingListener{failures: []error{syscall.EMFILE}}, closed: make(chan struct{})}
		_ = p.Close()
		if _, err := p.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept after Close: error %v, want net.ErrClosed", err)
		}
	})
}
