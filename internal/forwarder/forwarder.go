// Package forwarder carries a caller's request to a minion and the answer back.
// It decides after every failure whether the request may be sent again.
package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/internal/router"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// maxSends bounds how often one request is sent.
	maxSends = 4
	// maxBusy bounds how often one request meets minions without a free slot; it
	// waits in between as it does when all slots are known to be taken.
	maxBusy = 16
	// recheck is the wait before a full service is looked at again.
	recheck = 5 * time.Millisecond
	// hopAllowance is kept back from the deadline for the answer's way back.
	hopAllowance = 5 * time.Millisecond
)

// Request is a caller's request between entry hosts.
type Request struct {
	ID          identifier.Request `json:"id"`
	Service     identifier.Service `json:"service"`
	Idempotent  bool               `json:"idempotent"`
	RemainingMs int64              `json:"remainingMs"`
	Body        []byte             `json:"body"`
}

// Answer is a minion's answer between entry hosts.
type Answer struct {
	Status int               `json:"status"`
	Body   []byte            `json:"body"`
	Minion identifier.Minion `json:"minion"`
	Sends  int               `json:"sends"`
}

// PeerCaller sends a request to another entry host, which tries its own minions
// only. The error is a *refuser.Refusal or marked connector.ErrNotSent or
// connector.ErrUnknown.
type PeerCaller func(ctx context.Context, entry identifier.Entry, req Request) (Answer, error)

// Forwarder executes requests. Its methods are safe for concurrent use.
type Forwarder struct {
	router *router.Router
	dial   connector.MinionDialer
	peers  PeerCaller
	shares int
	logger *zap.Logger
	budget limiter.RetryBudget

	mu    sync.Mutex
	pools map[identifier.Minion]*pool
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Forwarder) { f.logger = l } }

// WithConnectionShares sets the number of entry hosts that share a minion's
// connections.
func WithConnectionShares(n int) Option { return func(f *Forwarder) { f.shares = n } }

// DefaultConnectionShares is the largest number of entry hosts of a customer.
const DefaultConnectionShares = 8

