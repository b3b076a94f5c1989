// Package carrier spreads the calls of workers over hosts. The holder of a cell
// decides; hosts that offered themselves make the calls and tell the answers, both in
// batches. A Pool is the holder's side and implements connector.Runner; a Host is the
// side of those that make the calls.
//
// Nothing about safety rests on a host's good timing: every order carries the epoch
// and, if it begins or prolongs work, a time of the worker's clock, by which the
// worker refuses a late one. A host drops orders that are older than their timeouts,
// so that one which was suspended acts on none of them.
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
	// silence is after how long without a message a host is not given calls any more:
	// three beats.
	silence = 1300 * time.Millisecond
	// sweepPeriod is how often silent hosts are looked for.
	sweepPeriod = 200 * time.Millisecond
	// expirePeriod is how often calls without an answer are looked for: by so much they may
	// end late.
	expirePeriod = 20 * time.Millisecond
	// gatherTime is how long a new holder waits for hosts before it calls workers by
	// itself although they are more than it can carry.
	gatherTime = time.Second
	// gatherPause is the time between two looks for one meanwhile.
	gatherPause = 20 * time.Millisecond
)

// errHostGone marks a call whose host was lost before it told the answer.
var errHostGone = errors.Mark(errors.New("the host that calls the worker is gone"), connector.ErrUnknown)

// errNoHost marks a call whose host was lost before it got the order.
var errNoHost = errors.Mark(errors.New("the host that calls the worker is gone already"), connector.ErrNotSent)

// Pool makes the calls of a holder through the hosts that offered themselves, or by
// itself while its workers are few. Its methods are safe for concurrent use.
type Pool struct {
	own    connector.Runner
	direct int
	logger *zap.Logger
	uptime func() time.Duration
	packed bool
	clocks func() map[identifier.Cell]renewer.ClockReading

	mu       sync.Mutex
	open     bool
	openedAt time.Time
	workers  map[identifier.Worker]connector.WorkerEntry
	assigner *assigner[messenger.Peer]
	sessions map[messenger.Peer]*session
}

// PoolOption changes a new pool.
type PoolOption func(*Pool)

// WithCompression sets whether orders and answers travel compressed, which takes some of the
// processor, and memory for each host, and less of the link.
func WithCompression(packed bool) PoolOption { return func(p *Pool) { p.packed = packed } }

// WithCellClocks sets what is asked for the clocks of the cells that this host holds, which the
// hosts are told.
func WithCellClocks(clocks func() map[identifier.Cell]renewer.ClockReading) PoolOption {
	return func(p *Pool) { p.clocks = clocks }
}

// NewPool returns a pool that makes calls by own while the workers are at most direct.
func NewPool(own connector.Runner, direct int, log *zap.Logger, opts ...PoolOption) *Pool {
	p := &Pool{
		own: own, direct: direct, logger: log, uptime: uptimer.SinceBoot,
		clocks:   func() map[identifier.Cell]renewer.ClockReading { return nil },
		assigner: newAssigner[messenger.Peer](), sessions: map[messenger.Peer]*session{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Open makes the pool accept offers, since this host holds a cell now.
func (p *Pool) Open() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		p.open, p.openedAt = true, time.Now()
	}
}

// Close sends all hosts away, since this host holds no cell any more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.open = false
	sessions := p.sessions
	p.sessions = map[messenger.Peer]*session{}
	p.assigner = newAssigner[messenger.Peer]()
	p.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
}

// SetWorkers tells which workers there are.
func (p *Pool) SetWorkers(workers map[identifier.Worker]connector.WorkerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = workers
	p.assigner.forget(func(id identifier.Worker) bool {
		_, ok := workers[id]
		return ok
	})
}

// Loads returns how many workers each host calls.
func (p *Pool) Loads() map[identifier.Entry]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assigner.loads()
}

// Run lets silent hosts go and ends calls that are late, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.letSilentGo(ctx) })
	g.Go(func() error { return p.expireLate(ctx) })
	return g.Wait()
}

// expireLate ends calls without an answer when their callers leave.
func (p *Pool) expireLate(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Pause(ctx, expirePeriod)
		p.mu.Lock()
		sessions := slices.Collect(maps.Values(p.sessions))
		p.mu.Unlock()
		now := time.Now()
		for _, s := range sessions {
			s.expire(now)
		}
	}
	return nil
}

func (p *Pool) letSilentGo(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		sleeper.Pause(ctx, sweepPeriod)
		for _, s := range p.silent(time.Since(began)) {
			p.logger.Warn("host that calls workers is silent", zap.String("host", string(s.offer.Name)))
			s.close()
		}
	}
	p.Close()
	return nil
}

