// Package coordinator runs what an entry host shares with the others through
// the platform's log: the configuration, the life of tasks and the cell lease
// of its data centre. It holds no sockets; the platform is reached through the
// interfaces of package connector.
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

// Settings are what a coordinator needs to know about its host.
type Settings struct {
	Entry            identifier.Entry
	Incarnation      identifier.Incarnation
	DataCentre       identifier.DataCentre
	HomeShards       int
	Lease            lessor.Timing
	Follower         follower.Timing
	Scheduler        scheduler.Timing
	TickInterval     time.Duration
	HostPollInterval time.Duration
	Snapshot         SnapshotPolicy
}

// SnapshotPolicy says when the state of a stream is written again.
type SnapshotPolicy struct {
	// Records is the number of records after which a snapshot is due.
	Records identifier.Offset
	// Age is the time after which a snapshot is due; it must be well below the
	// time for which the log keeps records.
	Age time.Duration
}

const (
	effectWorkers = 256
	callTimeout   = time.Second
	// otherCellPoll is the interval at which the leases of other cells are read.
	otherCellPoll = time.Second
)

// stream is a followed stream with its appender.
type stream struct {
	name     identifier.Stream
	follower *follower.Follower
	appender *appender.Appender
}

// Coordinator is the shared part of an entry host. Its methods are safe for
// concurrent use.
type Coordinator struct {
	cfg    Settings
	log    connector.Log
	hosts  connector.HostList
	dial   connector.WorkerDialer
	logger *zap.Logger
	watch  func(Event)
	peers  func() []identifier.Incarnation
	pool   *ants.Pool

	config     stream
	configFold configFold
	homes      []stream
	homeFolds  []*homeFold
	cell       stream
	lessor     *lessor.CellLease

	mu       sync.Mutex
	set      *checker.Set
	listed   connector.Hosts
	hasHosts bool
	loaded   bool
	cells    map[identifier.DataCentre]*otherCell
	inbox    []scheduler.Event
	wake     chan struct{}
	group    *errgroup.Group
	groupCtx context.Context

	schedMu sync.Mutex
	sched   *scheduler.Scheduler
}

// otherCell is the lease of another data centre's cell as read here.
type otherCell struct {
	follower *follower.Follower
	lessor   *lessor.CellLease
}

// Event tells the host of a change: ConfigInForce, HostsRead or TaskStarted.
type Event interface{ isEvent() }

// ConfigInForce carries the configuration after a change.
type ConfigInForce struct {
	Set     *checker.Set
	Version identifier.ConfigVersion
}

// HostsRead carries the platform's host list.
type HostsRead struct{ Hosts connector.Hosts }

// TaskStarted says how long a task waited from its submission to its start.
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
func WithEventHandler(fn func(Event)) Option { return func(c *Coordinator) { c.watch = fn } }

// WithPeers sets what returns the other live hosts of the data centre.
func WithPeers(fn func() []identifier.Incarnation) Option {
	return func(c *Coordinator) { c.peers = fn }
}

// New returns a coordinator that has read nothing yet.
func New(cfg Settings, log connector.Log, hosts connector.HostList, dial connector.WorkerDialer, opts ...Option) (*Coordinator, error) {
	pool, err := ants.NewPool(effectWorkers, ants.WithDisablePurge(true))
	if err != nil {
		return nil, errors.Wrap(err, "create worker pool")
	}
	c := &Coordinator{
		cfg: cfg, log: log, hosts: hosts, dial: dial, pool: pool,
		logger: zap.NewNop(),
		watch:  func(Event) {},
		peers:  func() []identifier.Incarnation { return nil },
		set:    checker.NewSet(),
		cells:  map[identifier.DataCentre]*otherCell{},
		wake:   make(chan struct{}, 1),
		sched:  scheduler.New(cfg.DataCentre, cfg.Scheduler),
		lessor: lessor.New(cfg.Entry, cfg.Incarnation, cfg.Lease),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.config = c.newStream(identifier.ConfigStream, &c.configFold, c.configChanged)
	c.cell = c.newStream(identifier.CellStream(cfg.DataCentre), cellFold{c.lessor}, c.signal)
	for i := range cfg.HomeShards {
		fold := &homeFold{post: c.post}
		c.homeFolds = append(c.homeFolds, fold)
		c.homes = append(c.homes, c.newStream(identifier.HomeStream(i), fold, c.signal))
	}
	return c, nil
}

func (c *Coordinator) newStream(name identifier.Stream, fold follower.StateMachine, changed func()) stream {
	f := follower.New(c.log, name, fold, c.cfg.Follower, follower.WithLogger(c.logger), follower.WithOnChange(changed))
	return stream{name, f, appender.New(c.log, name, f)}
}

// Run works until ctx ends or a stream cannot be followed any further. The cell
// lease is given up at the end.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.pool.Release()
	group, ctx := errgroup.WithContext(ctx)
	c.mu.Lock()
	c.group, c.groupCtx = group, ctx
	c.mu.Unlock()
	for _, s := range c.streams() {
		group.Go(func() error { return s.follower.Run(ctx) })
		group.Go(func() error { return s.appender.Run(ctx) })
	}
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.listHosts(ctx) })
	group.Go(func() error { return c.writeSnapshots(ctx) })
	err := group.Wait()
	c.releaseLease()
	return err
}

