// Package messenger carries calls as JSON-RPC 2.0 over TCP, and binary batches over the same
// connections: between entry hosts, and between scheduling hosts and a platform that speaks the
// same protocol.
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
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// Method is the name of a call or of a kind of batch.
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
	MethodJobPreview    Method = "jobPreview"
	MethodTeams         Method = "teams"
	MethodCellClock     Method = "cellClock"
	MethodConfig        Method = "config"
	MethodRequestRoom   Method = "requestRoom"
	MethodSuccessor     Method = "successor"
)

// The calls of scheduling hosts to a platform that speaks this project's own protocol. The calls of
// a store are also sent to other hosts, which make them for a host that the store does not answer.
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
	MethodPublish   Method = "publish"
	MethodVerify    Method = "verify"
	MethodFaults    Method = "faults"
)

// The messages between the holder of a cell and a host that calls workers on its behalf.
const (
	MethodOffer   Method = "offer"
	MethodOrders  Method = "orders"
	MethodAnswers Method = "answers"
)

const (
	codeRefused = 1
	dialTimeout = time.Second
)

// Handler answers one call; params is the JSON encoding of the caller's argument. An error is sent
// to the caller as a refuser.Refusal.
type Handler func(ctx context.Context, method Method, params json.RawMessage) (any, error)

// Server accepts connections of other hosts and answers the calls that come over them.
type Server struct {
	listener     net.Listener
	handler      Handler
	batchHandler BatchHandler
	door         *limiter.Door
	logger       *zap.Logger

	mu    sync.Mutex
	peers map[Peer]struct{}
}

// Listen returns a server that listens on address; Run serves it.
func Listen(address string, handler Handler, logger *zap.Logger, opts ...Option) (*Server, error) {
	ln, err := listener.Listen(address)
	if err != nil {
		return nil, err
	}
	o := applyOptions(opts)
	if o.door == nil {
		o.door = limiter.NewBudget(limiter.HostSize{}, limiter.SetLimits{}).Door(limiter.DoorPeers)
	}
	return &Server{listener: ln, handler: handler, batchHandler: o.batchHandler, door: o.door, logger: logger, peers: map[Peer]struct{}{}}, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then closes all connections and returns nil. Otherwise it returns the
// error of a failed accept.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.closePeers()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	g, ok := accept(conn, s.door)
	if !ok {
		return
	}
	peer := newPeer(ctx, conn, g, s.handler, s.batchHandler)
	s.mu.Lock()
	s.peers[peer] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-peer.Done()
		g.slot.Close()
		s.mu.Lock()
		delete(s.peers, peer)
		s.mu.Unlock()
	}()
}

func (s *Server) closePeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var closing sync.WaitGroup
	for p := range s.peers {
		closing.Go(p.Close)
	}
	closing.Wait()
}

// handleCall answers a call with the result or the refusal of handler; from is the connection over
// which the call came.
func handleCall(ctx context.Context, handler Handler, from Peer, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	out, err := handler(context.WithValue(ctx, peerKey{}, from), Method(req.Method), params)
	if err == nil {
		return out, nil
	}
	return nil, refusalError(refuser.From(err))
}

func refusalError(refusal *refuser.Refusal) *jsonrpc2.Error {
	rpcErr := &jsonrpc2.Error{Code: codeRefused, Message: refusal.Message}
	rpcErr.SetError(refusal)
	return rpcErr
}

// withoutLogs discards the log lines of the JSON-RPC library.
func withoutLogs() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(discardLogger{}) }

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Client calls other hosts over one persistent connection to each. Its methods are safe for
// concurrent use.
type Client struct {
	closeOnTimeout bool

	mu    sync.Mutex
	conns map[string]clientConn
}

// clientConn is a connection of a Client.
type clientConn struct {
	*jsonrpc2.Conn
	raw net.Conn
}

func (c clientConn) close() { closeConn(c.Conn, c.raw) }

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithCloseOnTimeout makes a client close a connection on which a call has timed out, since a
// connection may be dead without a reset. The other calls in flight on it fail too, so all calls of
// such a client should be safe to repeat.
func WithCloseOnTimeout() ClientOption { return func(c *Client) { c.closeOnTimeout = true } }

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{conns: map[string]clientConn{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Call makes a call to the host at an address and decodes the answer into result. The error is a
// *refuser.Refusal of that host, or marked connector.ErrNotSent or connector.ErrUnknown.
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
	if errors.Is(err, jsonrpc2.ErrClosed) || c.closeOnTimeout && errors.Is(err, context.DeadlineExceeded) {
		c.drop(address, conn)
	}
	return errors.Mark(errors.Wrapf(err, "call %s at %s", method, address), connector.ErrUnknown)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var closing sync.WaitGroup
	for _, conn := range c.conns {
		closing.Go(conn.close)
	}
	closing.Wait()
	clear(c.conns)
}

// conn returns the open connection to the host at an address, or opens one.
func (c *Client) conn(ctx context.Context, address string) (clientConn, error) {
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

// dial opens a connection that answers no calls of the other side. If another goroutine has opened
// one meanwhile, it returns that one.
func (c *Client) dial(ctx context.Context, address string) (clientConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return clientConn{}, errors.Wrapf(err, "dial peer %s", address)
	}
	raw = boundedConn{raw}
	noCalls := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
	})
	conn := clientConn{jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VSCodeObjectCodec{}), noCalls, withoutLogs()), raw}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		conn.close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) drop(address string, conn clientConn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.close()
}

// refusalOf returns the *refuser.Refusal of a JSON-RPC error, or an error marked
// connector.ErrUnknown if it carries none.
func refusalOf(rpcErr *jsonrpc2.Error) error {
	var refusal refuser.Refusal
	if rpcErr.Data != nil && json.Unmarshal(*rpcErr.Data, &refusal) == nil && refusal.Code != "" {
		return &refusal
	}
	return errors.Mark(errors.Newf("peer error %d: %s", rpcErr.Code, rpcErr.Message), connector.ErrUnknown)
}
