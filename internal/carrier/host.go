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
	// beatPeriod is how often a host shows its holder that it is there.
	beatPeriod = 400 * time.Millisecond
	// offerTimeout bounds the offer to a holder.
	offerTimeout = 600 * time.Millisecond
	// offerPause is the pause between two offers while no holder takes one.
	offerPause = 250 * time.Millisecond
	// callsUnderWay bounds the calls of workers at the same time, many times those
	// of as many workers as a host offers to call.
	callsUnderWay = 4096
)

// Locator knows the holders of cells.
type Locator interface {
	// Holders returns the addresses of other hosts that hold cells.
	Holders() []string
	// Refresh looks them up again.
	Refresh(ctx context.Context)
}

// Host offers this host to the holders of cells and makes the calls of workers that
// they order.
type Host struct {
	offer   Offer
	runner  connector.Runner
	locator Locator
	logger  *zap.Logger
	uptime  func() time.Duration
	hear    func(identifier.Cell, renewer.ClockReading)
}

// HostOption changes a new host.
type HostOption func(*Host)

// WithUptime sets a clock that goes on while the machine is suspended, by which
// orders that are too old are told.
func WithUptime(now func() time.Duration) HostOption { return func(h *Host) { h.uptime = now } }

// WithClockObserver sets what is told the clocks of cells that holders tell this host.
func WithClockObserver(hear func(identifier.Cell, renewer.ClockReading)) HostOption {
	return func(h *Host) { h.hear = hear }
}

// NewHost returns a host that makes calls by runner once Run is called.
func NewHost(o Offer, runner connector.Runner, l Locator, log *zap.Logger, opts ...HostOption) *Host {
	h := &Host{offer: o, runner: runner, locator: l, logger: log, uptime: uptimer.SinceBoot, hear: func(identifier.Cell, renewer.ClockReading) {}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Run serves holders until ctx ends. A host without workers to offer does nothing.
func (h *Host) Run(ctx context.Context) error {
	if h.offer.MaxWorkers <= 0 {
		<-ctx.Done()
		return nil
	}
	pool, err := ants.NewPool(callsUnderWay, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "create pool of calls")
	}
	defer pool.Release()
	var served sync.Map
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for _, address := range h.locator.Holders() {
			if _, busy := served.LoadOrStore(address, true); busy {
				continue
			}
			wg.Go(func() {
				defer served.Delete(address)
				h.serve(ctx, address, pool)
			})
		}
		sleeper.Pause(ctx, offerPause)
	}
	return nil
}

// serve offers this host to one holder and serves it until the connection ends.
func (h *Host) serve(ctx context.Context, address string, pool *ants.Pool) {
	s := &service{host: h, pool: pool, ready: make(chan struct{})}
	peer, err := h.connect(ctx, address, s)
	if err != nil {
		h.logger.Debug("holder takes no offer", zap.String("holder", address), logger.Err(err))
		h.locator.Refresh(ctx)
		return
	}
	h.logger.Info("calls workers for a holder", zap.String("holder", address), zap.Int("workers", h.offer.MaxWorkers))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.begin(ctx, peer)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.replies.run(ctx) })
	g.Go(func() error { return s.beat(ctx, peer) })
	g.Go(func() error {
		select {
		case <-peer.Done():
			return errHolderGone
		case <-ctx.Done():
			return nil
		}
	})
	err = g.Wait()
	peer.Close()
	h.logger.Info("holder lost", zap.String("holder", address), logger.Err(err))
	h.locator.Refresh(context.WithoutCancel(ctx))
}

var errHolderGone = errors.New("connection to the holder has ended")

func (h *Host) connect(ctx context.Context, address string, s *service) (messenger.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	peer, err := messenger.Dial(ctx, address, s.handle, messenger.WithBatchHandler(s.receive))
	if err != nil {
		return messenger.Peer{}, err
	}
	var taken offerTaken
	if err := peer.Call(ctx, messenger.MethodOffer, offerCall{Offer: h.offer, Packs: true}, &taken); err != nil {
		peer.Close()
		return messenger.Peer{}, err
	}
	if taken.Packed {
		peer.CompressBatches()
	}
	return peer, nil
}

// service is the work of a host for one holder.
type service struct {
	host    *Host
	pool    *ants.Pool
	replies *sender[reply]
	ages    ageMeter
	ready   chan struct{}
	ctx     context.Context
}

func (s *service) begin(ctx context.Context, peer messenger.Peer) {
	s.ctx = ctx
	s.replies = newSender(peer, messenger.MethodAnswers, s.host.uptime, func(list []reply) any { return list })
	close(s.ready)
}

// beat shows the holder that this host is there, and ends once the holder does not
// answer: a connection may go silent for good without a reset.
func (s *service) beat(ctx context.Context, peer messenger.Peer) error {
	for ctx.Err() == nil {
		m, err := encode(s.host.uptime(), []reply(nil))
		if err != nil {
			return err
		}
		if err := s.beatOnce(ctx, peer, m); err != nil {
			return err
		}
		sleeper.Pause(ctx, beatPeriod)
	}
	return nil
}

