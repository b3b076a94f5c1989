package listener

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/limiter"
)

const (
	// firstBufferBytes holds the header of an ordinary request.
	firstBufferBytes = 1 << 10
	// maxHeaderBytes and maxHeaderLines bound the header of a request, and each bounds the trailer
	// of a chunked body too.
	maxHeaderBytes = 16 << 10
	maxHeaderLines = 128
	// copiedWrite is the length up to which an answer's parts are joined before they are written.
	copiedWrite = 4 << 10
)

var (
	errHeaderTooLarge = errors.New("the header is too large")
	errBodyTooLarge   = errors.New("the body is too large")
	errNoMemory       = errors.New("no memory for the request")
)

// conn is a connection of a caller, as the library sees it while it serves one request. The
// library's own connection keeps, for each read of a header that comes in pieces, a copy of all
// that was read before, and reads the next request while an answer waits. This one keeps one
// buffer, of a bounded size, and charges it to the listener's budget.
type conn struct {
	net.Conn
	door    *limiter.Door
	charge  limiter.Charge
	timeout time.Duration
	// armed is set once the deadline for the transfer of a request is set.
	armed bool
	// stopping reports whether the listener is being shut down.
	stopping func() bool
	// unread is set if a request was refused before all of it was read.
	unread bool

	// in[off:] is read and not consumed.
	in  []byte
	off int
	out []byte
}

// Peek returns the next n bytes, which stay valid until Release.
func (c *conn) Peek(n int) ([]byte, error) {
	for c.Len() < n {
		if err := c.fill(n); err != nil {
			return c.in[c.off:], err
		}
	}
	return c.in[c.off : c.off+n], nil
}

// fill reads once, into a buffer with room for n unread bytes or one more than there are.
func (c *conn) fill(n int) error {
	n = max(n, c.Len()+1)
	if n > maxHeaderBytes {
		return errHeaderTooLarge
	}
	if c.off+n > cap(c.in) {
		if err := c.grow(n); err != nil {
			return err
		}
	}
	m, err := c.receive(c.in[len(c.in):cap(c.in)])
	c.in = c.in[:len(c.in)+m]
	if m > 0 {
		return nil
	}
	return err
}

// receive reads once from the client, within the time that it has for the transfer of a request. A
// request that comes in one piece sets no deadline.
func (c *conn) receive(p []byte) (int, error) {
	if !c.armed {
		c.armed = true
		if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, errors.Wrap(err, "set read deadline")
		}
	}
	return c.Conn.Read(p)
}

// grow replaces the buffer by one with room for n unread bytes. Bytes that the library still uses
// stay in the old one.
func (c *conn) grow(n int) error {
	size := max(firstBufferBytes, cap(c.in))
	for size < n {
		size *= 2
	}
	if size > firstBufferBytes && size > cap(c.in) && !c.charge.Grow(limiter.Bytes(size)) {
		return errNoMemory
	}
	in := make([]byte, c.Len(), size)
	copy(in, c.in[c.off:])
	c.in, c.off = in, 0
	return nil
}

// Skip discards the next n bytes, which have been read.
func (c *conn) Skip(n int) error {
	if n < 0 || n > c.Len() {
		return io.ErrUnexpectedEOF
	}
	c.off += n
	return nil
}

// Release says that the bytes of earlier calls are no longer used.
func (c *conn) Release() error {
	if c.off == len(c.in) {
		c.in, c.off = c.in[:0], 0
	}
	return nil
}

// Len returns the number of bytes that are read and not consumed.
func (c *conn) Len() int { return len(c.in) - c.off }

// ReadByte returns the next byte.
func (c *conn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.off++
	return b[0], nil
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.off += n
	return bytes.Clone(b), nil
}

// Read reads what is there, without passing through the buffer if that is empty.
func (c *conn) Read(p []byte) (int, error) {
	if c.Len() == 0 {
		return c.receive(p)
	}
	n := copy(p, c.in[c.off:])
	c.off += n
	return n, c.Release()
}

// Malloc returns n bytes to be filled and sent by Flush.
func (c *conn) Malloc(n int) ([]byte, error) {
	from := len(c.out)
	c.out = append(c.out, make([]byte, n)...)
	return c.out[from:], nil
}

// WriteBinary sends a long part at once, and a short one with the next Flush.
func (c *conn) WriteBinary(b []byte) (int, error) {
	if len(b) <= copiedWrite {
		c.out = append(c.out, b...)
		return len(b), nil
	}
	if err := c.Flush(); err != nil {
		return 0, err
	}
	return c.Write(b)
}

// Flush sends what is to be sent, within the time that a caller has to read it.
func (c *conn) Flush() error {
	if len(c.out) == 0 {
		return nil
	}
	_, err := c.Write(c.out)
	c.out = c.out[:0]
	if cap(c.out) > 2*copiedWrite {
		c.out = nil
	}
	return err
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return c.Conn.Write(b)
}

// Close does nothing: the library closes after each request, and the transport decides whether the
// connection stays open.
func (c *conn) Close() error { return nil }

// SetReadTimeout does nothing: the transport sets the deadlines.
func (c *conn) SetReadTimeout(time.Duration) error { return nil }

// SetWriteTimeout does nothing: each write has a deadline.
func (c *conn) SetWriteTimeout(time.Duration) error { return nil }

// awaitHeader reads until the buffer holds the whole header of a request whose body is not declared
// to be larger than maxBody. A caller may be idle for a time, and then has the time of a transfer
// for the header. The error is io.EOF if the caller sent nothing.
func (c *conn) awaitHeader(idle time.Duration, maxBody int64) error {
	if c.Len() == 0 {
		if err := c.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return errors.Wrap(err, "set idle deadline")
		}
		// The shutdown may have set its deadline before the one above.
		if c.stopping() {
			if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
				return errors.Wrap(err, "set idle deadline")
			}
		}
		c.armed = true
		if err := c.fill(1); err != nil {
			return io.EOF
		}
	}
	c.armed = false
	h := headerScanner{maxBody: maxBody}
	for {
		done, err := h.scan(c.in[c.off:])
		if done || err != nil {
			return err
		}
		if err := c.fill(c.Len() + 1); err != nil {
			return err
		}
	}
}

// headerScanner follows a header line by line as it comes.
type headerScanner struct {
	maxBody int64
	// next is the begin of the first line that was not complete.
	next, lines int
}

var lengthField = []byte("content-length:")

// scan looks at the lines that are complete in a header of which text is the begin, and reports
// whether the last line is among them.
func (h *headerScanner) scan(text []byte) (done bool, err error) {
	for {
		n := bytes.IndexByte(text[h.next:], '\n')
		if n < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(text[h.next:h.next+n], []byte{'\r'})
		if len(line) == 0 {
			return true, nil
		}
		if h.lines++; h.lines > maxHeaderLines {
			return false, errHeaderTooLarge
		}
		if len(line) > len(lengthField) && bytes.EqualFold(line[:len(lengthField)], lengthField) && exceeds(line[len(lengthField):], h.maxBody) {
			return false, errBodyTooLarge
		}
		h.next += n + 1
	}
}

// exceeds reports whether the digits of a field's value are a number above limit. What is no number
// is left to the library.
func exceeds(value []byte, limit int64) bool {
	var n int64
	for _, c := range bytes.TrimSpace(value) {
		if c < '0' || c > '9' {
			return false
		}
		if n = n*10 + int64(c-'0'); n > limit {
			return true
		}
	}
	return false
}
