package carrier

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
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
	// heartbeatInterval is how often a host sends a heartbeat to each holder.
	heartbeatInterval = 400 * time.Millisecond
	// offerTimeout bounds connecting to a holder and the offer to it.
	offerTimeout = 600 * time.Millisecond
	// offerRetryDelay is how often a host looks for holders that have no offer from it.
	offerRetryDelay = 250 * time.Millisecond
	// maxConcurrentCalls bounds the calls to workers in flight; it is many times what the
	// workers that a host offers to call need.
	maxConcurrentCalls = 4096
)

// Locator returns the addresses of the holders of cells.
type Locator interface {
	// Holders returns the addresses of other hosts that hold cells.
	Holders() []string
	// Refresh looks the holders up again.
	Refresh(ctx context.Context)
}

// configVersions exchanges versions of the configuration with another host.
type configVersions struct {
	// known returns the newest version that this host knows of.
	known func() identifier.ConfigVersion
	// observe receives the newest version that another host knows of.
	observe func(identifier.ConfigVersion)
}

func noConfigVersions() configVersions {
	return configVersions{func() identifier.ConfigVersion { return 0 }, func(identifier.ConfigVersion) {}}
}

// Host offers this host to the holders of cells, and makes the calls to workers that they
// order.
type Host struct {
	offer        Offer
	runner       connector.Runner
	locator      Locator
	logger       *zap.Logger
	uptime       func() time.Duration
	observeClock func(identifier.Cell, renewer.ClockReading)
	versions     configVersions
	// observeOutlook receives the outlooks of cells that holders send.
	observeOutlook func(identifier.Cell, admitter.Outlook)
}

// HostOption configures a Host.
type HostOption func(*Host)

// WithUptime sets the clock by which expired orders are recognised. It must keep running while
// the machine is suspended; the default is uptimer.Now.
func WithUptime(now func() time.Duration) HostOption { return func(h *Host) { h.uptime = now } }

// WithClockObserver sets a function that receives the clock readings of cells that holders send
// with their heartbeat responses.
func WithClockObserver(observe func(identifier.Cell, renewer.ClockReading)) HostOption {
	return func(h *Host) { h.observeClock = observe }
}

// WithHostConfigVersions sets a function that returns the newest version of the configuration that this
// host knows of, which its heartbeats tell the holders, and one that receives those of the holders.
func WithHostConfigVersions(known func() identifier.ConfigVersion, observe func(identifier.ConfigVersion)) HostOption {
	return func(h *Host) { h.versions = configVersions{known, observe} }
}

// WithOutlookObserver sets a function that receives the outlooks of cells that holders send with their
// heartbeat responses.
func WithOutlookObserver(observe func(identifier.Cell, admitter.Outlook)) HostOption {
	return func(h *Host) { h.observeOutlook = observe }
}

// NewHost returns a host that makes calls with runner once Run is called.
func NewHost(o Offer, runner connector.Runner, l Locator, log *zap.Logger, opts ...HostOption) *Host {
	h := &Host{offer: o, runner: runner, locator: l, logger: log, uptime: uptimer.SinceBoot, observeClock: func(identifier.Cell, renewer.ClockReading) {}, versions: noConfigVersions(), observeOutlook: func(identifier.Cell, admitter.Outlook) {}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Run serves all holders that the locator finds until ctx ends. It does nothing if the offer is
// for no workers.
func (h *Host) Run(ctx context.Context) error {
	if h.offer.MaxWorkers <= 0 {
		<-ctx.Done()
		return nil
	}
	pool, err := ants.NewPool(maxConcurrentCalls, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "create call pool")
	}
	defer pool.Release()
	var serving sync.Map
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for _, address := range h.locator.Holders() {
			if _, busy := serving.LoadOrStore(address, true); busy {
				continue
			}
			wg.Go(func() {
				defer serving.Delete(address)
				h.serve(ctx, address, pool)
			})
		}
		sleeper.Pause(ctx, offerRetryDelay)
	}
	return nil
}

