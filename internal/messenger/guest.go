package messenger

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// maxCallsInFlight bounds the calls of one accepted connection that are being answered, and
	// minCallsInFlight is allowed whatever the budget. While there are as many, nothing more is read
	// from it.
	maxCallsInFlight = 256
	minCallsInFlight = 8
	// connectionCallShare is the part of the server's memory that the calls of one connection may
	// take.
	connectionCallShare = 4
	// refusalDelay is how long nothing more is read from a connection after a call for which there
	// is no memory, so that refusals alone do not take all of the processor.
	refusalDelay = 200 * time.Millisecond
	// callBytes is what a call takes beside its parameters, and valueBytes what each element of
	// the parameters takes decoded.
	callBytes  = 16 << 10
	valueBytes = 64
)

// errNoMemory is the error of reading a message for which the server has no memory.
var errNoMemory = errors.New("no memory for the message")

// unlimitedShape bounds nothing: the elements of a message are charged, not counted.
var unlimitedShape = limiter.Shape{Objects: maxFrameBytes, Values: maxFrameBytes, Depth: maxFrameBytes}

// guest is an accepted connection, which may be that of a client outside the system: what it sends
// is charged to the budget of the server, a message that has begun has to end in time, and so has
// the reading of an answer.
type guest struct {
	net.Conn
	door *limiter.Door
	slot *limiter.Slot
	// proven is set once a whole message has come, enlarged once a batch has.
	proven, enlarged bool

	callsInFlight chan struct{}

	// frame is what the message that is read and handled has taken. It and the fields below are used
	// by the reader only.
	frame          limiter.Charge
	inFrame, armed bool
	// messageCost is what the last message takes decoded.
	messageCost limiter.Bytes
}

// accept admits a connection, or closes it and returns false if the server is full.
func accept(raw net.Conn, door *limiter.Door) (*guest, bool) {
	address := ""
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		address = string(a.IP)
	}
	slot, ok := door.Open(address, func() { _ = raw.Close() })
	if !ok {
		_ = raw.Close()
		return nil, false
	}
	calls := min(max(int(door.Memory()/connectionCallShare/callBytes), minCallsInFlight), maxCallsInFlight)
	return &guest{Conn: raw, door: door, slot: slot, frame: door.NewCharge(), callsInFlight: make(chan struct{}, calls)}, true
}

// prove says that a whole message has come, after which the connection is not evicted.
func (g *guest) prove() {
	if !g.proven {
		g.proven = true
		g.slot.Begin()
	}
}

// endFrame says that the message that was being read is there.
func (g *guest) endFrame() {
	g.inFrame = false
	if g.armed {
		g.armed = false
		_ = g.SetReadDeadline(time.Time{})
	}
}

// grow takes memory for the message that is being read. A connection without a guest is not limited.
func (g *guest) grow(n int) bool {
	if g == nil || g.frame.Grow(limiter.Bytes(n)) {
		return true
	}
	g.door.TurnAway(limiter.TurnedMemory)
	return false
}

// Read implements net.Conn. A message that comes in one piece sets no deadline.
func (g *guest) Read(p []byte) (int, error) {
	if g.inFrame && !g.armed {
		g.armed = true
		if err := g.SetReadDeadline(time.Now().Add(g.door.TransferTime())); err != nil {
			return 0, errors.Wrap(err, "set read deadline")
		}
	}
	n, err := g.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.door.TurnAway(limiter.TurnedTime)
	}
	return n, err
}

// Write implements net.Conn. It closes the connection if the other side does not read in time, so
// that nothing more is handled for it.
func (g *guest) Write(p []byte) (int, error) {
	if err := g.SetWriteDeadline(time.Now().Add(g.door.TransferTime())); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	n, err := g.Conn.Write(p)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			g.door.TurnAway(limiter.TurnedTime)
		}
		_ = g.Close()
	}
	return n, err
}

// admitMessage takes memory for decoding the message that was read, and returns false if there is
// none.
func (g *guest) admitMessage(content []byte) bool {
	if g == nil {
		return true
	}
	// Without limits, there is no error.
	shape, _ := limiter.CheckShape(content, unlimitedShape)
	g.messageCost = limiter.Bytes(len(content) + (shape.Objects+shape.Values)*valueBytes)
	return g.grow(int(g.messageCost))
}

// limitCalls returns a handler that answers calls side by side, as many as there is memory for and
// as one connection may have.
func (g *guest) limitCalls(answer jsonrpc2.Handler) jsonrpc2.Handler {
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, refusalError(refuser.New(refuser.CodeOverloaded, "this host has no memory for another call"))
	})
	return handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
		select {
		case g.callsInFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		charge := g.door.NewCharge()
		if !charge.Grow(callBytes + g.messageCost) {
			g.door.TurnAway(limiter.TurnedMemory)
			refuse.Handle(ctx, conn, req)
			<-g.callsInFlight
			select {
			case <-time.After(refusalDelay):
			case <-conn.DisconnectNotify():
			}
			return
		}
		go func() {
			defer func() {
				charge.Release()
				<-g.callsInFlight
			}()
			answer.Handle(ctx, conn, req)
		}()
	})
}

type handlerFunc func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	f(ctx, conn, req)
}
