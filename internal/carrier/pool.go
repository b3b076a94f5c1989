// Package carrier distributes the calls to workers over hosts. The jobs are sharded into
// cells, and the holder of a cell is the host that schedules its jobs. A holder with more
// workers than it can call itself sends orders in batches to other hosts, which have offered
// to make calls for it; they call the workers and send the replies back in batches. A Pool is
// the holder's side and implements connector.Runner; a Host is the side that makes the calls.
//
// Safety does not depend on the timing of a host: every order carries the holder's epoch and,
// if it starts or prolongs a run, a lease in terms of the worker's clock, by which the worker
// rejects stale orders. A host drops orders that are older than their timeouts, so that a host
// that was suspended executes none of those that it received before.
package carrier

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/sleeper"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

const (
	// silenceTimeout is the time without a message after which a host or a holder is given up:
	// three heartbeats.
	silenceTimeout = 1300 * time.Millisecond
	// silenceCheckInterval is how often the pool checks for silent hosts.
	silenceCheckInterval = 200 * time.Millisecond
	// expiryCheckInterval is how often the pool checks for expired calls, and the time by which
	// an expired call may end late.
	expiryCheckInterval = 20 * time.Millisecond
	// hostWaitTimeout is how long a new holder with more workers than it can call itself waits
	// for hosts before it calls them itself nevertheless.
	hostWaitTimeout = time.Second
	// hostWaitInterval is how often it checks for hosts while it waits.
	hostWaitInterval = 20 * time.Millisecond
)

// errHostDisconnected is the error of a call whose host disconnected before it replied.
var errHostDisconnected = errors.Mark(errors.New("the host that calls the worker is gone"), connector.ErrUnknown)

// errSessionClosed is the error of a call whose host disconnected before the order was queued.
var errSessionClosed = errors.Mark(errors.New("the host that calls the worker has disconnected"), connector.ErrNotSent)

// Pool makes the calls of a holder to workers: directly while there are few workers, otherwise
// through the hosts that have offered to call them. Its methods are safe for concurrent use.
type Pool struct {
	// localRunner makes the calls that do not go through a host.
	localRunner connector.Runner
	// maxDirectWorkers is the number of workers up to which the holder calls them itself.
	maxDirectWorkers int
	logger           *zap.Logger
	uptime           func() time.Duration
	compress         bool
	cellClocks       func() map[identifier.Cell]renewer.ClockReading
	versions         configVersions
	outlooks         func() map[identifier.Cell]admitter.Outlook

	mu       sync.Mutex
	open     bool
	openedAt time.Time
	// workers are all workers in the directory.
	workers  map[identifier.Worker]connector.WorkerEntry
	assigner *assigner[messenger.Peer]
	sessions map[messenger.Peer]*hostSession
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithCompression sets whether batches are compressed. This saves bandwidth at the cost of
// processor time, and of memory for each connection.
func WithCompression(enabled bool) PoolOption { return func(p *Pool) { p.compress = enabled } }

// WithCellClocks sets a function that returns the clock readings of the cells held here, which
// heartbeat responses pass on to the hosts.
func WithCellClocks(clocks func() map[identifier.Cell]renewer.ClockReading) PoolOption {
	return func(p *Pool) { p.cellClocks = clocks }
}

// WithOutlooks sets a function that returns the outlooks of the cells held here, which heartbeat
// responses pass on to the hosts.
func WithOutlooks(outlooks func() map[identifier.Cell]admitter.Outlook) PoolOption {
	return func(p *Pool) { p.outlooks = outlooks }
}

// WithConfigVersions sets a function that returns the newest version of the configuration that this
// host knows of, which heartbeat responses pass on, and one that receives those of the hosts.
func WithConfigVersions(known func() identifier.ConfigVersion, observe func(identifier.ConfigVersion)) PoolOption {
	return func(p *Pool) { p.versions = configVersions{known, observe} }
}

// NewPool returns a closed pool. It makes calls with localRunner while there are at most
// maxDirectWorkers workers, or no hosts.
func NewPool(localRunner connector.Runner, maxDirectWorkers int, log *zap.Logger, opts ...PoolOption) *Pool {
	p := &Pool{
		localRunner: localRunner, maxDirectWorkers: maxDirectWorkers, logger: log, uptime: uptimer.SinceBoot,
		cellClocks: func() map[identifier.Cell]renewer.ClockReading { return nil }, versions: noConfigVersions(),
		outlooks: func() map[identifier.Cell]admitter.Outlook { return nil },
		assigner: newAssigner[messenger.Peer](), sessions: map[messenger.Peer]*hostSession{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Open makes the pool accept offers; it is called when this host holds a cell.
func (p *Pool) Open() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		p.open, p.openedAt = true, time.Now()
	}
}

// Close disconnects all hosts and makes the pool refuse offers; it is called when this host no
// longer holds a cell.
func (p *Pool) Close() {
	p.mu.Lock()
	p.open = false
	sessions := p.sessions
	p.sessions = map[messenger.Peer]*hostSession{}
	p.assigner = newAssigner[messenger.Peer]()
	p.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
}

// SetWorkers replaces the workers that may be called.
func (p *Pool) SetWorkers(workers map[identifier.Worker]connector.WorkerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = workers
	p.assigner.retainWorkers(func(id identifier.Worker) bool {
		_, ok := workers[id]
		return ok
	})
}

// Loads returns the number of workers assigned to each host.
func (p *Pool) Loads() map[identifier.Entry]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assigner.loads()
}

// Run disconnects silent hosts and fails expired calls until ctx ends, then closes the pool.
func (p *Pool) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.dropSilentHosts(ctx) })
	g.Go(func() error { return p.expireCalls(ctx) })
	return g.Wait()
}

