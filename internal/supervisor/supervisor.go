// Package supervisor runs the components of a scheduling host: its membership in the group of
// cell holders, a scheduling term for each cell that it holds, the server for other hosts, and
// the service for callers.
package supervisor

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/announcer"
	"github.com/balsamcove/balsamcove/internal/carrier"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dispatcher"
	"github.com/balsamcove/balsamcove/internal/elector"
	"github.com/balsamcove/balsamcove/internal/intake"
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/relayer"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/internal/uptimer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// termRestartDelay is the pause before a failed term is replaced by a new one.
const termRestartDelay = 200 * time.Millisecond

// Directory provides the configuration and the list of workers.
type Directory interface {
	// Run keeps the directory up to date until ctx ends.
	Run(ctx context.Context) error
	// Current returns the last known state.
	Current() connector.Directory
	// Expect states that another host acts on a version of the configuration, which is read at once if
	// it is newer than the current one.
	Expect(version identifier.ConfigVersion)
	// ConfigRecord returns the version of the configuration in force and its record, nil if it has none.
	ConfigRecord() (version identifier.ConfigVersion, record []byte)
	// WatchWorkers makes the directory follow the list of workers until stop is called.
	WatchWorkers() (stop func())
}

// Settings configure a host.
type Settings struct {
	// Name is the name of the host.
	Name identifier.Entry
	// Incarnation distinguishes the processes that successively run under the same name.
	Incarnation string
	// PeerAddress is the address at which the host listens for other hosts.
	PeerAddress string
	// Cells is the number of cells of the deployment.
	Cells int
	// DataCentre is the data centre of the host.
	DataCentre identifier.DataCentre
	// MaxWorkers is the maximum number of workers that this host calls, for its own cells or on
	// behalf of another holder.
	MaxWorkers int
	// Cores is the number of processor cores available to the host; the hosts with the most
	// cores hold the cells.
	Cores float64
	// LinkBandwidth is the bandwidth of the host's network link in bytes per second, or zero if
	// it is not known.
	LinkBandwidth int
	// MemberTTL is how long the store keeps the membership of a host that does not renew it.
	MemberTTL time.Duration
	// Term configures the terms of the cells that the host holds.
	Term dispatcher.Settings
}

// linkBandwidthPerCore is the bandwidth in bytes per second that a holder uses per core at full
// CPU load: 220 kB/s were measured with 0.12 cores (docs/incidents/inc-28-small.md), plus a
// reserve.
const linkBandwidthPerCore = 2_500_000

// linkLimited reports whether the network link of this host saturates before its processors do
// when it holds a cell.
func (s Settings) linkLimited() bool {
	return s.LinkBandwidth > 0 && float64(s.LinkBandwidth) < s.Cores*linkBandwidthPerCore
}

// Supervisor runs the components of a scheduling host.
type Supervisor struct {
	settings Settings
	store    *relayer.Store
	// pool calls the workers of the cells that this host holds, through other hosts if they are
	// more than MaxWorkers.
	pool *carrier.Pool
	// carrier calls workers on behalf of other holders.
	carrier         *carrier.Host
	directory       Directory
	adviser         connector.Adviser
	adviceLine      *planner.AdviceLine
	peerDoor        *limiter.Door
	logger          *zap.Logger
	plannerLog      planner.Log
	recordEventWait func(time.Duration)

	rpc       *messenger.Client
	announcer *announcer.Announcer
	locator   *intake.Locator
	intake    *intake.Service
	elector   *elector.Elector

	// clockTracker keeps the last readings of the cells' clocks that their holders, including
	// this host, have reported.
	clockTracker renewer.ClockTracker

	succession succession

	mu    sync.Mutex
	terms map[identifier.Cell]*runningTerm
	// ctx is the context of Run, in which the terms run.
	ctx context.Context
}

