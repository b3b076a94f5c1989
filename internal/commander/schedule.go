package commander

import (
	"context"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/jobserver"
	"github.com/balsamcove/balsamcove/internal/listener"
	"github.com/balsamcove/balsamcove/internal/loader"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/meter"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/supervisor"
)

const (
	// cellSaveInterval is the minimum time between two appends of a cell's state to the store.
	cellSaveInterval = 20 * time.Millisecond
	// maxJobRequestBytes bounds the body of a request to the job API.
	maxJobRequestBytes = 1 << 20
)

type scheduleCommand struct {
	Settings string `required:"" help:"Settings file."`
}

// Run runs a scheduling host, on a platform that speaks this project's own protocol, until SIGTERM
// or SIGINT. A second signal kills the process.
func (c *scheduleCommand) Run(s *session) error {
	cfg, err := loader.LoadSchedule(c.Settings)
	if err != nil {
		return err
	}
	sink := logger.NewSink(s.stdout, sinkOptions(string(cfg.Log.Level))...)
	defer sink.Close()
	l, err := logger.New(sink, string(cfg.Log.Level))
	if err != nil {
		return err
	}
	l = l.With(zap.String("entry", string(cfg.Name)), zap.String("dataCentre", string(cfg.DataCentre)))
	ctx, stop := signal.NotifyContext(s.ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	l.Info("host starts", zap.String("admin", cfg.Listen.Admin), zap.String("peers", cfg.Listen.Peers))
	err = runSchedulingHost(ctx, cfg, l)
	l.Info("host ends", logger.Err(err))
	return err
}

// runSchedulingHost runs the supervisor and the job API of a scheduling host until ctx is cancelled
// or one of them fails.
func runSchedulingHost(ctx context.Context, cfg loader.ScheduleSettings, l *zap.Logger) error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	jobs, err := meter.NewJobs(m)
	if err != nil {
		return err
	}
	rpc := messenger.NewClient(messenger.WithCloseOnTimeout())
	defer rpc.Close()
	var sup *supervisor.Supervisor
	directory := dialer.NewDirectory(rpc, cfg.Platform.Directory, l, func(d connector.Directory) { sup.DirectoryChanged(d) })
	sup = supervisor.New(supervisorSettings(cfg), relayer.New(dialer.NewStore(rpc, cfg.Platform.Store), l), dialer.NewRunner(rpc), directory, supervisor.NewPlannerLog(l, jobs), l)
	ln, err := listener.Listen(cfg.Listen.Admin)
	if err != nil {
		return err
	}
	server := listener.New(ln, maxJobRequestBytes)
	jobserver.New(sup.Intake(), directory.Current, l).Register(server)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sup.Run(ctx, ctx) })
	g.Go(func() error { return listener.Run(ctx, server) })
	return g.Wait()
}

// supervisorSettings maps the settings file to those of the supervisor. The incarnation is derived
// from the start time, so that it differs after a restart.
func supervisorSettings(cfg loader.ScheduleSettings) supervisor.Settings {
	lease, grace := cfg.Leases.Worker.Std(), cfg.Leases.Grace.Std()
	return supervisor.Settings{
		Name: cfg.Name, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		PeerAddress: cfg.Listen.Peers, Cells: cfg.Cells, MemberTTL: cfg.Leases.Member.Std(),
		Term: dispatcher.Settings{
			SaveInterval: cellSaveInterval,
			RenewalGrace: grace,
			Planner: planner.Settings{
				Lease: lease, InheritedLease: planner.InheritedLease(grace, lease),
				MaxDirectoryAge: cfg.Freshness.Std(), Retention: cfg.Retention.Std(),
			},
		},
	}
}