// expireCalls fails calls without an answer once their deadlines have passed, until ctx ends.
func (p *Pool) expireCalls(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Pause(ctx, expiryCheckInterval)
		p.mu.Lock()
		sessions := slices.Collect(maps.Values(p.sessions))
		p.mu.Unlock()
		now := time.Now()
		for _, s := range sessions {
			s.expireCalls(now)
		}
	}
	return nil
}

// dropSilentHosts disconnects silent hosts until ctx ends, then closes the pool.
func (p *Pool) dropSilentHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		sleeper.Pause(ctx, silenceCheckInterval)
		for _, s := range p.silentSessions(time.Since(began)) {
			p.logger.Warn("host that calls workers is silent", zap.String("host", string(s.offer.Name)))
			p.removeSession(s)
		}
	}
	p.Close()
	return nil
}

// silentSessions returns the sessions of hosts that have sent nothing for silenceTimeout.
// Paused is how long the wait before this check took. If it took much longer than
// silenceCheckInterval, this process was not running and may not have read what hosts sent, so
// the excess does not count as silence.
func (p *Pool) silentSessions(paused time.Duration) []*hostSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*hostSession
	for _, s := range p.sessions {
		if missed := paused - silenceCheckInterval; missed > silenceCheckInterval {
			s.discountPause(missed)
		}
		if s.silentFor() > silenceTimeout {
			out = append(out, s)
		}
	}
	return out
}

// Handle answers the offers and heartbeats of hosts; ok is false for any other method.
func (p *Pool) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (out any, ok bool, err error) {
	switch method {
	case messenger.MethodOffer:
		resp, err := p.handleOffer(ctx, params)
		return resp, true, err
	case messenger.MethodAnswers:
		resp, err := p.handleHeartbeat(ctx, params)
		return resp, true, err
	default:
		return nil, false, nil
	}
}

// handleOffer accepts an offer if the pool is open, and starts sending orders to the host.
func (p *Pool) handleOffer(ctx context.Context, params json.RawMessage) (offerResponse, error) {
	var o offerRequest
	if err := json.Unmarshal(params, &o); err != nil || o.Name == "" || o.MaxWorkers <= 0 {
		return offerResponse{}, refuser.New(refuser.CodeInvalid, "malformed offer %q: %v", params, err)
	}
	peer, ok := messenger.PeerFromContext(ctx)
	if !ok {
		return offerResponse{}, refuser.New(refuser.CodeInvalid, "an offer needs a connection")
	}
	s := newHostSession(peer, o.Offer, p.uptime, p.sendInterval)
	if !p.addSession(peer, s) {
		return offerResponse{}, refuser.New(refuser.CodeUnavailable, "this host holds no cell")
	}
	p.logger.Info("host offers to call workers", zap.String("host", string(o.Name)), zap.String("hostDataCentre", string(o.DataCentre)), zap.Int("workers", o.MaxWorkers))
	compress := p.compress && o.SupportsCompression
	if compress {
		peer.CompressBatches()
	}
	go func() {
		err := s.run(context.Background())
		p.removeSession(s)
		p.logger.Info("host does not call workers any more", zap.String("host", string(o.Name)), logger.Err(err))
	}()
	return offerResponse{Compress: compress}, nil
}