func (s *service) beatOnce(ctx context.Context, peer messenger.Peer, m beat) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	var taken beatTaken
	if err := peer.Call(ctx, messenger.MethodAnswers, m, &taken); err != nil {
		return err
	}
	for cell, r := range taken.Clocks {
		s.host.hear(cell, r)
	}
	return nil
}

// handle answers the holder's calls, of which there are none.
func (s *service) handle(_ context.Context, method messenger.Method, _ json.RawMessage) (any, error) {
	return nil, refuser.New(refuser.CodeInvalid, "a host that calls workers does not answer %q", method)
}

// receive begins the calls of a batch of orders.
func (s *service) receive(_ messenger.Peer, method messenger.Method, content []byte) {
	if method != messenger.MethodOrders {
		s.host.logger.Error("batch of an unknown kind is dropped", zap.String("method", string(method)))
		return
	}
	in, err := decode[message[orders]](content)
	if err != nil {
		s.host.logger.Error("orders cannot be read", logger.Err(err))
		return
	}
	read := s.host.uptime()
	sent := read - s.ages.age(read, in.SentAt)
	select {
	case <-s.ready:
		s.startAll(in.Content, sent)
	default:
		// Orders may come before the answer to the offer, which the same connection brings.
		go func() {
			select {
			case <-s.ready:
				s.startAll(in.Content, sent)
			case <-time.After(offerTimeout):
			}
		}()
	}
}

// startAll makes the calls of a batch that was sent at an uptime.
func (s *service) startAll(o orders, sent time.Duration) {
	s.replies.setGap(o.Gap)
	for _, one := range o.List {
		s.start(one, o.Specs, sent)
	}
}

// start makes one call in the pool; sent is the uptime at which the order was sent.
func (s *service) start(o order, specs []string, sent time.Duration) {
	work := func() { s.replies.put(s.carryOut(o, specs, sent)) }
	if err := s.pool.Submit(work); err != nil {
		r := reply{Number: o.Number}
		r.fail(errors.Mark(err, connector.ErrNotSent))
		s.replies.put(r)
	}
}

// carryOut makes the call of an order unless its time is over, which it is after this
// host was suspended or the connection stood still.
func (s *service) carryOut(o order, specs []string, sent time.Duration) reply {
	r := reply{Number: o.Number}
	left := o.Timeout - (s.host.uptime() - sent)
	if left <= 0 {
		r.Failure = failureExpired
		return r
	}
	ctx, cancel := context.WithTimeout(s.ctx, left)
	defer cancel()
	switch o.Kind {
	case orderHold:
		answer, err := s.host.runner.Hold(ctx, o.target(), o.hold(s.host.uptime()-sent))
		if err != nil {
			r.fail(err)
			break
		}
		r.setHold(answer)
	default:
		answer, err := s.order(ctx, o, specs)
		if err != nil {
			r.fail(err)
			break
		}
		r.Verdict, r.Clock = answer.Verdict, answer.Clock
	}
	return r
}

// maxForgetAge is how old an order may be to let a worker forget ends. The numbers of
// ends begin anew with each life of a worker, so that a late one could reach the
// next.
const maxForgetAge = 100 * time.Millisecond

// hold returns the order of a look at a worker that is sent with an age.
func (o order) hold(age time.Duration) connector.HoldOrder {
	h := connector.HoldOrder{Epoch: o.Epoch, LeaseUntil: o.LeaseUntil, Wait: o.Wait}
	if age <= maxForgetAge {
		h.Forget = o.Forget
	}
	return h
}

func (s *service) order(ctx context.Context, o order, specs []string) (connector.OrderAnswer, error) {
	to, run := o.target(), o.Run.run()
	switch o.Kind {
	case orderStart:
		if o.LeaseUntil == nil || o.Spec < 0 || o.Spec > len(specs) {
			return connector.OrderAnswer{}, errors.Mark(errors.Mark(errors.New("start without a lease or spec"), ErrBatch), connector.ErrNotSent)
		}
		start := connector.RunOrder{Run: run, Epoch: o.Epoch, LeaseUntil: *o.LeaseUntil, Checkpoint: o.Checkpoint, Ticket: o.Ticket}
		if o.Spec > 0 {
			start.Spec = specs[o.Spec-1]
		}
		return s.host.runner.Start(ctx, to, start)
	case orderStop:
		return s.host.runner.Stop(ctx, to, run, o.Epoch)
	case orderPace:
		return s.host.runner.SetPace(ctx, to, run, o.Percent, o.Epoch)
	default:
		return connector.OrderAnswer{}, errors.Mark(errors.Mark(errors.Newf("unknown kind of order %d", o.Kind), ErrBatch), connector.ErrNotSent)
	}
}
