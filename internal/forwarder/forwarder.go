// Package forwarder sends a caller's request to a minion, directly or through another entry host,
// and returns the answer. After a failure it decides whether the request may be sent again.
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
	// maxSends bounds how often one request is sent, not counting sends that were answered busy.
	maxSends = 4
	// maxBusyAnswers bounds how often one request is sent to minions that turn out to have no free
	// slot. Between two sends it waits as it does when all slots are known to be taken.
	maxBusyAnswers = 16
	// recheckDelay is how long a request waits before it looks for a free slot again.
	recheckDelay = 5 * time.Millisecond
	// hopMargin is the part of the remaining time that is reserved for returning a peer's answer.
	hopMargin = 5 * time.Millisecond
)

// Request is a caller's request as one entry host forwards it to another.
type Request struct {
	ID          identifier.Request `json:"id"`
	Service     identifier.Service `json:"service"`
	Idempotent  bool               `json:"idempotent"`
	RemainingMs int64              `json:"remainingMs"`
	Body        []byte             `json:"body"`
}

// Answer is a minion's answer as one entry host returns it to another.
type Answer struct {
	Status int               `json:"status"`
	Body   []byte            `json:"body"`
	Minion identifier.Minion `json:"minion"`
	Sends  int               `json:"sends"`
}

// PeerCaller forwards a request to another entry host, which sends it only to minions that it owns
// itself. The error is a *refuser.Refusal or marked connector.ErrNotSent or connector.ErrUnknown.
type PeerCaller func(ctx context.Context, entry identifier.Entry, req Request) (Answer, error)

// Forwarder executes requests. Its methods are safe for concurrent use.
type Forwarder struct {
	router           *router.Router
	dial             connector.MinionDialer
	callPeer         PeerCaller
	connectionShares int
	logger           *zap.Logger
	budget           limiter.RetryBudget

	mu    sync.Mutex
	pools map[identifier.Minion]*pool
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Forwarder) { f.logger = l } }

// WithConnectionShares sets the number of entry hosts among which the connections of each minion
// are divided.
func WithConnectionShares(n int) Option { return func(f *Forwarder) { f.connectionShares = n } }

// DefaultConnectionShares is the number of entry hosts in the largest installation of a customer.
const DefaultConnectionShares = 8