// runningTerm is the term of a cell that this host holds.
type runningTerm struct {
	// term is replaced, under Supervisor.mu, when it has failed.
	term *dispatcher.Term
	stop context.CancelFunc
	// done is closed when the goroutine of the term has ended.
	done chan struct{}
}

// Option changes a new supervisor.
type Option func(*Supervisor)

// WithAdviser sets the adviser, which decides which workers may run the steps of advised queues.
func WithAdviser(a connector.Adviser) Option { return func(s *Supervisor) { s.adviser = a } }

// WithPeerDoor sets the budget for what other hosts send.
func WithPeerDoor(d *limiter.Door) Option { return func(s *Supervisor) { s.peerDoor = d } }

// WithEventWaitRecorder sets a function that records how long events wait for the planner.
func WithEventWaitRecorder(record func(time.Duration)) Option {
	return func(s *Supervisor) { s.recordEventWait = record }
}

// New returns the supervisor of a host; Run starts it.
func New(s Settings, store *relayer.Store, runner connector.Runner, directory Directory, plannerLog planner.Log, logger *zap.Logger, opts ...Option) *Supervisor {
	member := intake.MemberName(s.Name, s.Incarnation, s.PeerAddress)
	s.Term.Member = member
	sup := &Supervisor{
		settings: s, store: store, directory: directory, logger: logger, plannerLog: plannerLog,
		rpc: messenger.NewClient(messenger.WithCloseOnTimeout()), terms: map[identifier.Cell]*runningTerm{}, adviceLine: planner.NewAdviceLine(),
	}
	sup.pool = carrier.NewPool(runner, s.MaxWorkers, logger, carrier.WithCompression(s.linkLimited()), carrier.WithCellClocks(sup.cellClocks),
		carrier.WithConfigVersions(sup.configVersion, directory.Expect), carrier.WithOutlooks(sup.outlooks))
	sup.locator = intake.NewLocator(store, s.PeerAddress, s.Cells, logger)
	sup.carrier = carrier.NewHost(carrier.Offer{Name: s.Name, DataCentre: s.DataCentre, MaxWorkers: s.MaxWorkers}, runner, sup.locator, logger,
		carrier.WithClockObserver(sup.observeClock), carrier.WithHostConfigVersions(sup.configVersion, directory.Expect),
		carrier.WithOutlookObserver(sup.observeOutlook))
	store.SetPeers(sup.locator.Peers)
	sup.announcer = announcer.New(s.Name, announcer.Announcement{Address: s.PeerAddress, Cores: s.Cores}, store, logger)
	hostEligibility := &eligibility{
		cores: s.Cores, largestHost: sup.announcer.LargestCores, cellOwners: sup.locator.Owners, coresOf: sup.announcer.CoresOf, largerSeenAt: time.Now(),
		storeReachable: func() bool { return time.Since(sup.locator.LastLookup()) <= fallbackDelay },
	}
	for _, o := range opts {
		o(sup)
	}
	sup.intake = intake.New(store, sup.rpc, sup.locator, s.Cells, sup.localHolder, logger)
	sup.elector = elector.New(elector.Settings{Member: member, Cells: s.Cells, TTL: s.MemberTTL}, store, logger, sup.setCells,
		elector.WithUptime(uptimer.SinceBoot), elector.WithEligibility(hostEligibility.eligible))
	return sup
}

// Intake returns the service that accepts jobs and answers questions about them.
func (s *Supervisor) Intake() *intake.Service { return s.intake }

// DirectoryChanged passes a new state of the directory on to the running terms.
func (s *Supervisor) DirectoryChanged(d connector.Directory) {
	s.pool.SetWorkers(d.Workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.terms {
		t.term.Notify(planner.DirectoryChanged{Directory: d})
	}
}

// CarriedWorkers returns the number of workers that other hosts call on behalf of this one.
func (s *Supervisor) CarriedWorkers() int64 {
	n := 0
	for _, carried := range s.pool.Loads() {
		n += carried
	}
	return int64(n)
}

// Stats returns the statistics of each cell that this host holds.
func (s *Supervisor) Stats() []planner.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []planner.Stats
	for _, t := range s.terms {
		out = append(out, t.term.Stats())
	}
	return out
}

