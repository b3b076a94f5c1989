// Package coordinator runs the part of an entry host whose state is shared with other hosts through
// the platform's log: the configuration, the tasks and the cell lease of its data centre. It opens
// no connections itself; it reaches the platform through the interfaces of package connector.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamcove/balsamcove/internal/appender"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/follower"
	"github.com/balsamcove/balsamcove/internal/lessor"
	"github.com/balsamcove/balsamcove/internal/scheduler"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Settings configures a Coordinator.
type Settings struct {
	Entry identifier.Entry
	// Incarnation tells apart the successive runs of an entry host.
	Incarnation identifier.Incarnation
	DataCentre  identifier.DataCentre
	// HomeShards is the number of home streams over which the tasks are spread.
	HomeShards int
	Lease      lessor.Timing
	Follower   follower.Timing
	Scheduler  scheduler.Timing
	// TickInterval is the interval at which the scheduler runs even without events.
	TickInterval time.Duration
	// HostPollInterval is the wait between reads of the platform's host list.
	HostPollInterval time.Duration
	Snapshot         SnapshotPolicy
}

// SnapshotPolicy sets when a new snapshot of a stream's state is written.
type SnapshotPolicy struct {
	// Records is the number of records since the last snapshot after which the next is due.
	Records identifier.Offset
	// Age is how old the last snapshot gets at most if there are records since. It must be well below the
	// retention time of the log.
	Age time.Duration
}

const (
	// maxConcurrentCalls bounds the worker calls and lease renewals that run at a time.
	maxConcurrentCalls = 256
	// callTimeout is the timeout of one call to a worker, the host list or the log.
	callTimeout = time.Second
	// otherCellPollInterval is the shortest interval between reads of another cell's lease.
	otherCellPollInterval = time.Second
)

// stream is a log stream with its follower and appender.
type stream struct {
	name     identifier.Stream
	follower *follower.Follower
	appender *appender.Appender
}

// Coordinator follows the log streams that this host needs, feeds their changes to the scheduler of
// its data centre and carries out the scheduler's commands. Its methods are safe for concurrent
// use.
type Coordinator struct {
	cfg      Settings
	log      connector.Log
	hosts    connector.HostList
	dial     connector.WorkerDialer
	logger   *zap.Logger
	onEvent  func(Event)
	peers    func() []identifier.Incarnation
	callPool *ants.Pool
	// renewals are the renewals of the cell lease under way.
	renewals sync.WaitGroup

	// The state machines and the lease are guarded by View of their stream's follower.
	config    stream
	configFSM configFSM
	homes     []stream
	homeFSMs  []*homeFSM
	cell      stream
	lease     *lessor.CellLease

	mu             sync.Mutex
	activeConfig   *checker.Set
	hostList       connector.Hosts
	hasHosts       bool
	loadedFromPeer bool
	otherCells     map[identifier.DataCentre]*otherCell
	pendingEvents  []scheduler.Event
	wake           chan struct{}
	// group runs the goroutines of Run under groupCtx; nil before Run.
	group    *errgroup.Group
	groupCtx context.Context

	schedMu sync.Mutex
	sched   *scheduler.Scheduler
}

// otherCell is this host's view of the cell lease of another data centre.
type otherCell struct {
	follower *follower.Follower
	lease    *lessor.CellLease
}

// Event notifies the host of a change: ConfigInForce, HostsRead or TaskStarted.
type Event interface{ isEvent() }

// ConfigInForce carries the configuration after a change.
type ConfigInForce struct {
	Set     *checker.Set
	Version identifier.ConfigVersion
}

// HostsRead carries the platform's host list.
type HostsRead struct{ Hosts connector.Hosts }

// TaskStarted reports that a worker accepted a task, and the time since the task was submitted.
type TaskStarted struct {
	Pool *parser.BatchPool
	Wait time.Duration
}

func (ConfigInForce) isEvent() {}
func (HostsRead) isEvent()     {}
func (TaskStarted) isEvent()   {}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(c *Coordinator) { c.logger = l } }

// WithEventHandler calls fn for every event; fn must be safe for concurrent use.
func WithEventHandler(fn func(Event)) Option { return func(c *Coordinator) { c.onEvent = fn } }

// WithPeers sets the function that returns the other live entry hosts of the data centre.
func WithPeers(fn func() []identifier.Incarnation) Option {
	return func(c *Coordinator) { c.peers = fn }
}