// addSession adds a host's session; it returns false if the pool is closed.
func (p *Pool) addSession(peer messenger.Peer, s *hostSession) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return false
	}
	p.sessions[peer] = s
	p.assigner.addHost(peer, s.offer)
	return true
}

// removeSession reassigns the workers of a session when they are next called, and closes it. No call
// is given to a session that is closed.
func (p *Pool) removeSession(s *hostSession) {
	p.mu.Lock()
	if p.sessions[s.peer] == s {
		delete(p.sessions, s.peer)
		p.assigner.removeHost(s.peer)
	}
	p.mu.Unlock()
	s.close()
}

// Receive handles a batch of replies from a host; it is a messenger.BatchHandler.
func (p *Pool) Receive(from messenger.Peer, method messenger.Method, content []byte) {
	s, ok := p.session(from)
	if !ok || method != messenger.MethodAnswers {
		p.logger.Warn("dropped batch: unknown method or no offer on its connection", zap.String("method", string(method)))
		return
	}
	in, err := decode[batch[[]reply]](content)
	if err != nil {
		p.logger.Error("cannot decode replies", zap.String("host", string(s.offer.Name)), logger.Err(err))
		return
	}
	s.receiveReplies(in.Content)
}

// session returns the session of the host at the other end of a connection.
func (p *Pool) session(peer messenger.Peer) (s *hostSession, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok = p.sessions[peer]
	return s, ok
}

// handleHeartbeat handles a host's heartbeat and the replies in it.
func (p *Pool) handleHeartbeat(ctx context.Context, params json.RawMessage) (heartbeatResponse, error) {
	peer, _ := messenger.PeerFromContext(ctx)
	s, ok := p.session(peer)
	if !ok {
		return heartbeatResponse{}, refuser.New(refuser.CodeConflict, "no offer was made over this connection")
	}
	var in heartbeat
	if err := json.Unmarshal(params, &in); err != nil {
		return heartbeatResponse{}, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	replies, err := decode[[]reply](in.Content)
	if err != nil {
		p.logger.Error("cannot decode replies", zap.String("host", string(s.offer.Name)), logger.Err(err))
		return heartbeatResponse{}, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	s.receiveReplies(replies)
	p.versions.observe(in.ConfigVersion)
	return heartbeatResponse{Clocks: p.cellClocks(), ConfigVersion: p.versions.known(), Outlooks: p.outlooks()}, nil
}

// sendInterval returns the minimum time between two batches from or to a host.
func (p *Pool) sendInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sendIntervalFor(p.assigner.activeHosts())
}

// assignedSession returns the session of the host that calls a worker, or nil if there are no
// hosts or few enough workers to call them directly.
func (p *Pool) assignedSession(id identifier.Worker) *hostSession {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.workers) <= p.maxDirectWorkers {
		return nil
	}
	peer, ok := p.assigner.assign(id, p.workers[id].DataCentre, time.Now())
	if !ok {
		return nil
	}
	return p.sessions[peer]
}

// awaitingHosts reports whether the pool needs hosts, has none, and has been open for less than
// hostWaitTimeout.
func (p *Pool) awaitingHosts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open && len(p.workers) > p.maxDirectWorkers && len(p.sessions) == 0 && time.Since(p.openedAt) < hostWaitTimeout
}

// callViaHost makes a call through a host and waits for the reply; ok is false if the caller
// must make the call directly.
func (p *Pool) callViaHost(ctx context.Context, to connector.WorkerTarget, o order, spec string) (r reply, ok bool, err error) {
	s := p.assignedSession(to.ID)
	for s == nil && p.awaitingHosts() && ctx.Err() == nil {
		sleeper.Pause(ctx, hostWaitInterval)
		s = p.assignedSession(to.ID)
	}
	switch {
	case s == nil && ctx.Err() != nil:
		return reply{}, true, errors.Mark(errors.Wrap(ctx.Err(), "wait for hosts that call workers"), connector.ErrNotSent)
	case s == nil:
		return reply{}, false, nil
	}
	o.Worker, o.Address = to.ID, to.Address
	r, err = s.do(ctx, o, spec)
	r, err = p.recordOutcome(s, to.ID, r, err)
	return r, true, err
}