// Teams returns the usage of the teams in each cell that this host holds. A team may be in several.
func (s *Supervisor) Teams() []submitter.TeamUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []submitter.TeamUsage
	for _, t := range s.terms {
		// A term that does not hold its cell yet, or no more, has no usage to tell.
		teams, _ := t.term.Teams()
		out = append(out, teams...)
	}
	return out
}

// outlooks returns the outlooks of the cells that this host holds. It may wait for a pass of a planner, so
// that it does not hold mu meanwhile.
func (s *Supervisor) outlooks() map[identifier.Cell]admitter.Outlook {
	s.mu.Lock()
	terms := make(map[identifier.Cell]*dispatcher.Term, len(s.terms))
	for cell, t := range s.terms {
		terms[cell] = t.term
	}
	s.mu.Unlock()
	out := make(map[identifier.Cell]admitter.Outlook, len(terms))
	for cell, t := range terms {
		out[cell] = t.Outlook()
		s.intake.ObserveOwnOutlook(cell, out[cell])
	}
	return out
}

// observeOutlook receives the outlook of a cell that another host holds.
func (s *Supervisor) observeOutlook(cell identifier.Cell, o admitter.Outlook) {
	s.store.ExpectAppendDelay(o.StoreDelay)
	s.intake.ObserveOutlook(cell, o)
}

// Run serves other hosts and callers until ctx ends, and holds cells until scheduling ends, which
// may be earlier. It returns the first error of a component, or nil.
func (s *Supervisor) Run(ctx, scheduling context.Context) error {
	server, err := messenger.Listen(s.settings.PeerAddress, s.handle, s.logger, messenger.WithBatchHandler(s.pool.Receive), messenger.WithDoor(s.peerDoor))
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
	g.Go(func() error { return s.intake.Run(ctx) })
	g.Go(func() error { return s.announcer.Run(ctx) })
	g.Go(func() error { return s.pool.Run(ctx) })
	g.Go(func() error { return s.carrier.Run(ctx) })
	g.Go(func() error {
		schedulingCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		context.AfterFunc(scheduling, cancel)
		return s.elector.Run(schedulingCtx)
	})
	return g.Wait()
}

// handle answers the calls of other hosts: store calls that a host relays because it does not
// reach the store itself, messages of hosts that call workers on behalf of this one, requests for
// the clock of a cell, for the configuration, for idle workers or whether this host can take cells,
// and all calls of the intake.
func (s *Supervisor) handle(ctx context.Context, method messenger.Method, params json.RawMessage) (any, error) {
	if out, ok, err := relayer.Serve(ctx, s.intake.Grouping(s.store.Direct()), method, params); ok {
		return out, err
	}
	if out, ok, err := s.pool.Handle(ctx, method, params); ok {
		return out, err
	}
	if method == messenger.MethodCellClock {
		return s.handleClock(params)
	}
	if method == messenger.MethodRequestRoom {
		return s.handleRoomRequest(params)
	}
	if method == messenger.MethodSuccessor {
		return s.succession.answer(s.elector.Valid()), nil
	}
	if method == messenger.MethodConfig {
		return s.handleConfig(params)
	}
	return s.intake.Handle(ctx, method, params)
}

// localHolder returns the term of a cell, and false if this host does not hold it.
func (s *Supervisor) localHolder(cell identifier.Cell) (intake.Holder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.terms[cell]
	if !ok {
		return nil, false
	}
	return holderAdapter{t.term}, true
}