// New returns a forwarder.
func New(r *router.Router, dial connector.MinionDialer, peers PeerCaller, opts ...Option) *Forwarder {
	f := &Forwarder{
		router: r, dial: dial, peers: peers,
		shares: DefaultConnectionShares,
		logger: zap.NewNop(),
		pools:  map[identifier.Minion]*pool{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// exchange is the state of one request on its way.
type exchange struct {
	f         *Forwarder
	req       Request
	localOnly bool
	tried     *router.Exclusions
	sends     int
	busy      int
	unknown   bool
	last      error
}

// Do executes a request before ctx ends. The error is a *refuser.Refusal.
func (f *Forwarder) Do(ctx context.Context, req Request, localOnly bool) (Answer, error) {
	f.budget.Deposit()
	e := &exchange{f: f, req: req, localOnly: localOnly, tried: router.NewExclusions()}
	for {
		answer, done, err := e.step(ctx)
		if done {
			answer.Sends += e.sends
			return answer, err
		}
	}
}

// step takes one decision. It reports whether the request has ended.
func (e *exchange) step(ctx context.Context) (Answer, bool, error) {
	if ctx.Err() != nil {
		return Answer{}, true, e.refuse(refuser.CodeDeadline, "deadline passed")
	}
	switch c := e.f.router.Choose(e.req.Service, e.tried, e.localOnly).(type) {
	case router.Local:
		return e.local(ctx, c)
	case router.Forward:
		return e.forward(ctx, c)
	case router.None:
		return Answer{}, true, e.refuse(refuser.CodeUnavailable, c.Reason)
	default:
		return e.wait(ctx)
	}
}

// wait blocks until a slot may be free. A forwarded request goes back at once:
// its first host knows of other places.
func (e *exchange) wait(ctx context.Context) (Answer, bool, error) {
	if e.localOnly {
		return Answer{}, true, e.refuse(refuser.CodeOverloaded, "all slots are taken")
	}
	clear(e.tried.Entries)
	select {
	case <-e.f.router.SlotFreed(e.req.Service):
		return Answer{}, false, nil
	case <-time.After(recheck):
		return Answer{}, false, nil
	case <-ctx.Done():
		return Answer{}, true, e.refuse(refuser.CodeOverloaded, "no slot became free before the deadline")
	}
}

func (e *exchange) local(ctx context.Context, c router.Local) (Answer, bool, error) {
	e.sends++
	answer, err := e.f.send(ctx, c.Host, e.req)
	c.Done(resultOf(answer, err))
	if err == nil {
		return Answer{Status: answer.Status, Body: answer.Body, Minion: c.Host.ID}, true, nil
	}
	if errors.Is(err, connector.ErrRefused) && !answer.Leaving && e.busy < maxBusy {
		e.busy++
		e.last = err
		return Answer{}, false, nil
	}
	e.tried.Minions[c.Host.ID] = true
	return e.failed(err)
}

func (e *exchange) forward(ctx context.Context, c router.Forward) (Answer, bool, error) {
	req := e.req
	req.RemainingMs = max(remaining(ctx)-hopAllowance, time.Millisecond).Milliseconds()
	answer, err := e.f.peers(ctx, c.Entry, req)
	if err == nil {
		return answer, true, nil
	}
	e.tried.Entries[c.Entry] = true
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && refusal.Effect == refuser.NotRun {
		e.last = err
		return Answer{}, false, nil
	}
	return e.failed(err)
}

// failed decides whether the request is sent again.
func (e *exchange) failed(err error) (Answer, bool, error) {
	e.last = err
	notRun := errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrRefused)
	e.unknown = e.unknown || !notRun
	mayRepeat := notRun || e.req.Idempotent
	if mayRepeat && e.sends-e.busy < maxSends && e.f.budget.TryWithdraw() {
		return Answer{}, false, nil
	}
	return Answer{}, true, e.refuse(refuser.CodeUnavailable, "the request failed")
}

// refuse returns the refusal that says what is known of the request's effect.
func (e *exchange) refuse(code refuser.Code, message string) error {
	r := refuser.New(code, "%s", message)
	if e.last != nil {
		r.Message += ": " + e.last.Error()
	}
	if e.unknown {
		r.Effect = refuser.Unknown
	}
	r.ID = string(e.req.ID)
	return r
}

// send carries one exchange with a minion.
func (f *Forwarder) send(ctx context.Context, host connector.MinionHost, req Request) (connector.MinionAnswer, error) {
	p := f.pool(host)
	conn, err := p.get(ctx)
	if err != nil {
		return connector.MinionAnswer{}, err
	}
	answer, err := conn.Do(ctx, connector.MinionRequest{
		ID: req.ID, Service: req.Service, Idempotent: req.Idempotent,
		Remaining: remaining(ctx), Body: req.Body,
	})
	if err != nil && !errors.Is(err, connector.ErrRefused) {
		p.discard(conn)
		return answer, err
	}
	p.put(conn)
	return answer, err
}

func (f *Forwarder) pool(host connector.MinionHost) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[host.ID]
	if ok && p.address != host.Address {
		p.closeIdle(0)
	}
	if !ok || p.address != host.Address {
		p = &pool{dial: f.dial, address: host.Address, limit: max(host.Connections/f.shares, 1)}
		f.pools[host.ID] = p
	}
	return p
}

// CloseIdle closes connections that have been unused for too long.
func (f *Forwarder) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.closeIdle(idleTimeout)
	}
}

func resultOf(answer connector.MinionAnswer, err error) router.Result {
	switch {
	case answer.Leaving:
		return router.ResultLeaving
	case errors.Is(err, connector.ErrRefused):
		return router.ResultBusy
	case err != nil || answer.Status >= http.StatusInternalServerError:
		return router.ResultFailed
	default:
		return router.ResultAnswered
	}
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Minute
	}
	return max(time.Until(deadline), 0)
}
