package listener

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
)

// troubled is a listener whose first calls of Accept fail.
type troubled struct {
	net.Listener
	failures []error
}

func (l *troubled) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

func (l *troubled) Close() error { return nil }

// TestAcceptIsTriedAgain checks that running out of descriptors, or one connection
// that breaks before it is accepted, does not end a server, and that closing does.
func TestAcceptIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &persistent{Listener: &troubled{failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}, closed: make(chan struct{})}
		before := AcceptFailures()
		conn, err := p.Accept()
		if err != nil {
			t.Fatalf("accept fails with %v", err)
		}
		_ = conn.Close()
		if AcceptFailures()-before != 3 {
			t.Errorf("%d failures counted, want 3", AcceptFailures()-before)
		}
		p = &persistent{Listener: &troubled{failures: []error{syscall.EMFILE}}, closed: make(chan struct{})}
		_ = p.Close()
		if _, err := p.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v after closing, want net.ErrClosed", err)
		}
	})
}