func (c *Coordinator) streams() []stream {
	return append([]stream{c.config, c.cell}, c.homes...)
}

// post queues an event for the scheduler.
func (c *Coordinator) post(ev scheduler.Event) {
	c.mu.Lock()
	c.inbox = append(c.inbox, ev)
	c.mu.Unlock()
	c.signal()
}

func (c *Coordinator) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// configChanged decodes the configuration after it has changed.
func (c *Coordinator) configChanged() {
	var set *checker.Set
	var version identifier.ConfigVersion
	var err error
	c.config.follower.View(func() {
		if c.configFold.changed {
			c.configFold.changed = false
			version = c.configFold.Version()
			set, err = c.configFold.Set()
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
	c.set = set
	c.mu.Unlock()
	c.followCells(set)
	c.post(scheduler.ConfigChanged{Set: set})
	c.watch(ConfigInForce{set, version})
	c.logger.Info("configuration in force", zap.Uint64("version", uint64(version)))
}

// followCells follows the lease of every other data centre's cell.
func (c *Coordinator) followCells(set *checker.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group == nil {
		return
	}
	for dc := range set.DataCentres {
		if _, ok := c.cells[dc]; ok || dc == c.cfg.DataCentre {
			continue
		}
		view := lessor.New("", "", c.cfg.Lease)
		times := c.cfg.Follower
		times.PollInterval = max(times.PollInterval, otherCellPoll)
		f := follower.New(c.log, identifier.CellStream(dc), cellFold{view}, times)
		c.cells[dc] = &otherCell{f, view}
		ctx := c.groupCtx
		c.group.Go(func() error { return f.Run(ctx) })
	}
}

// loop feeds the scheduler and carries out its commands.
func (c *Coordinator) loop(ctx context.Context) error {
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

// takeEvents returns the queued events, followed by a look at the lease, at the
// other cells and at the time.
func (c *Coordinator) takeEvents() []scheduler.Event {
	tick := scheduler.Tick{ConfigCaughtUpAt: c.config.follower.CaughtUpAt(), TasksCaughtUpAt: c.taskProof()}
	c.mu.Lock()
	events := c.inbox
	c.inbox = nil
	c.mu.Unlock()
	return append(events, c.leaseEvent(), c.cellsEvent(), tick)
}

// taskProof returns the time at which all tasks were known.
func (c *Coordinator) taskProof() time.Time {
	var oldest time.Time
	for i, s := range c.homes {
		if p := s.follower.CaughtUpAt(); i == 0 || p.Before(oldest) {
			oldest = p
		}
	}
	return oldest
}

func (c *Coordinator) leaseEvent() scheduler.Event {
	var ev scheduler.LeaseChecked
	var holder identifier.Incarnation
	var seenAt time.Time
	c.cell.follower.View(func() {
		ev = scheduler.LeaseChecked{
			Held: c.lessor.Held(), ManagesRunning: c.lessor.IsLastHolder(),
			Epoch: c.lessor.Epoch(), RenewedAt: c.lessor.RenewedAt(),
		}
		holder, seenAt = c.lessor.HolderIncarnation(), c.lessor.LastSeenAt()
	})
	if !ev.ManagesRunning && c.standsIn(holder) {
		ev.ManagesRunning, ev.RenewedAt = true, seenAt
	}
	return ev
}

// standInAfterTTLs is how many lease durations the log must be out of reach
// before another host stands in for a holder that has gone.
const standInAfterTTLs = 2

// standsIn reports whether this host looks after the running tasks of its data
// centre in place of the holder: the log is out of reach, the holder has gone,
// and this host is the first of those left. Two that stand in at once renew
// the same leases under the same epoch.
func (c *Coordinator) standsIn(holder identifier.Incarnation) bool {
	proof := c.cell.follower.CaughtUpAt()
	if holder == "" || time.Since(proof) < standInAfterTTLs*c.cfg.Lease.TTL {
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

// cellsEvent says when the other cells were last seen to renew. A cell counts
// only while its stream is read up to date.
func (c *Coordinator) cellsEvent() scheduler.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := map[identifier.DataCentre]time.Time{}
	for dc, other := range c.cells {
		if time.Since(other.follower.CaughtUpAt()) < c.cfg.Scheduler.MaxStaleness+otherCellPoll {
			other.follower.View(func() { at[dc] = other.lessor.LastSeenAt() })
		}
	}
	return scheduler.CellLeasesObserved{RenewedAt: at}
}

// listHosts reads the platform's host list.
func (c *Coordinator) listHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		hosts, err := c.hosts.List(call)
		cancel()
		if err != nil {
			c.logger.Debug("host list not readable", zap.Error(err))
		} else {
			c.takeHosts(hosts)
		}
		pause(ctx, c.cfg.HostPollInterval)
	}
	return nil
}

func (c *Coordinator) takeHosts(hosts connector.Hosts) {
	c.mu.Lock()
	c.listed, c.hasHosts = hosts, true
	c.mu.Unlock()
	c.post(scheduler.HostsListed{Workers: hosts.Workers})
	c.watch(HostsRead{hosts})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
