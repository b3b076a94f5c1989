package messenger

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// writeChunkBytes is how much of a message is written at once, and writeStallTimeout how long the other
	// side may take to accept that. Slow links carry a large message as long as it makes progress.
	writeChunkBytes   = 16 << 10
	writeStallTimeout = 5 * time.Second
	// closeTimeout is how long the close of a connection waits for messages that are being written.
	closeTimeout = 200 * time.Millisecond
)

// boundedConn is a connection whose writes fail if the other side does not read. It is closed then, since a
// part of a message has been sent.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(data []byte) (written int, err error) {
	for written < len(data) {
		if err := c.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
			return written, errors.Wrap(err, "set write deadline")
		}
		n, err := c.Conn.Write(data[written:min(written+writeChunkBytes, len(data))])
		if written += n; err != nil {
			_ = c.Close()
			return written, errors.Wrap(err, "write")
		}
	}
	return written, nil
}

// closeConn closes a connection after the messages that are being written, or after closeTimeout.
func closeConn(conn *jsonrpc2.Conn, raw net.Conn) {
	t := time.AfterFunc(closeTimeout, func() { _ = raw.Close() })
	defer t.Stop()
	_ = conn.Close()
}
