// Package messenger carries typed calls between entry hosts as JSON-RPC 2.0
// over TCP.
package messenger

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// Method names a call between entry hosts.
type Method string

// The calls between entry hosts.
const (
	MethodHeartbeat     Method = "beat"
	MethodForward       Method = "forward"
	MethodRegister      Method = "register"
	MethodDeregister    Method = "deregister"
	MethodState         Method = "state"
	MethodKnownRequests Method = "memory"
	MethodExplain       Method = "explain"
	MethodJobState      Method = "jobState"
	MethodWaiting       Method = "waiting"
	MethodJobReport     Method = "jobReport"
	MethodJobExplain    Method = "jobExplain"
	MethodJobList       Method = "jobList"
	MethodCellClock     Method = "cellClock"
)

// The calls of scheduling hosts to a platform that speaks this project's own
// protocol; those of a store also go to other hosts, for a host that the store does
// not answer.
const (
	MethodAppend    Method = "append"
	MethodNewest    Method = "newest"
	MethodRead      Method = "read"
	MethodJoin      Method = "join"
	MethodLeave     Method = "leave"
	MethodOwners    Method = "holders"
	MethodStart     Method = "start"
	MethodStop      Method = "stop"
	MethodHold      Method = "hold"
	MethodPace      Method = "pace"
	MethodDirectory Method = "directory"
	MethodEvacuate  Method = "evacuate"
	MethodVerify    Method = "verify"
	MethodFaults    Method = "faults"
)

// The messages between the holder of a cell and a host that calls workers for it.
const (
	MethodOffer   Method = "offer"
	MethodOrders  Method = "orders"
	MethodAnswers Method = "answers"
)

const (
	codeRefused = 1
	dialTimeout = time.Second
)

// Handler answers one call. The params are the JSON of the caller's argument.
type Handler func(ctx context.Context, method Method, params json.RawMessage) (any, error)

// Server accepts calls of other entry hosts.
type Server struct {
	listener net.Listener
	handler  Handler
	batches  BatchHandler
	logger   *zap.Logger

	mu    sync.Mutex
	peers map[Peer]struct{}
}

// Listen returns a server on the address; Run serves it.
func Listen(address string, handler Handler, logger *zap.Logger, opts ...Option) (*Server, error) {
	ln, err := listener.Listen(address)
	if err != nil {
		return nil, err
	}
	return &Server{
		listener: ln, handler: handler, batches: optionsOf(opts).batches, logger: logger, peers: map[Peer]struct{}{},
	}, nil
}

// Run serves until ctx ends, then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.closeAll()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	peer := open(ctx, conn, s.handler, s.batches)
	s.mu.Lock()
	s.peers[peer] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-peer.Done()
		s.mu.Lock()
		delete(s.peers, peer)
		s.mu.Unlock()
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		p.Close()
	}
}

// answer lets a handler answer a call that came over a connection.
func answer(ctx context.Context, handler Handler, from Peer, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	out, err := handler(context.WithValue(ctx, peerKey{}, from), Method(req.Method), params)
	if err == nil {
		return out, nil
	}
	refusal := refuser.From(err)
	rpcErr := &jsonrpc2.Error{Code: codeRefused, Message: refusal.Message}
	rpcErr.SetError(refusal)
	return nil, rpcErr
}

// quiet drops the library's own log lines.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(silent{}) }

type silent struct{}

func (silent) Printf(string, ...any) {}

// Client calls other entry hosts over one kept connection each. Its methods
// are safe for concurrent use.
type Client struct {
	dropSilent bool

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// ClientOption changes a new client.
type ClientOption func(*Client)

// WithCloseOnTimeout makes a client close a connection on which a call had no
// answer in time, since a connection may go silent for good without a reset.
// Other calls under way on it fail with it, so that they should be harmless to
// repeat.
func WithCloseOnTimeout() ClientOption { return func(c *Client) { c.dropSilent = true } }

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{conns: map[string]*jsonrpc2.Conn{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Call sends params to the host at an address and fills result. The error is a
// *refuser.Refusal of that host, or marked connector.ErrNotSent or
// connector.ErrUnknown.
func (c *Client) Call(ctx context.Context, address string, method Method, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return errors.Mark(err, connector.ErrNotSent)
	}
	err = conn.Call(ctx, string(method), params, result)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return refusalOf(rpcErr)
	}
	if errors.Is(err, jsonrpc2.ErrClosed) || c.dropSilent && errors.Is(err, context.DeadlineExceeded) {
		c.drop(address, conn)
	}
	return errors.Mark(errors.Wrapf(err, "call %s at %s", method, address), connector.ErrUnknown)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		select {
		case <-conn.DisconnectNotify():
			c.drop(address, conn)
		default:
			return conn, nil
		}
	}
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	noCalls := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
	})
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VSCodeObjectCodec{}), noCalls, quiet())
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

func refusalOf(rpcErr *jsonrpc2.Error) error {
	var refusal refuser.Refusal
	if rpcErr.Data != nil && json.Unmarshal(*rpcErr.Data, &refusal) == nil && refusal.Code != "" {
		return &refusal
	}
	return errors.Mark(errors.Newf("peer error %d: %s", rpcErr.Code, rpcErr.Message), connector.ErrUnknown)
}
