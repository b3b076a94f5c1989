// Package server assembles an entry host: it serves callers, operators and
// other entry hosts, and stops without cutting off a request.
package server

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/coordinator"
	"github.com/balsamcove/balsamcove/internal/deduper"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/follower"
	"github.com/balsamcove/balsamcove/internal/forwarder"
	"github.com/balsamcove/balsamcove/internal/heartbeater"
	"github.com/balsamcove/balsamcove/internal/lessor"
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/internal/loader"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/meter"
	"github.com/balsamcove/balsamcove/internal/router"
	"github.com/balsamcove/balsamcove/internal/scheduler"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	schedulerTick    = 50 * time.Millisecond
	claimDelay       = 400 * time.Millisecond
	resend           = time.Second
	logCallTimeout   = 2 * time.Second
	drainPoll        = 10 * time.Millisecond
	maxAdminBody     = 16 << 20
	forgetMembers    = time.Minute
	sweepConnections = time.Second
)

// Server is one entry host.
type Server struct {
	cfg    loader.Settings
	logger *zap.Logger
	meter  *meter.Meter

	coord     *coordinator.Coordinator
	table     *heartbeater.Table
	router    *router.Router
	forwarder *forwarder.Forwarder
	deduper   *deduper.Deduper
	gate      *limiter.ConcurrencyLimiter
	client    *messenger.Client

	callers *server.Hertz
	admin   *server.Hertz
	peers   *messenger.Server
	leaving atomic.Bool
	current atomic.Bool
	serving atomic.Int64
}

// New returns an entry host whose ports are open and that has read nothing yet.
func New(cfg loader.Settings, logger *zap.Logger) (*Server, error) {
	s := &Server{
		cfg: cfg, logger: logger,
		deduper: deduper.New(),
		gate:    limiter.NewConcurrencyLimiter(cfg.Limits.Requests),
		client:  messenger.NewClient(),
		router:  router.New(cfg.Name, cfg.DataCentre),
	}
	s.forwarder = forwarder.New(s.router, dialer.DialMinion, s.callPeer, forwarder.WithLogger(logger))
	incarnation := identifier.Incarnation(identifier.NewName(string(cfg.Name) + "-"))
	s.table = heartbeater.NewTable(selfReport(cfg, incarnation), memberTimes(cfg), seeds(cfg))
	if err := s.newCoordinator(incarnation); err != nil {
		return nil, err
	}
	if err := s.newMeter(); err != nil {
		return nil, err
	}
	return s, s.listen()
}

func selfReport(cfg loader.Settings, incarnation identifier.Incarnation) heartbeater.Report {
	return heartbeater.Report{
		Entry: cfg.Name, DataCentre: cfg.DataCentre, Address: cfg.Listen.Peers,
		Incarnation: incarnation, StartedMs: time.Now().UnixMilli(),
	}
}

func memberTimes(cfg loader.Settings) heartbeater.Timing {
	return heartbeater.Timing{
		Interval: cfg.Members.Interval.Std(), DeadAfter: cfg.Members.Dead.Std(),
		SettleAfter: cfg.Members.Settle.Std(), ForgetAfter: forgetMembers,
	}
}

func seeds(cfg loader.Settings) []heartbeater.Address {
	out := make([]heartbeater.Address, 0, len(cfg.Peers))
	for _, p := range cfg.Peers {
		out = append(out, heartbeater.Address{Entry: p.Name, DataCentre: p.DataCentre, Address: p.Address})
	}
	return out
}

func (s *Server) newCoordinator(incarnation identifier.Incarnation) error {
	http, err := dialer.NewHTTP()
	if err != nil {
		return err
	}
	cfg := s.cfg
	settings := coordinator.Settings{
		Entry: cfg.Name, Incarnation: incarnation, DataCentre: cfg.DataCentre, HomeShards: cfg.HomeShards,
		Lease:    lessor.Timing{TTL: cfg.Leases.CellTTL.Std(), RenewInterval: cfg.Leases.CellRenew.Std()},
		Follower: follower.Timing{PollInterval: cfg.Polls.Log.Std(), ReadTimeout: logCallTimeout},
		Scheduler: scheduler.Timing{
			WorkerTTL: cfg.Leases.WorkerTTL.Std(), WorkerRenewInterval: cfg.Leases.WorkerRenew.Std(),
			MaxStaleness: cfg.Polls.Freshness.Std(), ClaimDelay: claimDelay, ResendInterval: resend,
		},
		TickInterval: schedulerTick, HostPollInterval: cfg.Polls.HostList.Std(),
		Snapshot: coordinator.SnapshotPolicy{
			Records: identifier.Offset(cfg.Snapshots.Records), Age: cfg.Snapshots.Age.Std(),
		},
	}
	dialWorker := func(h connector.WorkerHost) connector.Worker { return dialer.NewWorker(http, h) }
	s.coord, err = coordinator.New(settings, dialer.NewLog(http, cfg.Platform.Log),
		dialer.NewHostList(http, cfg.Platform.HostList), dialWorker,
		coordinator.WithLogger(s.logger), coordinator.WithEventHandler(s.onEvent), coordinator.WithPeers(s.livePeers))
	return err
}

