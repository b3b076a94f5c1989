// Package supervisor runs the parts of a scheduling host as one group: the
// membership, the terms of the cells that it holds, the calls of other hosts,
// and the service for callers.
package supervisor

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/announcer"
	"github.com/balsamcove/balsamcove/internal/carrier"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/elector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// termPause is the pause before a term that failed is begun again.
const termPause = 200 * time.Millisecond

// Directory is the source of the configuration and the workers.
type Directory interface {
	Run(ctx context.Context) error
	Current() connector.Directory
	// WatchWorkers makes the directory read the workers until stop is called.
	WatchWorkers() (stop func())
}

// Settings are those of a host.
type Settings struct {
	Name identifier.Entry
	// Incarnation tells apart the processes that use the same name.
	Incarnation string
	// PeerAddress is the address for calls of other hosts.
	PeerAddress string
	Cells       int
	DataCentre  identifier.DataCentre
	// MaxWorkers is how many workers this host can call by itself, or for another host.
	MaxWorkers int
	// Cores is this host's share of processors; the largest hosts hold the cells.
	Cores float64
	// LinkBandwidth is what this host's link carries, in bytes a second; zero if that is not known.
	LinkBandwidth int
	// MemberTTL is how long the store keeps a host that sends nothing.
	MemberTTL time.Duration
	Term      dispatcher.Settings
}

// linkPerCore is how much of its link a holder uses with a whole core, in bytes a second:
// 220 kB/s with 0.12 cores at its limit (docs/incidents/inc-28-small.md), and a reserve.
const linkPerCore = 2_500_000

// linkBinds reports whether this host's link is full before its processor is, if it holds
// a cell.
func (s Settings) linkBinds() bool {
	return s.LinkBandwidth > 0 && float64(s.LinkBandwidth) < s.Cores*linkPerCore
}

// Supervisor runs a host.
type Supervisor struct {
	settings  Settings
	store     *relayer.Store
	pool      *carrier.Pool
	carrier   *carrier.Host
	directory Directory
	adviser   connector.Adviser
	logger    *zap.Logger
	planLog   planner.Log
	waited    func(time.Duration)

	rpc       *messenger.Client
	announcer *announcer.Announcer
	locator   *intake.Locator
	intake    *intake.Service
	elector   *elector.Elector

	// witness remembers what holders, this host among them, told of the cells' clocks.
	witness renewer.ClockTracker

	mu    sync.Mutex
	terms map[identifier.Cell]*termRun
	ctx   context.Context
}

// termRun is a term under way.
type termRun struct {
	term *dispatcher.Term
	stop context.CancelFunc
	done chan struct{}
}

// Option changes a new supervisor.
type Option func(*Supervisor)

// WithAdviser sets who decides about the workers of advised queues.
func WithAdviser(a connector.Adviser) Option { return func(s *Supervisor) { s.adviser = a } }

// WithEventWaitRecorder sets what is told how long events wait for the planner.
func WithEventWaitRecorder(record func(time.Duration)) Option {
	return func(s *Supervisor) { s.waited = record }
}

// New returns a host that does not run yet.
func New(s Settings, store *relayer.Store, runner connector.Runner, directory Directory, planLog planner.Log, logger *zap.Logger, opts ...Option) *Supervisor {
	member := intake.MemberName(s.Name, s.Incarnation, s.PeerAddress)
	s.Term.Member = member
	sup := &Supervisor{
		settings: s, store: store, directory: directory, logger: logger, planLog: planLog,
		rpc: messenger.NewClient(messenger.WithCloseOnTimeout()), terms: map[identifier.Cell]*termRun{},
	}
	sup.pool = carrier.NewPool(runner, s.MaxWorkers, logger, carrier.WithCompression(s.linkBinds()), carrier.WithCellClocks(sup.clocks))
	sup.locator = intake.NewLocator(store, s.PeerAddress, s.Cells, logger)
	sup.carrier = carrier.NewHost(carrier.Offer{Name: s.Name, DataCentre: s.DataCentre, MaxWorkers: s.MaxWorkers}, runner, sup.locator, logger,
		carrier.WithClockObserver(sup.hear))
	store.SetPeers(sup.locator.Peers)
	sup.announcer = announcer.New(s.Name, announcer.Announcement{Address: s.PeerAddress, Cores: s.Cores}, store, logger)
	candidacy := &candidacy{
		cores: s.Cores, largest: sup.announcer.LargestCores, owners: sup.locator.Owners, coresOf: sup.announcer.CoresOf, largerSeen: time.Now(),
		reachable: func() bool { return time.Since(sup.locator.LastLookup()) <= standInAfter },
	}
	for _, o := range opts {
		o(sup)
	}
	sup.intake = intake.New(store, sup.rpc, sup.locator, s.Cells, sup.heldHere, logger)
	sup.elector = elector.New(elector.Settings{Member: member, Cells: s.Cells, TTL: s.MemberTTL}, store, logger, sup.cellsChanged,
		elector.WithUptime(uptimer.SinceBoot), elector.WithEligibility(candidacy.candidate))
	return sup
}

// Intake returns the service for callers.
func (s *Supervisor) Intake() *intake.Service { return s.intake }