// silent returns the hosts that have sent nothing for too long. Paused is how long the
// pause before took: what is beyond sweepPeriod this process did not run itself, and
// may not have read what was sent to it.
func (p *Pool) silent(paused time.Duration) []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*session
	for _, s := range p.sessions {
		if missed := paused - sweepPeriod; missed > sweepPeriod {
			s.excuse(missed)
		}
		if s.silentFor() > silence {
			out = append(out, s)
		}
	}
	return out
}

// Handle answers the messages of hosts; ok is false for a message of another kind.
func (p *Pool) Handle(ctx context.Context, method messenger.Method, params json.RawMessage) (out any, ok bool, err error) {
	switch method {
	case messenger.MethodOffer:
		taken, err := p.offered(ctx, params)
		return taken, true, err
	case messenger.MethodAnswers:
		taken, err := p.answered(ctx, params)
		return taken, true, err
	default:
		return nil, false, nil
	}
}

func (p *Pool) offered(ctx context.Context, params json.RawMessage) (offerTaken, error) {
	var o offerCall
	if err := json.Unmarshal(params, &o); err != nil || o.Name == "" || o.MaxWorkers <= 0 {
		return offerTaken{}, refuser.New(refuser.CodeInvalid, "malformed offer %q: %v", params, err)
	}
	peer, ok := messenger.PeerFromContext(ctx)
	if !ok {
		return offerTaken{}, refuser.New(refuser.CodeInvalid, "an offer needs a connection")
	}
	s := newSession(peer, o.Offer, p.uptime, p.gap)
	if !p.admit(peer, s) {
		return offerTaken{}, refuser.New(refuser.CodeUnavailable, "this host holds no cell")
	}
	p.logger.Info("host offers to call workers", zap.String("host", string(o.Name)), zap.String("hostDataCentre", string(o.DataCentre)), zap.Int("workers", o.MaxWorkers))
	packed := p.packed && o.Packs
	if packed {
		peer.CompressBatches()
	}
	go func() {
		err := s.run(context.Background())
		p.dismiss(peer, s)
		p.logger.Info("host does not call workers any more", zap.String("host", string(o.Name)), logger.Err(err))
	}()
	return offerTaken{Packed: packed}, nil
}

func (p *Pool) admit(peer messenger.Peer, s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return false
	}
	p.sessions[peer] = s
	p.assigner.add(peer, s.offer)
	return true
}

func (p *Pool) dismiss(peer messenger.Peer, s *session) {
	p.mu.Lock()
	if p.sessions[peer] == s {
		delete(p.sessions, peer)
		p.assigner.remove(peer)
	}
	p.mu.Unlock()
	s.close()
}

// Receive takes the answers that a host sends as a batch.
func (p *Pool) Receive(from messenger.Peer, method messenger.Method, content []byte) {
	s, ok := p.session(from)
	if !ok || method != messenger.MethodAnswers {
		p.logger.Warn("batch is dropped, no offer was made over its connection", zap.String("method", string(method)))
		return
	}
	in, err := decode[message[[]reply]](content)
	if err != nil {
		p.logger.Error("answers cannot be read", zap.String("host", string(s.offer.Name)), logger.Err(err))
		return
	}
	s.receive(in.Content)
}

// session returns the host at the other end of a connection.
func (p *Pool) session(peer messenger.Peer) (s *session, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok = p.sessions[peer]
	return s, ok
}

// answered takes a host's beat.
func (p *Pool) answered(ctx context.Context, params json.RawMessage) (beatTaken, error) {
	peer, _ := messenger.PeerFromContext(ctx)
	s, ok := p.session(peer)
	if !ok {
		return beatTaken{}, refuser.New(refuser.CodeConflict, "no offer was made over this connection")
	}
	var in beat
	if err := json.Unmarshal(params, &in); err != nil {
		return beatTaken{}, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	replies, err := decode[[]reply](in.Content)
	if err != nil {
		p.logger.Error("answers cannot be read", zap.String("host", string(s.offer.Name)), logger.Err(err))
		return beatTaken{}, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	s.receive(replies)
	return beatTaken{Clocks: p.clocks()}, nil
}

// gap returns the least time between two messages of a host.
func (p *Pool) gap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return gapOf(p.assigner.used())
}

// sessionOf returns the host that calls a worker, or nil if this host does itself.
func (p *Pool) sessionOf(id identifier.Worker) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.workers) <= p.direct {
		return nil
	}
	peer, ok := p.assigner.hostOf(id, p.workers[id].DataCentre, time.Now())
	if !ok {
		return nil
	}
	return p.sessions[peer]
}

// gathering reports whether hosts may still come that this one needs.
func (p *Pool) gathering() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open && len(p.workers) > p.direct && len(p.sessions) == 0 && time.Since(p.openedAt) < gatherTime
}

