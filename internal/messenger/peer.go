package messenger

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// Peer is one connection to another host, over which either side may call. Two
// peers are equal if they are the same connection.
type Peer struct {
	conn   *jsonrpc2.Conn
	stream *stream
}

type peerKey struct{}

// PeerFromContext returns the connection over which the call came that a Handler answers.
func PeerFromContext(ctx context.Context) (Peer, bool) {
	p, ok := ctx.Value(peerKey{}).(Peer)
	return p, ok
}

// Dial opens a connection of its own to the host at an address; handler answers the
// calls of the other side. The error is marked connector.ErrNotSent.
func Dial(ctx context.Context, address string, handler Handler, opts ...Option) (Peer, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return Peer{}, errors.Mark(errors.Wrapf(err, "dial peer %s", address), connector.ErrNotSent)
	}
	return open(context.WithoutCancel(ctx), raw, handler, optionsOf(opts).batches), nil
}

// Call makes a call and fills result. The error is a *refuser.Refusal of the other
// host, or marked connector.ErrUnknown.
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

// SendBatch sends a batch, which has no answer. The error is marked connector.ErrUnknown.
func (p Peer) SendBatch(method Method, content []byte) error {
	return errors.Wrapf(p.stream.writeBatch(method, content), "send %s", method)
}

// CompressBatches makes all batches from now on travel compressed. The other side has to know such
// batches, and both keep some memory for each connection.
func (p Peer) CompressBatches() { p.stream.pack() }

// Done is closed once the connection is.
func (p Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Close closes the connection.
func (p Peer) Close() { _ = p.conn.Close() }