// recordOutcome adds the host to the reply, turns a failure in the reply into an error, and
// marks the worker as unreachable from that host if there is an error.
func (p *Pool) recordOutcome(s *hostSession, worker identifier.Worker, r reply, err error) (reply, error) {
	r.via = s.offer.Name
	if err == nil {
		err = r.err()
	}
	if err != nil {
		p.mu.Lock()
		p.assigner.markUnreachable(worker, s.peer, time.Now())
		p.mu.Unlock()
	}
	return r, err
}

// beginViaHost begins a call through a host and returns at once; done is called with the
// outcome unless ok is false.
func (p *Pool) beginViaHost(ctx context.Context, to connector.WorkerTarget, o order, spec string, done func(reply, error)) (ok bool) {
	s := p.assignedSession(to.ID)
	if s == nil {
		return false
	}
	deadline := time.Now().Add(o.Timeout)
	o.Worker, o.Address = to.ID, to.Address
	_, ok = s.submit(queuedOrder{o, spec, deadline, ctx}, pendingCall{
		done:     func(r reply, err error) { done(p.recordOutcome(s, to.ID, r, err)) },
		deadline: deadline,
	})
	return ok
}

func startOrder(o connector.RunOrder) order {
	return order{Kind: orderStart, Run: newRunID(o.Run), Epoch: o.Epoch, LeaseUntil: &o.LeaseUntil, Checkpoint: o.Checkpoint, Ticket: o.Ticket}
}

func stopOrder(run connector.RunID, epoch identifier.Epoch) order {
	return order{Kind: orderStop, Run: newRunID(run), Epoch: epoch}
}

func paceOrder(run connector.RunID, percent int, epoch identifier.Epoch) order {
	return order{Kind: orderPace, Run: newRunID(run), Percent: percent, Epoch: epoch}
}

func pollOrder(o connector.HoldOrder) order {
	return order{Kind: orderPoll, Epoch: o.Epoch, LeaseUntil: o.LeaseUntil, Forget: o.Forget, Wait: o.Wait}
}

// Start implements connector.Runner.
func (p *Pool) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	r, ok, err := p.callViaHost(ctx, to, startOrder(o), o.Spec)
	if !ok {
		return p.localRunner.Start(ctx, to, o)
	}
	return r.orderAnswer(), err
}

// Stop implements connector.Runner.
func (p *Pool) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	r, ok, err := p.callViaHost(ctx, to, stopOrder(run, epoch), "")
	if !ok {
		return p.localRunner.Stop(ctx, to, run, epoch)
	}
	return r.orderAnswer(), err
}

// SetPace implements connector.Runner.
func (p *Pool) SetPace(ctx context.Context, to connector.WorkerTarget, run connector.RunID, percent int, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	r, ok, err := p.callViaHost(ctx, to, paceOrder(run, percent, epoch), "")
	if !ok {
		return p.localRunner.SetPace(ctx, to, run, percent, epoch)
	}
	return r.orderAnswer(), err
}

// Hold implements connector.Runner.
func (p *Pool) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	r, ok, err := p.callViaHost(ctx, to, pollOrder(o), "")
	if !ok {
		return p.localRunner.Hold(ctx, to, o)
	}
	return r.pollAnswer(), err
}

// StartAsync implements connector.AsyncRunner.
func (p *Pool) StartAsync(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder, timeout time.Duration, done func(connector.OrderAnswer, error)) bool {
	order := startOrder(o)
	order.Timeout = timeout
	return p.beginViaHost(ctx, to, order, o.Spec, func(r reply, err error) { done(r.orderAnswer(), err) })
}

// HoldAsync implements connector.AsyncRunner.
func (p *Pool) HoldAsync(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder, timeout time.Duration, done func(connector.HoldAnswer, error)) bool {
	order := pollOrder(o)
	order.Timeout = timeout
	return p.beginViaHost(ctx, to, order, "", func(r reply, err error) { done(r.pollAnswer(), err) })
}
