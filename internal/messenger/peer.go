package messenger

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// Peer is one connection to another host, over which either side may make calls. Two Peer values
// are equal if they are the same connection.
type Peer struct {
	conn   *jsonrpc2.Conn
	stream *stream
}

type peerKey struct{}

// PeerFromContext returns the connection over which the call came whose Handler got ctx.
func PeerFromContext(ctx context.Context) (Peer, bool) {
	p, ok := ctx.Value(peerKey{}).(Peer)
	return p, ok
}

// Dial opens a new connection to the host at an address; handler answers the calls of the other
// side. Ctx bounds the dialling only. The error is marked connector.ErrNotSent.
func Dial(ctx context.Context, address string, handler Handler, opts ...Option) (Peer, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return Peer{}, errors.Mark(errors.Wrapf(err, "dial peer %s", address), connector.ErrNotSent)
	}
	return newPeer(context.WithoutCancel(ctx), raw, handler, applyOptions(opts).batchHandler), nil
}

// Call makes a call and decodes the answer into result. The error is a *refuser.Refusal of the
// other host, or marked connector.ErrUnknown.
func (p Peer) Call(ctx context.Context, method Method, params, result any) error {
	err := p.conn.Call(ctx, string(method), params, result)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return refusalOf(rpcErr)
	}
	return errors.Mark(errors.Wrapf(err, "call %s", method), connector.ErrUnknown)
}

// SendBatch sends a batch, for which there is no answer. The error is marked connector.ErrUnknown.
func (p Peer) SendBatch(method Method, content []byte) error {
	return errors.Wrapf(p.stream.writeBatch(method, content), "send %s", method)
}

// CompressBatches compresses all batches that are sent from now on. The other side has to support
// compressed batches, and both sides keep memory for the compression of each connection.
func (p Peer) CompressBatches() { p.stream.compressBatches() }

// Done returns a channel that is closed once the connection is closed.
func (p Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Close closes the connection, at most closeTimeout later if messages are being written.
func (p Peer) Close() { closeConn(p.conn, p.stream.raw) }