// carry makes a call through a host; ok is false if this host is to make it itself.
func (p *Pool) carry(ctx context.Context, to connector.WorkerTarget, o order, spec string) (r reply, ok bool, err error) {
	s := p.sessionOf(to.ID)
	for s == nil && p.gathering() && ctx.Err() == nil {
		sleeper.Pause(ctx, gatherPause)
		s = p.sessionOf(to.ID)
	}
	switch {
	case s == nil && ctx.Err() != nil:
		return reply{}, true, errors.Mark(errors.Wrap(ctx.Err(), "waiting for hosts that call workers"), connector.ErrNotSent)
	case s == nil:
		return reply{}, false, nil
	}
	o.Worker, o.Address = to.ID, to.Address
	r, err = s.do(ctx, o, spec)
	r, err = p.judge(s, to.ID, r, err)
	return r, true, err
}

// judge completes what came of a call through a host, and notes if that host did not reach
// the worker.
func (p *Pool) judge(s *session, worker identifier.Worker, r reply, err error) (reply, error) {
	r.through = s.offer.Name
	if err == nil {
		err = r.err()
	}
	if err != nil {
		p.mu.Lock()
		p.assigner.unreachable(worker, s.peer, time.Now())
		p.mu.Unlock()
	}
	return r, err
}

// begin makes a call through a host without waiting; done is told what came of it unless
// ok is false.
func (p *Pool) begin(ctx context.Context, to connector.WorkerTarget, o order, spec string, done func(reply, error)) (ok bool) {
	s := p.sessionOf(to.ID)
	if s == nil {
		return false
	}
	leave := time.Now().Add(o.Timeout)
	o.Worker, o.Address = to.ID, to.Address
	_, ok = s.begin(specifiedOrder{o, spec, leave, ctx}, call{
		done:  func(r reply, err error) { done(p.judge(s, to.ID, r, err)) },
		leave: leave,
	})
	return ok
}

func startOf(o connector.RunOrder) order {
	return order{Kind: orderStart, Run: nameOf(o.Run), Epoch: o.Epoch, LeaseUntil: &o.LeaseUntil, Checkpoint: o.Checkpoint, Ticket: o.Ticket}
}

func stopOf(run connector.RunID, epoch identifier.Epoch) order {
	return order{Kind: orderStop, Run: nameOf(run), Epoch: epoch}
}

func paceOf(run connector.RunID, percent int, epoch identifier.Epoch) order {
	return order{Kind: orderPace, Run: nameOf(run), Percent: percent, Epoch: epoch}
}

func holdOf(o connector.HoldOrder) order {
	return order{Kind: orderHold, Epoch: o.Epoch, LeaseUntil: o.LeaseUntil, Forget: o.Forget, Wait: o.Wait}
}

// Start implements connector.Runner.
func (p *Pool) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (connector.OrderAnswer, error) {
	r, ok, err := p.carry(ctx, to, startOf(o), o.Spec)
	if !ok {
		return p.own.Start(ctx, to, o)
	}
	return r.answer(), err
}

// Stop implements connector.Runner.
func (p *Pool) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	r, ok, err := p.carry(ctx, to, stopOf(run, epoch), "")
	if !ok {
		return p.own.Stop(ctx, to, run, epoch)
	}
	return r.answer(), err
}

// SetPace implements connector.Runner.
func (p *Pool) SetPace(ctx context.Context, to connector.WorkerTarget, run connector.RunID, percent int, epoch identifier.Epoch) (connector.OrderAnswer, error) {
	r, ok, err := p.carry(ctx, to, paceOf(run, percent, epoch), "")
	if !ok {
		return p.own.SetPace(ctx, to, run, percent, epoch)
	}
	return r.answer(), err
}

// Hold implements connector.Runner.
func (p *Pool) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (connector.HoldAnswer, error) {
	r, ok, err := p.carry(ctx, to, holdOf(o), "")
	if !ok {
		return p.own.Hold(ctx, to, o)
	}
	return r.hold(), err
}

// StartAsync implements connector.Beginner.
func (p *Pool) StartAsync(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder, timeout time.Duration, done func(connector.OrderAnswer, error)) bool {
	order := startOf(o)
	order.Timeout = timeout
	return p.begin(ctx, to, order, o.Spec, func(r reply, err error) { done(r.answer(), err) })
}

// HoldAsync implements connector.Beginner.
func (p *Pool) HoldAsync(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder, timeout time.Duration, done func(connector.HoldAnswer, error)) bool {
	order := holdOf(o)
	order.Timeout = timeout
	return p.begin(ctx, to, order, "", func(r reply, err error) { done(r.hold(), err) })
}