// serve offers this host to one holder, and executes its orders until ctx or the connection
// ends.
func (h *Host) serve(ctx context.Context, address string, pool *ants.Pool) {
	s := &holderSession{host: h, pool: pool, ready: make(chan struct{})}
	peer, err := h.connect(ctx, address, s)
	if err != nil {
		h.logger.Debug("offer to holder failed", zap.String("holder", address), logger.Err(err))
		h.locator.Refresh(ctx)
		return
	}
	h.logger.Info("calls workers for a holder", zap.String("holder", address), zap.Int("workers", h.offer.MaxWorkers))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(ctx, peer)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.replies.run(ctx) })
	g.Go(func() error { return s.sendHeartbeats(ctx, peer) })
	g.Go(func() error {
		select {
		case <-peer.Done():
			return errHolderDisconnected
		case <-ctx.Done():
			return nil
		}
	})
	err = g.Wait()
	peer.Close()
	h.logger.Info("holder lost", zap.String("holder", address), logger.Err(err))
	h.locator.Refresh(context.WithoutCancel(ctx))
}

var errHolderDisconnected = errors.New("connection to the holder has ended")

// connect opens a connection to a holder and makes the offer over it.
func (h *Host) connect(ctx context.Context, address string, s *holderSession) (messenger.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	peer, err := messenger.Dial(ctx, address, s.rejectCall, messenger.WithBatchHandler(s.receiveOrders))
	if err != nil {
		return messenger.Peer{}, err
	}
	var resp offerResponse
	if err := peer.Call(ctx, messenger.MethodOffer, offerRequest{Offer: h.offer, SupportsCompression: true}, &resp); err != nil {
		peer.Close()
		return messenger.Peer{}, err
	}
	if resp.Compress {
		peer.CompressBatches()
	}
	return peer, nil
}

// holderSession is the host's side of the connection to one holder.
type holderSession struct {
	host    *Host
	pool    *ants.Pool
	replies *batchSender[reply]
	delays  delayEstimator
	// ready is closed by start; replies and ctx are not set before.
	ready chan struct{}
	ctx   context.Context
}

// start lets the session execute orders; calls to workers end with ctx.
func (s *holderSession) start(ctx context.Context, peer messenger.Peer) {
	s.ctx = ctx
	s.replies = newBatchSender(peer, messenger.MethodAnswers, s.host.uptime, func(list []reply) any { return list })
	close(s.ready)
}

// sendHeartbeats sends heartbeats until ctx ends. It returns an error once the holder does not
// answer one, since a connection may go silent for good without being reset.
func (s *holderSession) sendHeartbeats(ctx context.Context, peer messenger.Peer) error {
	for ctx.Err() == nil {
		hb, err := newHeartbeat(s.host.uptime(), []reply(nil))
		if err != nil {
			return err
		}
		hb.ConfigVersion = s.host.versions.known()
		if err := s.sendHeartbeat(ctx, peer, hb); err != nil {
			return err
		}
		sleeper.Pause(ctx, heartbeatInterval)
	}
	return nil
}

func (s *holderSession) sendHeartbeat(ctx context.Context, peer messenger.Peer, hb heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	var resp heartbeatResponse
	if err := peer.Call(ctx, messenger.MethodAnswers, hb, &resp); err != nil {
		return err
	}
	for cell, r := range resp.Clocks {
		s.host.observeClock(cell, r)
	}
	for cell, o := range resp.Outlooks {
		s.host.observeOutlook(cell, o)
	}
	s.host.versions.observe(resp.ConfigVersion)
	return nil
}

// rejectCall refuses all calls from the holder, which sends orders as batches only.
func (s *holderSession) rejectCall(_ context.Context, method messenger.Method, _ json.RawMessage) (any, error) {
	return nil, refuser.New(refuser.CodeInvalid, "a host that calls workers does not answer %q", method)
}

// receiveOrders submits the orders of a batch.
func (s *holderSession) receiveOrders(_ messenger.Peer, method messenger.Method, content []byte) {
	if method != messenger.MethodOrders {
		s.host.logger.Error("dropped batch of unknown method", zap.String("method", string(method)))
		return
	}
	in, err := decode[batch[orderBatch]](content)
	if err != nil {
		s.host.logger.Error("cannot decode batch of orders", logger.Err(err))
		return
	}
	received := s.host.uptime()
	sent := received - s.delays.delay(received, in.SentAt)
	select {
	case <-s.ready:
		s.submitAll(in.Content, sent)
	default:
		// Orders may arrive before the response to the offer has been handled. They are dropped
		// if the session does not start within offerTimeout.
		go func() {
			select {
			case <-s.ready:
				s.submitAll(in.Content, sent)
			case <-time.After(offerTimeout):
			}
		}()
	}
}