// setCells makes the running terms those of the held cells. It returns when the terms of all
// other cells have ended. The pool accepts hosts only while this host holds a cell.
func (s *Supervisor) setCells(held []identifier.Cell) {
	keep := map[identifier.Cell]bool{}
	for _, cell := range held {
		keep[cell] = true
	}
	ended := s.removeTermsExcept(keep)
	for _, t := range ended {
		t.stop()
	}
	for _, t := range ended {
		<-t.done
	}
	if len(held) == 0 {
		s.pool.Close()
		return
	}
	s.pool.Open()
	for _, cell := range held {
		s.startTerm(cell)
	}
}

// removeTermsExcept removes and returns the terms of all cells that are not in keep.
func (s *Supervisor) removeTermsExcept(keep map[identifier.Cell]bool) []*runningTerm {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []*runningTerm
	for cell, t := range s.terms {
		if !keep[cell] {
			delete(s.terms, cell)
			removed = append(removed, t)
		}
	}
	return removed
}

// startTerm starts the term of a cell unless it is already running.
func (s *Supervisor) startTerm(cell identifier.Cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.terms[cell]; ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t := &runningTerm{term: s.newTerm(cell), stop: cancel, done: make(chan struct{})}
	s.terms[cell] = t
	go s.runTerm(ctx, cell, t)
}

// newTerm returns a term of a cell that has not been started.
func (s *Supervisor) newTerm(cell identifier.Cell) *dispatcher.Term {
	settings := s.settings.Term
	settings.Planner.Cell, settings.Planner.Cells = cell, s.settings.Cells
	opts := []dispatcher.Option{
		dispatcher.WithLog(s.plannerLog), dispatcher.WithConfigObserver(s.directory.Expect), dispatcher.WithValidity(s.elector.Valid, s.elector.SinceRenewal),
		dispatcher.WithTenure(s.elector.Tenure), dispatcher.WithPauseCheck(s.elector.RecentlyActive), dispatcher.WithUptime(uptimer.SinceBoot),
		dispatcher.WithClockEstimate(func(ctx context.Context, takeover renewer.TakeoverID, began time.Duration) renewer.ClockEstimate {
			return s.estimateClock(ctx, cell, takeover, began)
		}),
		dispatcher.WithRoomRequests(func(ctx context.Context, to identifier.Cell, need planner.RoomNeed) error {
			return s.requestRoom(ctx, roomRequest{From: cell, To: to, Need: need})
		}),
	}
	if s.adviser != nil {
		opts = append(opts, dispatcher.WithAdviser(s.adviser), dispatcher.WithAdviceLine(s.adviceLine))
	}
	if s.recordEventWait != nil {
		opts = append(opts, dispatcher.WithEventWaitRecorder(s.recordEventWait))
	}
	return dispatcher.NewTerm(cell, settings, s.store, s.pool, s.logger, opts...)
}

// runTerm runs the term of a cell until ctx ends, replacing it by a new one whenever it fails.
func (s *Supervisor) runTerm(ctx context.Context, cell identifier.Cell, t *runningTerm) {
	defer close(t.done)
	unwatch := s.directory.WatchWorkers()
	defer unwatch()
	for {
		err := t.term.Run(ctx, s.directory.Current())
		if r, ok := t.term.CellClock(); ok {
			s.observeClock(cell, r)
		}
		if ctx.Err() != nil {
			s.logger.Info("term ends", zap.Int("cell", int(cell)))
			return
		}
		s.logger.Warn("term fails", zap.Int("cell", int(cell)), zap.Bool("superseded", errors.Is(err, dispatcher.ErrSuperseded)), logger.Err(err))
		select {
		case <-time.After(termRestartDelay):
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		t.term = s.newTerm(cell)
		s.mu.Unlock()
	}
}

// holderAdapter makes a term an intake.Holder by converting its job states to strings.
type holderAdapter struct{ *dispatcher.Term }

// State implements intake.Holder.
func (h holderAdapter) State(ctx context.Context, id identifier.Job) (state string, known bool, err error) {
	st, known, err := h.Term.State(ctx, id)
	return string(st), known, err
}
