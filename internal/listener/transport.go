package listener

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// retryAfter is when a client that found no room should try again.
	retryAfter = time.Second
	// refusalTime bounds the writing of a refusal to a client that may read nothing, and the
	// reading of what it still sends.
	refusalTime = time.Second
	// answerTime is how long before the end of a shutdown the contexts of open requests end, so that they are
	// answered, if only by a refusal, before their connections are closed.
	answerTime = 200 * time.Millisecond
	// lingerTime is how long a connection that waits for a request stays open in a shutdown, for a request
	// that is on its way or has come already.
	lingerTime = 100 * time.Millisecond
)

// transport accepts connections and gives the library one whose request has a complete header, one
// request at a time. While a connection waits for a request it has neither a context of the library
// nor memory beyond its first buffer, and may be evicted.
type transport struct {
	ln      net.Listener
	door    *limiter.Door
	maxBody int64
	handler network.OnData
	// requests is the context of all requests, which endRequests ends.
	requests    context.Context
	endRequests context.CancelFunc

	mu sync.Mutex
	// stopping is set once a shutdown has begun, and stopped once it has closed all connections that were
	// waiting for a request.
	stopping, stopped bool
	open              map[*conn]*limiter.Slot
	serving           sync.WaitGroup
}

// newTransporter returns the constructor of transports with a share of a budget.
func newTransporter(door *limiter.Door) func(*config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		t := &transport{ln: o.Listener, door: door, maxBody: int64(o.MaxRequestBodySize), open: map[*conn]*limiter.Slot{}}
		t.requests, t.endRequests = context.WithCancel(context.Background())
		return t
	}
}

// ListenAndServe implements network.Transporter.
func (t *transport) ListenAndServe(handler network.OnData) error {
	t.handler = handler
	for {
		raw, err := t.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		t.admit(raw)
	}
}

// admit serves a new connection, or refuses it if the listener is full.
func (t *transport) admit(raw net.Conn) {
	slot, ok := t.door.Open(addressOf(raw), func() { _ = raw.Close() })
	if !ok {
		// The buffers of a new connection are empty, so that the write does not wait.
		writeRefusal(raw, consts.StatusServiceUnavailable, overloaded("this host has no room for another connection"))
		_ = raw.Close()
		return
	}
	c := &conn{Conn: raw, door: t.door, charge: t.door.NewCharge(), timeout: t.door.TransferTime(), stopping: t.isStopping}
	t.mu.Lock()
	if t.stopped {
		t.mu.Unlock()
		slot.Close()
		_ = raw.Close()
		return
	}
	t.open[c] = slot
	t.serving.Add(1)
	t.mu.Unlock()
	go t.serve(c, slot)
}

// addressOf returns the address of a client without its port.
func addressOf(raw net.Conn) string {
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		return string(a.IP)
	}
	return ""
}

// serve serves the requests of a connection one by one.
func (t *transport) serve(c *conn, slot *limiter.Slot) {
	defer t.serving.Done()
	defer func() {
		t.mu.Lock()
		delete(t.open, c)
		t.mu.Unlock()
		c.charge.Release()
		slot.Close()
		_ = c.Conn.Close()
	}()
	for {
		if err := c.awaitHeader(idleTimeout, t.maxBody); err != nil {
			t.turnAway(c, err)
			return
		}
		if !slot.Begin() {
			return
		}
		if !c.charge.Begin() {
			t.turnAway(c, errNoMemory)
			return
		}
		err := t.handler(t.requests, c)
		if c.unread {
			drain(c.Conn)
		}
		if err != nil || t.isStopping() {
			return
		}
		c.charge.Release()
		if !c.reset() {
			t.turnAway(c, errNoMemory)
			return
		}
		slot.Wait()
	}
}

// reset gives up the buffers of a large request. What has been read of the next one stays; reset
// returns false if there is no memory for that.
func (c *conn) reset() bool {
	if cap(c.out) > firstBufferBytes {
		c.out = nil
	}
	if cap(c.in) <= firstBufferBytes {
		return true
	}
	if c.Len() > firstBufferBytes {
		return c.charge.Grow(limiter.Bytes(cap(c.in)))
	}
	in := make([]byte, c.Len(), firstBufferBytes)
	copy(in, c.in[c.off:])
	c.in, c.off = in, 0
	return true
}

func (t *transport) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// turnAway counts a client whose request is not read, and refuses the request if the client can
// still read that.
func (t *transport) turnAway(c *conn, err error) {
	switch {
	case errors.Is(err, errNoMemory):
		t.door.TurnAway(limiter.TurnedMemory)
		refuseAndDrain(c.Conn, consts.StatusServiceUnavailable, overloaded("this host has no memory for another request"))
	case errors.Is(err, errHeaderTooLarge):
		t.door.TurnAway(limiter.TurnedHeader)
		refuseAndDrain(c.Conn, consts.StatusRequestHeaderFieldsTooLarge, refuser.New(refuser.CodeTooLarge, "the header has more than %d bytes or %d lines", maxHeaderBytes, maxHeaderLines))
	case errors.Is(err, errBodyTooLarge):
		t.door.TurnAway(limiter.TurnedBody)
		refuseAndDrain(c.Conn, consts.StatusRequestEntityTooLarge, refuser.New(refuser.CodeTooLarge, "the body is larger than %d bytes", t.maxBody))
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.door.TurnAway(limiter.TurnedTime)
	}
}

func overloaded(message string) *refuser.Refusal {
	return refuser.New(refuser.CodeOverloaded, "%s", message).WithRetryAfter(retryAfter)
}

// refuseAndDrain writes a refusal as the last response of a connection.
func refuseAndDrain(raw net.Conn, status int, r *refuser.Refusal) {
	writeRefusal(raw, status, r)
	drain(raw)
}

// drain reads for a short time what the client still sends, without keeping it. Closing a
// connection with unread bytes would take a refusal back that the client has not read yet.
func drain(raw net.Conn) {
	if tcp, ok := raw.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = raw.SetReadDeadline(time.Now().Add(refusalTime))
	buf := make([]byte, firstBufferBytes)
	for {
		if _, err := raw.Read(buf); err != nil {
			return
		}
	}
}

// writeRefusal writes a refusal as a response of its own, for a request that the library does not
// see.
func writeRefusal(raw net.Conn, status int, r *refuser.Refusal) {
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	_ = raw.SetWriteDeadline(time.Now().Add(refusalTime))
	wait := ""
	if r.RetryAfterMillis > 0 {
		wait = fmt.Sprintf("Retry-After: %d\r\n", (r.RetryAfterMillis+999)/1000)
	}
	_, _ = fmt.Fprintf(raw, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, consts.StatusMessage(status), refuser.HeaderEffect, r.Effect, wait, len(body), body)
}

// Close implements network.Transporter.
func (t *transport) Close() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return t.Shutdown(ctx)
}

// Shutdown implements network.Transporter. It closes the listener, the connections that wait for a request
// lingerTime later, and the others once their request is answered or ctx is done. The contexts of requests
// end answerTime before ctx.
func (t *transport) Shutdown(ctx context.Context) error {
	defer t.endRequests()
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	_ = t.ln.Close()
	t.mu.Lock()
	for c, slot := range t.open {
		if slot.Waiting() {
			_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		}
	}
	t.mu.Unlock()
	if end, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(end)-answerTime, t.endRequests).Stop()
	}
	// A connection that was accepted just before the listener was closed is served like the others.
	select {
	case <-time.After(lingerTime):
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		t.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		_ = c.Conn.Close()
	}
	return ctx.Err()
}