// New returns a coordinator. It reads nothing before Run.
func New(cfg Settings, log connector.Log, hosts connector.HostList, dial connector.WorkerDialer, opts ...Option) (*Coordinator, error) {
	pool, err := ants.NewPool(maxConcurrentCalls, ants.WithDisablePurge(true))
	if err != nil {
		return nil, errors.Wrap(err, "create goroutine pool")
	}
	c := &Coordinator{
		cfg: cfg, log: log, hosts: hosts, dial: dial, callPool: pool,
		logger:       zap.NewNop(),
		onEvent:      func(Event) {},
		peers:        func() []identifier.Incarnation { return nil },
		activeConfig: checker.NewSet(),
		otherCells:   map[identifier.DataCentre]*otherCell{},
		wake:         make(chan struct{}, 1),
		sched:        scheduler.New(cfg.DataCentre, cfg.Scheduler),
		lease:        lessor.New(cfg.Entry, cfg.Incarnation, cfg.Lease),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.config = c.newStream(identifier.ConfigStream, &c.configFSM, c.configChanged)
	c.cell = c.newStream(identifier.CellStream(cfg.DataCentre), cellFSM{c.lease}, c.wakeScheduler)
	for i := range cfg.HomeShards {
		fsm := &homeFSM{postEvent: c.postEvent}
		c.homeFSMs = append(c.homeFSMs, fsm)
		c.homes = append(c.homes, c.newStream(identifier.HomeStream(i), fsm, c.wakeScheduler))
	}
	return c, nil
}

func (c *Coordinator) newStream(name identifier.Stream, fsm follower.StateMachine, onChange func()) stream {
	f := follower.New(c.log, name, fsm, c.cfg.Follower, follower.WithLogger(c.logger), follower.WithOnChange(onChange))
	return stream{name, f, appender.New(c.log, name, f)}
}

// Run runs the coordinator until ctx ends, and then returns nil, or until a stream cannot be
// followed any further. It releases the cell lease at the end.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.callPool.Release()
	group, ctx := errgroup.WithContext(ctx)
	c.mu.Lock()
	c.group, c.groupCtx = group, ctx
	c.mu.Unlock()
	for _, s := range c.streams() {
		group.Go(func() error { return s.follower.Run(ctx) })
		group.Go(func() error { return s.appender.Run(ctx) })
	}
	group.Go(func() error { return c.runScheduler(ctx) })
	group.Go(func() error { return c.pollHosts(ctx) })
	group.Go(func() error { return c.writeSnapshots(ctx) })
	err := group.Wait()
	// A renewal that reached the log after the release would take the lease again.
	c.renewals.Wait()
	c.releaseLease()
	return err
}

func (c *Coordinator) streams() []stream {
	return append([]stream{c.config, c.cell}, c.homes...)
}

// postEvent queues an event for the scheduler.
func (c *Coordinator) postEvent(ev scheduler.Event) {
	c.mu.Lock()
	c.pendingEvents = append(c.pendingEvents, ev)
	c.mu.Unlock()
	c.wakeScheduler()
}

// wakeScheduler makes runScheduler run without waiting for the next tick.
func (c *Coordinator) wakeScheduler() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// configChanged decodes the configuration if it has changed and passes it on to the scheduler and
// the host. The previous one stays in force if an object cannot be decoded.
func (c *Coordinator) configChanged() {
	var set *checker.Set
	var version identifier.ConfigVersion
	var err error
	c.config.follower.View(func() {
		if c.configFSM.changed {
			c.configFSM.changed = false
			version = c.configFSM.Version()
			set, err = c.configFSM.Set()
		}
	})
	if err != nil {
		c.logger.Error("configuration is not readable", zap.Error(err))
		return
	}
	if set == nil {
		return
	}
	c.mu.Lock()
	c.activeConfig = set
	c.mu.Unlock()
	c.followOtherCells(set)
	c.postEvent(scheduler.ConfigChanged{Set: set})
	c.onEvent(ConfigInForce{set, version})
	c.logger.Info("configuration in force", zap.Uint64("version", uint64(version)))
}

// followOtherCells starts to follow the cell lease of every other data centre in the configuration.
func (c *Coordinator) followOtherCells(set *checker.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group == nil {
		return
	}
	for dc := range set.DataCentres {
		if _, ok := c.otherCells[dc]; ok || dc == c.cfg.DataCentre {
			continue
		}
		lease := lessor.New("", "", c.cfg.Lease)
		timing := c.cfg.Follower
		timing.PollInterval = max(timing.PollInterval, otherCellPollInterval)
		f := follower.New(c.log, identifier.CellStream(dc), cellFSM{lease}, timing)
		c.otherCells[dc] = &otherCell{f, lease}
		ctx := c.groupCtx
		c.group.Go(func() error { return f.Run(ctx) })
	}
}

