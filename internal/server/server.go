// Package server implements an entry host: the ports for callers, operators and other entry hosts,
// and a graceful shutdown that completes the requests in flight.
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
	// schedulerTick is the interval of the coordinator's scheduling passes.
	schedulerTick  = 50 * time.Millisecond
	claimDelay     = 400 * time.Millisecond
	resendInterval = time.Second
	logCallTimeout = 2 * time.Second
	// drainPollInterval is how often a stopping host checks for requests in flight.
	drainPollInterval = 10 * time.Millisecond
	// maxAdminBody is the limit for request bodies of the administration API, in bytes.
	maxAdminBody = 16 << 20
	// memberRetention is how long the address of a silent member is kept.
	memberRetention = time.Minute
	// idleCloseInterval is how often idle connections to minions are closed.
	idleCloseInterval = time.Second
)

// Server is one entry host. It routes callers' requests to minions, serves the administration API
// and runs its part of the coordinator.
type Server struct {
	cfg    loader.Settings
	logger *zap.Logger
	meter  *meter.Meter

	coord     *coordinator.Coordinator
	table     *heartbeater.Table
	router    *router.Router
	forwarder *forwarder.Forwarder
	deduper   *deduper.Deduper
	admission *limiter.ConcurrencyLimiter
	client    *messenger.Client

	callers *server.Hertz
	admin   *server.Hertz
	peers   *messenger.Server
	// leaving is set once the host is shutting down, hasCaughtUp once caughtUp has returned true.
	leaving     atomic.Bool
	hasCaughtUp atomic.Bool
	// inFlight counts the requests of callers, operators and peers that are being served.
	inFlight atomic.Int64
}

// New returns an entry host and opens its ports. It accepts connections and reads the log only once
// Run is called.
func New(cfg loader.Settings, logger *zap.Logger) (*Server, error) {
	s := &Server{
		cfg: cfg, logger: logger,
		deduper:   deduper.New(),
		admission: limiter.NewConcurrencyLimiter(cfg.Limits.Requests),
		client:    messenger.NewClient(),
		router:    router.New(cfg.Name, cfg.DataCentre),
	}
	s.forwarder = forwarder.New(s.router, dialer.DialMinion, s.forwardToPeer, forwarder.WithLogger(logger))
	incarnation := identifier.Incarnation(identifier.NewName(string(cfg.Name) + "-"))
	s.table = heartbeater.NewTable(selfReport(cfg, incarnation), membershipTiming(cfg), seedAddresses(cfg))
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

func membershipTiming(cfg loader.Settings) heartbeater.Timing {
	return heartbeater.Timing{
		Interval: cfg.Members.Interval.Std(), DeadAfter: cfg.Members.Dead.Std(),
		SettleAfter: cfg.Members.Settle.Std(), ForgetAfter: memberRetention,
	}
}

func seedAddresses(cfg loader.Settings) []heartbeater.Address {
	out := make([]heartbeater.Address, 0, len(cfg.Peers))
	for _, p := range cfg.Peers {
		out = append(out, heartbeater.Address{Entry: p.Name, DataCentre: p.DataCentre, Address: p.Address})
	}
	return out
}

// newCoordinator creates the coordinator with clients for the platform's log, host list and
// workers.
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
			MaxStaleness: cfg.Polls.Freshness.Std(), ClaimDelay: claimDelay, ResendInterval: resendInterval,
		},
		TickInterval: schedulerTick, HostPollInterval: cfg.Polls.HostList.Std(),
		Snapshot: coordinator.SnapshotPolicy{
			Records: identifier.Offset(cfg.Snapshots.Records), Age: cfg.Snapshots.Age.Std(),
		},
	}
	dialWorker := func(h connector.WorkerHost) connector.Worker { return dialer.NewWorker(http, h) }
	s.coord, err = coordinator.New(settings, dialer.NewLog(http, cfg.Platform.Log),
		dialer.NewHostList(http, cfg.Platform.HostList), dialWorker,
		coordinator.WithLogger(s.logger), coordinator.WithEventHandler(s.onEvent), coordinator.WithPeers(s.localPeerIncarnations))
	return err
}

// onEvent updates the router and the metrics after an event of the coordinator.
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

// newMeter creates the metrics of this host and registers its gauges.
func (s *Server) newMeter() error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	s.meter = m
	return errors.Join(
		m.RegisterGauge("balsamcove.requests.active", "Requests that are worked on.", func() int64 { return int64(s.admission.InFlight()) }),
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

// listen opens the ports for callers, operators and peers.
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

// Run serves until ctx is done. It then announces that the host is leaving and waits for the
// requests in flight before it returns. It also returns if a server or background task fails, with
// that error.
func (s *Server) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return s.coord.Run(workCtx) })
	group.Go(func() error { return listener.Run(workCtx, s.callers) })
	group.Go(func() error { return listener.Run(workCtx, s.admin) })
	group.Go(func() error { return s.peers.Run(workCtx) })
	group.Go(func() error { return s.runHeartbeats(workCtx) })
	group.Go(func() error { return s.closeIdleConnections(workCtx) })
	group.Go(func() error { return s.syncRegistrations(workCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain()
			cancel()
		case <-workCtx.Done():
		}
		return nil
	})
	s.logger.Info("entry host started", zap.String("callers", s.cfg.Listen.Callers), zap.String("admin", s.cfg.Listen.Admin))
	err := group.Wait()
	s.client.Close()
	s.logger.Info("entry host stopped", zap.Error(err))
	return err
}

// drain announces that this host is leaving and continues to serve for Stop.Notice, so that load
// balancers and peers stop sending requests to it. It then waits for the requests in flight, for up
// to Stop.Limit.
func (s *Server) drain() {
	s.logger.Info("stopping: waiting for requests in flight", zap.Int64("requests", s.inFlight.Load()))
	s.leaving.Store(true)
	s.table.UpdateSelf(func(r *heartbeater.Report) { r.Leaving = true })
	time.Sleep(s.cfg.Stop.Notice.Std())
	deadline := time.Now().Add(s.cfg.Stop.Limit.Std())
	for s.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	if n := s.inFlight.Load(); n > 0 {
		s.logger.Warn("stop limit reached with requests in flight", zap.Int64("requests", n))
	}
}

// closeIdleConnections closes idle connections to minions periodically until ctx is done.
func (s *Server) closeIdleConnections(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(idleCloseInterval):
			s.forwarder.CloseIdle()
		}
	}
	return nil
}

// ready reports whether load balancers may send requests to this host.
func (s *Server) ready() bool { return !s.leaving.Load() && s.caughtUp() }

// caughtUp reports whether this host has state that is recent enough to serve: it has read all
// streams or loaded them from a peer, and its configuration version was then at least that of every
// live host of its data centre. Once true, it stays true.
func (s *Server) caughtUp() bool {
	if s.hasCaughtUp.Load() {
		return true
	}
	status := s.coord.Status()
	if !status.CaughtUp {
		return false
	}
	for _, r := range s.localPeerReports() {
		if r.Version > status.Version {
			return false
		}
	}
	s.hasCaughtUp.Store(true)
	return true
}
