package listener

import (
	"context"
	"io"
	"os"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// firstBodyBytes is the memory for a body before any of it has come.
	firstBodyBytes = 4 << 10
	// readBytes bounds one read of a body. The library returns a chunk only once the whole of what
	// was asked for is there.
	readBytes = 8 << 10
)

// readBody returns a handler that reads the request body and refuses one larger than limit bytes,
// or for which there is no memory. Hertz's own size check would respond with plain text instead of
// a JSON refusal.
func readBody(limit int) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if !c.Request.IsBodyStream() {
			c.Next(ctx)
			return
		}
		body, err := readAll(c, limit)
		switch {
		case err == nil:
			c.Request.SetBodyRaw(body)
			c.Next(ctx)
		case errors.Is(err, errBodyTooLarge):
			turnAway(c, limiter.TurnedBody)
			refuseAndClose(c, consts.StatusRequestEntityTooLarge, refuser.New(refuser.CodeTooLarge, "the body is larger than %d bytes", limit))
		case errors.Is(err, errNoMemory):
			turnAway(c, limiter.TurnedMemory)
			c.Header("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
			refuseAndClose(c, consts.StatusServiceUnavailable, overloaded("this host has no memory for this request"))
		default:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				turnAway(c, limiter.TurnedTime)
			}
			refuseAndClose(c, consts.StatusBadRequest, refuser.New(refuser.CodeInvalid, "the body ended early: %v", err))
		}
	}
}

// readAll reads a body into memory that grows as the body comes, and is charged first.
func readAll(c *app.RequestContext, limit int) ([]byte, error) {
	declared := c.Request.Header.ContentLength()
	if declared > limit {
		return nil, errBodyTooLarge
	}
	most := limit + 1
	if declared >= 0 {
		// The library reads as much as it is asked for, also beyond the end of the body.
		most = declared
	}
	charge := chargeOf(c)
	size := min(firstBodyBytes, most)
	if !charge.Grow(limiter.Bytes(size)) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	stream := c.RequestBodyStream()
	for {
		n, err := stream.Read(body[len(body):min(cap(body), len(body)+readBytes)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := min(2*cap(body), most)
		if !charge.Grow(limiter.Bytes(size)) {
			return nil, errNoMemory
		}
		larger := make([]byte, len(body), size)
		copy(larger, body)
		charge.Shrink(limiter.Bytes(cap(body)))
		body = larger
	}
}

// chargeOf returns what a request has taken from the budget of its listener, which
// is given back after the response.
func chargeOf(c *app.RequestContext) *limiter.Charge {
	if own, ok := c.GetConn().(*conn); ok {
		return &own.charge
	}
	return &limiter.Charge{}
}

// ChargeDecoding takes memory for decoding the JSON body of a request from the budget of its
// listener. It returns a refusal if the body has more elements than most, or if there is no memory.
func ChargeDecoding(c *app.RequestContext, most limiter.Shape) *refuser.Refusal {
	body := c.Request.Body()
	shape, err := limiter.CheckShape(body, most)
	if err != nil {
		turnAway(c, limiter.TurnedElements)
		return refuser.New(refuser.CodeInvalid, "%v", err)
	}
	if !chargeOf(c).Grow(shape.Decoded(len(body))) {
		turnAway(c, limiter.TurnedMemory)
		return overloaded("this host has no memory for this request")
	}
	return nil
}

// turnAway counts a client that is turned away.
func turnAway(c *app.RequestContext, reason limiter.Turnaway) {
	if own, ok := c.GetConn().(*conn); ok {
		own.door.TurnAway(reason)
	}
}

// refuseAndClose writes a refusal and closes the connection, which cannot be reused while part of
// the request body is unread.
func refuseAndClose(c *app.RequestContext, status int, r *refuser.Refusal) {
	if own, ok := c.GetConn().(*conn); ok {
		own.unread = true
	}
	// Without this, the library would read the rest of the body first.
	_ = c.Request.CloseBodyStream()
	c.SetConnectionClose()
	WriteRefusal(c, status, r)
	c.Abort()
}