// onEvent passes what the coordinator reads on to those who route requests.
func (s *Server) onEvent(ev coordinator.Event) {
	switch e := ev.(type) {
	case coordinator.ConfigInForce:
		s.router.SetConfig(e.Set)
	case coordinator.HostsRead:
		s.router.SetHosts(e.Hosts.Minions)
	case coordinator.TaskStarted:
		s.meter.RecordTaskStart(e.Pool.Name, e.Pool.Team, e.Pool.Priority, e.Wait)
	}
}

func (s *Server) newMeter() error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	s.meter = m
	return errors.Join(
		m.RegisterGauge("balsamcove.requests.active", "Requests that are worked on.", func() int64 { return int64(s.gate.InFlight()) }),
		m.RegisterGauge("balsamcove.members", "Live entry hosts, this one included.", func() int64 { return int64(len(s.table.Alive()) + 1) }),
		m.RegisterGauge("balsamcove.config.version", "Version of the configuration in force.", func() int64 { return int64(s.coord.Status().Version) }),
		m.RegisterGauge("balsamcove.cell.held", "1 while this host holds the cell lease.", func() int64 {
			if s.coord.Status().HoldsLease {
				return 1
			}
			return 0
		}),
	)
}

func (s *Server) listen() error {
	callers, err := listener.Listen(s.cfg.Listen.Callers)
	if err != nil {
		return err
	}
	admin, err := listener.Listen(s.cfg.Listen.Admin)
	if err != nil {
		return err
	}
	s.peers, err = messenger.Listen(s.cfg.Listen.Peers, s.handlePeer, s.logger)
	if err != nil {
		return err
	}
	s.routeCallers(callers)
	s.routeAdmin(admin)
	return nil
}

func (s *Server) routeCallers(ln net.Listener) {
	s.callers = listener.New(ln, dialer.MaxBodyBytes)
	s.callers.POST("/v1/services/:service/requests", s.handleRequest)
	s.callers.GET("/readyz", s.handleReady)
}

// Run serves until ctx ends, and then stops without cutting off a request.
func (s *Server) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return s.coord.Run(work) })
	group.Go(func() error { return listener.Run(work, s.callers) })
	group.Go(func() error { return listener.Run(work, s.admin) })
	group.Go(func() error { return s.peers.Run(work) })
	group.Go(func() error { return s.beat(work) })
	group.Go(func() error { return s.sweep(work) })
	group.Go(func() error { return s.pullMemory(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain()
			cancel()
		case <-work.Done():
		}
		return nil
	})
	s.logger.Info("entry host started", zap.String("callers", s.cfg.Listen.Callers), zap.String("admin", s.cfg.Listen.Admin))
	err := group.Wait()
	s.client.Close()
	s.logger.Info("entry host stopped", zap.Error(err))
	return err
}

// drain says that the host is leaving, goes on serving until that is noticed
// and waits for the requests in flight.
func (s *Server) drain() {
	s.logger.Info("stopping: waiting for requests in flight", zap.Int64("requests", s.serving.Load()))
	s.leaving.Store(true)
	s.table.UpdateSelf(func(r *heartbeater.Report) { r.Leaving = true })
	time.Sleep(s.cfg.Stop.Notice.Std())
	deadline := time.Now().Add(s.cfg.Stop.Limit.Std())
	for s.serving.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	if n := s.serving.Load(); n > 0 {
		s.logger.Warn("stop limit reached with requests in flight", zap.Int64("requests", n))
	}
}

func (s *Server) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(sweepConnections):
			s.forwarder.CloseIdle()
		}
	}
	return nil
}

// ready reports whether the balancer may send callers to this host.
func (s *Server) ready() bool { return !s.leaving.Load() && s.caughtUp() }

// caughtUp reports whether the host may serve: it has once read all streams, or
// taken them from a peer, and then knew at least the configuration of every
// live host of its data centre.
func (s *Server) caughtUp() bool {
	if s.current.Load() {
		return true
	}
	status := s.coord.Status()
	if !status.CaughtUp {
		return false
	}
	for _, r := range s.neighbours() {
		if r.Version > status.Version {
			return false
		}
	}
	s.current.Store(true)
	return true
}