// New returns a forwarder that sends requests to the minions that r chooses, over connections
// opened by dial, and to other entry hosts by callPeer.
func New(r *router.Router, dial connector.MinionDialer, callPeer PeerCaller, opts ...Option) *Forwarder {
	f := &Forwarder{
		router: r, dial: dial, callPeer: callPeer,
		connectionShares: DefaultConnectionShares,
		logger:           zap.NewNop(),
		pools:            map[identifier.Minion]*pool{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// execution is the state of one request over all its attempts.
type execution struct {
	f             *Forwarder
	req           Request
	localOnly     bool
	tried         *router.Exclusions
	sends         int
	busyAnswers   int
	effectUnknown bool
	lastErr       error
}

// Do sends a request, repeatedly if need be, until it is answered or refused or ctx ends. With
// localOnly set, it is not forwarded to other entry hosts. The error is a *refuser.Refusal.
func (f *Forwarder) Do(ctx context.Context, req Request, localOnly bool) (Answer, error) {
	f.budget.Deposit()
	e := &execution{f: f, req: req, localOnly: localOnly, tried: router.NewExclusions()}
	for {
		answer, done, err := e.step(ctx)
		if done {
			answer.Sends += e.sends
			return answer, err
		}
	}
}

// step makes one attempt or wait. It reports whether the request has ended.
func (e *execution) step(ctx context.Context) (Answer, bool, error) {
	if ctx.Err() != nil {
		return Answer{}, true, e.refusal(refuser.CodeDeadline, "deadline passed")
	}
	switch c := e.f.router.Choose(e.req.Service, e.tried, e.localOnly).(type) {
	case router.Local:
		return e.sendLocal(ctx, c)
	case router.Forward:
		return e.forwardToPeer(ctx, c)
	case router.None:
		return Answer{}, true, e.refusal(refuser.CodeUnavailable, c.Reason)
	default:
		return e.wait(ctx)
	}
}

// wait blocks until a slot may be free. A request forwarded by another entry host is refused at
// once, since that host can choose among the minions of all hosts.
func (e *execution) wait(ctx context.Context) (Answer, bool, error) {
	if e.localOnly {
		return Answer{}, true, e.refusal(refuser.CodeOverloaded, "all slots are taken")
	}
	clear(e.tried.Entries)
	select {
	case <-e.f.router.SlotFreed(e.req.Service):
		return Answer{}, false, nil
	case <-time.After(recheckDelay):
		return Answer{}, false, nil
	case <-ctx.Done():
		return Answer{}, true, e.refusal(refuser.CodeOverloaded, "no slot became free before the deadline")
	}
}

// sendLocal sends the request to a minion that this host owns. A minion that answers busy stays a
// candidate for further attempts, up to maxBusyAnswers; after other failures it is not tried again.
func (e *execution) sendLocal(ctx context.Context, c router.Local) (Answer, bool, error) {
	e.sends++
	answer, err := e.f.send(ctx, c.Host, e.req)
	c.Done(resultOf(answer, err))
	if err == nil {
		return Answer{Status: answer.Status, Body: answer.Body, Minion: c.Host.ID}, true, nil
	}
	if errors.Is(err, connector.ErrRefused) && !answer.Leaving && e.busyAnswers < maxBusyAnswers {
		e.busyAnswers++
		e.lastErr = err
		return Answer{}, false, nil
	}
	e.tried.Minions[c.Host.ID] = true
	return e.retryOrRefuse(err)
}

// forwardToPeer sends the request to another entry host, which is not tried again if that fails. A
// refusal that says the request was not executed does not use up the retry budget.
func (e *execution) forwardToPeer(ctx context.Context, c router.Forward) (Answer, bool, error) {
	req := e.req
	req.RemainingMs = max(remaining(ctx)-hopMargin, time.Millisecond).Milliseconds()
	answer, err := e.f.callPeer(ctx, c.Entry, req)
	if err == nil {
		return answer, true, nil
	}
	e.tried.Entries[c.Entry] = true
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && refusal.Effect == refuser.NotRun {
		e.lastErr = err
		return Answer{}, false, nil
	}
	return e.retryOrRefuse(err)
}

// retryOrRefuse decides after a failure whether the request is sent again: it must be idempotent or
// known not to have been executed, and the send limit and the retry budget must allow it.
func (e *execution) retryOrRefuse(err error) (Answer, bool, error) {
	e.lastErr = err
	notRun := errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrRefused)
	e.effectUnknown = e.effectUnknown || !notRun
	repeatable := notRun || e.req.Idempotent
	if repeatable && e.sends-e.busyAnswers < maxSends && e.f.budget.TryWithdraw() {
		return Answer{}, false, nil
	}
	return Answer{}, true, e.refusal(refuser.CodeUnavailable, "the request failed")
}

// refusal returns a refusal with the last error of the request. Its effect is unknown if any
// attempt may have been executed.
func (e *execution) refusal(code refuser.Code, message string) error {
	r := refuser.New(code, "%s", message)
	if e.lastErr != nil {
		r.Message += ": " + e.lastErr.Error()
	}
	if e.effectUnknown {
		r.Effect = refuser.Unknown
	}
	r.ID = string(e.req.ID)
	return r
}

// send sends a request to a minion over a pooled connection and returns the answer.
func (f *Forwarder) send(ctx context.Context, host connector.MinionHost, req Request) (connector.MinionAnswer, error) {
	p := f.poolFor(host)
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

// poolFor returns the connection pool of a minion. If the address of the minion has changed, it
// starts a new pool and closes the idle connections of the old one.
func (f *Forwarder) poolFor(host connector.MinionHost) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[host.ID]
	if ok && p.address != host.Address {
		p.closeIdle(0)
	}
	if !ok || p.address != host.Address {
		p = &pool{dial: f.dial, address: host.Address, limit: max(host.Connections/f.connectionShares, 1)}
		f.pools[host.ID] = p
	}
	return p
}

// CloseIdle closes the connections that have been unused for idleTimeout. It is to be called
// regularly.
func (f *Forwarder) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.closeIdle(idleTimeout)
	}
}

// resultOf returns how the exchange with a minion ended, as the router records it.
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

// remaining returns the time until the deadline of ctx, or a minute if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Minute
	}
	return max(time.Until(deadline), 0)
}