// submitAll submits the orders of a batch; sent is this host's uptime when the batch was sent,
// as estimated.
func (s *holderSession) submitAll(o orderBatch, sent time.Duration) {
	s.replies.setInterval(o.ReplyInterval)
	for _, order := range o.Orders {
		s.submit(order, o.Specs, sent)
	}
}

// submit executes an order in the pool and queues the reply. An order for which the pool has no
// room fails as not sent.
func (s *holderSession) submit(o order, specs []string, sent time.Duration) {
	work := func() { s.replies.enqueue(s.execute(o, specs, sent)) }
	if err := s.pool.Submit(work); err != nil {
		r := reply{ID: o.ID}
		r.setError(errors.Mark(err, connector.ErrNotSent))
		s.replies.enqueue(r)
	}
}

// execute makes the call that an order asks for, unless the order has timed out, as it may have
// if this host was suspended or the connection stalled.
func (s *holderSession) execute(o order, specs []string, sent time.Duration) reply {
	r := reply{ID: o.ID}
	remaining := o.Timeout - (s.host.uptime() - sent)
	if remaining <= 0 {
		r.Failure = failureExpired
		return r
	}
	ctx, cancel := context.WithTimeout(s.ctx, remaining)
	defer cancel()
	switch o.Kind {
	case orderPoll:
		answer, err := s.host.runner.Hold(ctx, o.target(), o.pollOrder(s.host.uptime()-sent))
		if err != nil {
			r.setError(err)
			break
		}
		r.setPollAnswer(answer)
	default:
		answer, err := s.executeRunOrder(ctx, o, specs)
		if err != nil {
			r.setError(err)
			break
		}
		r.Verdict, r.Clock = answer.Verdict, answer.Clock
	}
	return r
}

// maxForgetDelay is the greatest age of an order that may let a worker forget its ended runs.
// Workers number their ended runs from the start again after a restart, so that an old order
// could make a restarted worker forget runs that have not been reported.
const maxForgetDelay = 100 * time.Millisecond

// pollOrder returns the order to poll a worker, given the age of the order.
func (o order) pollOrder(delay time.Duration) connector.HoldOrder {
	poll := connector.HoldOrder{Epoch: o.Epoch, LeaseUntil: o.LeaseUntil, Wait: o.Wait}
	if delay <= maxForgetDelay {
		poll.Forget = o.Forget
	}
	return poll
}

// executeRunOrder starts, stops or paces a run. The error of an invalid order is marked
// ErrMalformedBatch and connector.ErrNotSent.
func (s *holderSession) executeRunOrder(ctx context.Context, o order, specs []string) (connector.OrderAnswer, error) {
	to, run := o.target(), o.Run.connectorID()
	switch o.Kind {
	case orderStart:
		if o.LeaseUntil == nil || o.SpecIndex < 0 || o.SpecIndex > len(specs) {
			return connector.OrderAnswer{}, errors.Mark(errors.Mark(errors.New("start without a lease or spec"), ErrMalformedBatch), connector.ErrNotSent)
		}
		start := connector.RunOrder{Run: run, Epoch: o.Epoch, LeaseUntil: *o.LeaseUntil, Checkpoint: o.Checkpoint, Ticket: o.Ticket}
		if o.SpecIndex > 0 {
			start.Spec = specs[o.SpecIndex-1]
		}
		return s.host.runner.Start(ctx, to, start)
	case orderStop:
		return s.host.runner.Stop(ctx, to, run, o.Epoch)
	case orderPace:
		return s.host.runner.SetPace(ctx, to, run, o.Percent, o.Epoch)
	default:
		return connector.OrderAnswer{}, errors.Mark(errors.Mark(errors.Newf("unknown kind of order %d", o.Kind), ErrMalformedBatch), connector.ErrNotSent)
	}
}