// DirectoryChanged tells the terms under way about a new state of the
// directory.
func (s *Supervisor) DirectoryChanged(d connector.Directory) {
	s.pool.SetWorkers(d.Workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.terms {
		t.term.Notify(planner.DirectoryChanged{Directory: d})
	}
}

// CarriedWorkers returns how many workers other hosts call for this one.
func (s *Supervisor) CarriedWorkers() int64 {
	n := 0
	for _, carried := range s.pool.Loads() {
		n += carried
	}
	return int64(n)
}

// Stats returns the counts of the cells that this host holds.
func (s *Supervisor) Stats() []planner.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []planner.Stats
	for _, t := range s.terms {
		out = append(out, t.term.Stats())
	}
	return out
}

// Run serves other hosts and callers until ctx ends, and schedules until
// scheduling ends, which may be earlier.
func (s *Supervisor) Run(ctx, scheduling context.Context) error {
	server, err := messenger.Listen(s.settings.PeerAddress, s.handle, s.logger, messenger.WithBatchHandler(s.pool.Receive))
	if err != nil {
		return err
	}
	defer s.rpc.Close()
	defer s.store.Close()
	s.ctx = ctx
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Run(ctx) })
	g.Go(func() error { return s.directory.Run(ctx) })
	g.Go(func() error { return s.locator.Run(ctx) })
	g.Go(func() error { return s.announcer.Run(ctx) })
	g.Go(func() error { return s.pool.Run(ctx) })
	g.Go(func() error { return s.carrier.Run(ctx) })
	g.Go(func() error {
		member, cancel := context.WithCancel(ctx)
		defer cancel()
		context.AfterFunc(scheduling, cancel)
		return s.elector.Run(member)
	})
	return g.Wait()
}

// handle answers the calls of other hosts: about jobs and the clocks of cells, those of a
// store for a host that the store does not answer, and of hosts that call workers.
func (s *Supervisor) handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	if out, ok, err := relayer.Serve(ctx, s.store.Direct(), method, params); ok {
		return out, err
	}
	if out, ok, err := s.pool.Handle(ctx, method, params); ok {
		return out, err
	}
	if method == messenger.MethodCellClock {
		return s.answerClock(params)
	}
	return s.intake.Handle(ctx, method, params)
}

func (s *Supervisor) heldHere(cell identifier.Cell) (intake.Holder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.terms[cell]
	if !ok {
		return nil, false
	}
	return holder{t.term}, true
}

// cellsChanged begins and ends terms so that they are those of the held cells.
func (s *Supervisor) cellsChanged(held []identifier.Cell) {
	keep := map[identifier.Cell]bool{}
	for _, cell := range held {
		keep[cell] = true
	}
	others := s.takeOthers(keep)
	for _, t := range others {
		t.stop()
	}
	for _, t := range others {
		<-t.done
	}
	if len(held) == 0 {
		s.pool.Close()
		return
	}
	s.pool.Open()
	for _, cell := range held {
		s.beginTerm(cell)
	}
}

// takeOthers removes the terms that are not to be kept.
func (s *Supervisor) takeOthers(keep map[identifier.Cell]bool) []*termRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*termRun
	for cell, t := range s.terms {
		if !keep[cell] {
			delete(s.terms, cell)
			out = append(out, t)
		}
	}
	return out
}

func (s *Supervisor) beginTerm(cell identifier.Cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.terms[cell]; ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t := &termRun{term: s.newTerm(cell), stop: cancel, done: make(chan struct{})}
	s.terms[cell] = t
	go s.runTerm(ctx, cell, t)
}

func (s *Supervisor) newTerm(cell identifier.Cell) *dispatcher.Term {
	settings := s.settings.Term
	settings.Planner.Cell, settings.Planner.Cells = cell, s.settings.Cells
	opts := []dispatcher.Option{
		dispatcher.WithLog(s.planLog), dispatcher.WithValidity(s.elector.Valid, s.elector.SinceRenewal),
		dispatcher.WithTenure(s.elector.Tenure), dispatcher.WithPauseCheck(s.elector.RecentlyActive), dispatcher.WithUptime(uptimer.SinceBoot),
		dispatcher.WithClockEstimate(func(ctx context.Context) renewer.ClockReading { return s.heardClock(ctx, cell) }),
	}
	if s.adviser != nil {
		opts = append(opts, dispatcher.WithAdviser(s.adviser))
	}
	if s.waited != nil {
		opts = append(opts, dispatcher.WithEventWaitRecorder(s.waited))
	}
	return dispatcher.NewTerm(cell, settings, s.store, s.pool, s.logger, opts...)
}

// runTerm runs a term, and a new one after each that failed, until ctx ends.
func (s *Supervisor) runTerm(ctx context.Context, cell identifier.Cell, t *termRun) {
	defer close(t.done)
	unwatch := s.directory.WatchWorkers()
	defer unwatch()
	for {
		err := t.term.Run(ctx, s.directory.Current())
		if r, ok := t.term.CellClock(); ok {
			s.hear(cell, r)
		}
		if ctx.Err() != nil {
			s.logger.Info("term ends", zap.Int("cell", int(cell)))
			return
		}
		s.logger.Warn("term fails", zap.Int("cell", int(cell)), zap.Bool("superseded", errors.Is(err, dispatcher.ErrSuperseded)), logger.Err(err))
		select {
		case <-time.After(termPause):
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		t.term = s.newTerm(cell)
		s.mu.Unlock()
	}
}

// holder answers for a term in the words of the intake.
type holder struct{ *dispatcher.Term }

// State implements intake.Holder.
func (h holder) State(ctx context.Context, id identifier.Job) (state string, known bool, err error) {
	st, known, err := h.Term.State(ctx, id)
	return string(st), known, err
}