// runScheduler feeds queued events to the scheduler and carries out its commands, at every tick and
// whenever it is woken.
func (c *Coordinator) runScheduler(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-ticker.C:
		}
		c.renewLease()
		for _, ev := range c.takeEvents() {
			for _, cmd := range c.update(ev) {
				c.execute(ctx, cmd)
			}
		}
	}
}

func (c *Coordinator) update(ev scheduler.Event) []scheduler.Command {
	c.schedMu.Lock()
	defer c.schedMu.Unlock()
	return c.sched.Update(ev)
}

// takeEvents returns the queued events, followed by the present state of the cell lease, of the
// other cells' leases, and a tick.
func (c *Coordinator) takeEvents() []scheduler.Event {
	tick := scheduler.Tick{ConfigCaughtUpAt: c.config.follower.CaughtUpAt(), TasksCaughtUpAt: c.tasksCaughtUpAt()}
	c.mu.Lock()
	events := c.pendingEvents
	c.pendingEvents = nil
	c.mu.Unlock()
	return append(events, c.leaseEvent(), c.cellLeasesEvent(), tick)
}

// tasksCaughtUpAt returns the latest time at which the state of all tasks was known: the earliest
// such time of any home stream.
func (c *Coordinator) tasksCaughtUpAt() time.Time {
	var oldest time.Time
	for i, s := range c.homes {
		if p := s.follower.CaughtUpAt(); i == 0 || p.Before(oldest) {
			oldest = p
		}
	}
	return oldest
}

// leaseEvent returns the state of this data centre's cell lease. A host that stands in for the
// holder takes the holder's last renewal as its own, so that the tasks' cut-off grace counts from
// there.
func (c *Coordinator) leaseEvent() scheduler.Event {
	var ev scheduler.LeaseChecked
	var holder identifier.Incarnation
	var seenAt time.Time
	c.cell.follower.View(func() {
		ev = scheduler.LeaseChecked{
			Held: c.lease.Held(), ManagesRunning: c.lease.IsLastHolder(),
			Epoch: c.lease.Epoch(), RenewedAt: c.lease.RenewedAt(),
		}
		holder, seenAt = c.lease.HolderIncarnation(), c.lease.LastSeenAt()
	})
	if !ev.ManagesRunning && c.isStandIn(holder) {
		ev.ManagesRunning, ev.RenewedAt = true, seenAt
	}
	return ev
}

// standInAfterTTLs is the number of cell lease durations for which the log must be out of reach
// before another host stands in for a holder that is gone.
const standInAfterTTLs = 2

// isStandIn reports whether this host manages the running tasks of its data centre in place of the
// lease holder: the log is out of reach, the holder is not among the live hosts, and this host has
// the lowest incarnation of them. Two hosts that stand in at once do no harm: they renew the same
// worker leases under the same epoch.
func (c *Coordinator) isStandIn(holder identifier.Incarnation) bool {
	caughtUpAt := c.cell.follower.CaughtUpAt()
	if holder == "" || time.Since(caughtUpAt) < standInAfterTTLs*c.cfg.Lease.TTL {
		return false
	}
	first := c.cfg.Incarnation
	for _, peer := range c.peers() {
		if peer == holder {
			return false
		}
		first = min(first, peer)
	}
	return first == c.cfg.Incarnation
}

// cellLeasesEvent returns when the other cells were last seen to renew their leases. It leaves out
// a cell whose stream this host has not read recently, because silence then proves nothing.
func (c *Coordinator) cellLeasesEvent() scheduler.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := map[identifier.DataCentre]time.Time{}
	for dc, other := range c.otherCells {
		if time.Since(other.follower.CaughtUpAt()) < c.cfg.Scheduler.MaxStaleness+otherCellPollInterval {
			other.follower.View(func() { at[dc] = other.lease.LastSeenAt() })
		}
	}
	return scheduler.CellLeasesObserved{RenewedAt: at}
}

// pollHosts reads the platform's host list at every HostPollInterval until ctx ends.
func (c *Coordinator) pollHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		hosts, err := c.hosts.List(callCtx)
		cancel()
		if err != nil {
			c.logger.Debug("host list cannot be read", zap.Error(err))
		} else {
			c.setHosts(hosts)
		}
		sleep(ctx, c.cfg.HostPollInterval)
	}
	return nil
}

func (c *Coordinator) setHosts(hosts connector.Hosts) {
	c.mu.Lock()
	c.hostList, c.hasHosts = hosts, true
	c.mu.Unlock()
	c.postEvent(scheduler.HostsListed{Workers: hosts.Workers})
	c.onEvent(HostsRead{hosts})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
