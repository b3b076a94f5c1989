// Package scheduler decides for one data centre which waiting task is claimed,
// on which worker it starts, and when a running one is stopped. It does no
// I/O: Update takes an event and returns the commands that follow from it.
package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/placer"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Timing are the durations that the scheduler works with.
type Timing struct {
	// WorkerTTL is the duration of a lease on a worker.
	WorkerTTL time.Duration
	// WorkerRenewInterval is the interval between renewals of a lease on a worker.
	WorkerRenewInterval time.Duration
	// MaxStaleness is the greatest age of the proofs under which tasks start.
	MaxStaleness time.Duration
	// ClaimDelay is how long a less preferred data centre waits for a more
	// preferred one to claim a task.
	ClaimDelay time.Duration
	// ResendInterval is the wait before a record or a stop is sent again.
	ResendInterval time.Duration
}

const (
	// maxSilentCalls is how many calls that may extend the lease of a worker go
	// unanswered before the worker is left alone.
	maxSilentCalls = 2
	// lostAfterTTLs is how many worker lease durations pass after the last such
	// call before the tasks of a silent worker have certainly stopped: each call
	// may have arrived just before the lease ran out.
	lostAfterTTLs = maxSilentCalls + 1
	// probeAfterTTLs is how many worker lease durations pass before a silent
	// worker is called again.
	probeAfterTTLs = 2 * lostAfterTTLs
	// maxClaims is the largest number of claims that are awaited at a time.
	maxClaims = 256
	// cutOffMargin is added to the grace of a task before another data centre
	// may take it over, beside an eighth of the grace for clock rates.
	cutOffMargin = 20 * time.Second
)

// claim is a claim that was sent and whose verdict is not known.
type claim struct {
	worker  identifier.Worker
	size    identifier.Size
	team    identifier.Team
	expires time.Time
}

// local is what this host knows of a task claimed here beyond the log.
type local struct {
	startSent  identifier.Lease
	startBusy  bool
	nextStart  time.Time
	seen       bool
	seenAt     time.Time
	stopping   encoder.Reason
	stopSentAt time.Time
	recordedAt time.Time
}

// Scheduler is the state of one data centre's scheduler. It is not safe for
// concurrent use.
type Scheduler struct {
	dc       identifier.DataCentre
	times    Timing
	strategy placer.Strategy

	set       *checker.Set
	tasks     map[identifier.Task]tracker.Task
	waiting   queue
	claims    map[identifier.Task]claim
	locals    map[identifier.Task]*local
	here      map[identifier.Task]bool
	unsettled map[identifier.Task]bool
	nextSweep time.Time
	remote    map[identifier.Task]bool
	usage     map[identifier.Team]identifier.Size
	workers   map[identifier.Worker]*worker
	cells     map[identifier.DataCentre]time.Time
	lease     LeaseChecked
	heldSince time.Time
	tick      Tick
	drainNext time.Time
	out       []Command
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithStrategy sets the placement strategy.
func WithStrategy(s placer.Strategy) Option { return func(k *Scheduler) { k.strategy = s } }

// New returns the scheduler of a data centre that knows nothing yet.
func New(dc identifier.DataCentre, times Timing, opts ...Option) *Scheduler {
	strategy, err := placer.Strategies.Get(placer.BestFit)
	if err != nil {
		panic(err)
	}
	s := &Scheduler{
		dc: dc, times: times, strategy: strategy,
		set:       checker.NewSet(),
		tasks:     map[identifier.Task]tracker.Task{},
		claims:    map[identifier.Task]claim{},
		locals:    map[identifier.Task]*local{},
		here:      map[identifier.Task]bool{},
		unsettled: map[identifier.Task]bool{},
		remote:    map[identifier.Task]bool{},
		usage:     map[identifier.Team]identifier.Size{},
		workers:   map[identifier.Worker]*worker{},
		cells:     map[identifier.DataCentre]time.Time{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Update folds an event into the state and returns what is to be done.
func (s *Scheduler) Update(ev Event) []Command {
	s.out = nil
	switch e := ev.(type) {
	case ConfigChanged:
		s.configure(e.Set)
	case TaskChanged:
		s.taskChanged(e.Task)
	case TasksReset:
		s.reset(e.Tasks)
	case HostsListed:
		s.listWorkers(e.Workers)
	case LeaseChecked:
		s.checkLease(e)
	case CellLeasesObserved:
		s.cells = e.RenewedAt
	case WorkerAnswered:
		s.workerAnswered(e)
	case WorkerCallFailed:
		s.workerFailed(e)
	case StartAnswered:
		s.startAnswered(e)
	case Tick:
		s.tick = e
		s.onTick()
	}
	return s.out
}

func (s *Scheduler) emit(c Command) { s.out = append(s.out, c) }

func (s *Scheduler) configure(set *checker.Set) {
	s.set = set
	s.usage = map[identifier.Team]identifier.Size{}
	s.waiting.clear()
	for _, t := range s.tasks {
		s.index(t)
	}
}

func (s *Scheduler) reset(tasks []tracker.Task) {
	for _, t := range tasks {
		s.taskChanged(t)
	}
}

func (s *Scheduler) taskChanged(t tracker.Task) {
	if old, ok := s.tasks[t.ID]; ok {
		s.unindex(old)
	}
	if c, ok := s.claims[t.ID]; ok && t.State != tracker.StateWaiting {
		delete(s.claims, t.ID)
		s.release(c.worker, t.ID)
	}
	if t.State == tracker.StateEnded {
		delete(s.tasks, t.ID)
		delete(s.locals, t.ID)
		return
	}
	if t.State == tracker.StateWaiting {
		delete(s.locals, t.ID)
	}
	s.tasks[t.ID] = t
	s.index(t)
}

// index adds a task to the derived state.
func (s *Scheduler) index(t tracker.Task) {
	pool := s.set.Pools[t.Pool]
	if t.State == tracker.StateWaiting {
		s.waiting.insert(waitingTask(t, pool))
		return
	}
	if pool != nil {
		s.usage[pool.Team] = s.usage[pool.Team].Add(t.Size)
	}
	if t.DataCentre != s.dc {
		s.remote[t.ID] = true
		return
	}
	s.here[t.ID] = true
	s.unsettled[t.ID] = true
	s.reserve(t.Worker, t.ID, t.Size)
}

func (s *Scheduler) unindex(t tracker.Task) {
	pool := s.set.Pools[t.Pool]
	if t.State == tracker.StateWaiting {
		s.waiting.remove(t.ID)
		return
	}
	if pool != nil {
		s.usage[pool.Team] = s.usage[pool.Team].Sub(t.Size)
	}
	delete(s.remote, t.ID)
	delete(s.here, t.ID)
	delete(s.unsettled, t.ID)
	if t.DataCentre == s.dc {
		s.release(t.Worker, t.ID)
	}
}

func (s *Scheduler) checkLease(e LeaseChecked) {
	if e.Held && (!s.lease.Held || e.Epoch != s.lease.Epoch) {
		s.heldSince = time.Now()
		s.nextSweep = time.Time{}
	}
	if e.Epoch != s.lease.Epoch {
		s.forgetLeases()
	}
	s.lease = e
}

// ready reports whether this host may claim and start tasks: it holds the
// lease, and has read all that earlier holders decided.
func (s *Scheduler) ready() bool {
	return s.lease.Held && s.tick.TasksCaughtUpAt.After(s.heldSince) && s.fresh()
}

// fresh reports whether configuration and tasks were complete a moment ago.
func (s *Scheduler) fresh() bool {
	now := time.Now()
	return now.Sub(s.tick.ConfigCaughtUpAt) < s.times.MaxStaleness && now.Sub(s.tick.TasksCaughtUpAt) < s.times.MaxStaleness
}

// inService reports whether the operators let this data centre take work.
func (s *Scheduler) inService() bool {
	dc, ok := s.set.DataCentres[s.dc]
	return ok && dc.State == parser.InService
}

func (s *Scheduler) onTick() {
	s.expireClaims()
	if !s.lease.ManagesRunning {
		return
	}
	s.renewWorkers()
	tasks, sweep := s.tasksToVisit()
	s.stopUnwanted(tasks)
	if !s.lease.Held || !s.tick.TasksCaughtUpAt.After(s.heldSince) {
		return
	}
	if sweep {
		s.settleLostWorkers()
		s.recordReports()
	}
	if !s.ready() {
		return
	}
	s.startClaimed(tasks)
	s.claimWaiting()
	if sweep {
		s.releaseCutOff()
	}
}

// sweepInterval is the time between two visits to every task. Between them only
// those are visited that are not known to run undisturbed.
const sweepInterval = time.Second

// tasksToVisit returns the tasks that this pass looks at, and whether they are
// all. A data centre that is being drained visits all at every pass.
func (s *Scheduler) tasksToVisit() (map[identifier.Task]bool, bool) {
	now := time.Now()
	if now.Before(s.nextSweep) && s.inService() {
		s.dropSettled()
		return s.unsettled, false
	}
	s.nextSweep = now.Add(sweepInterval)
	return s.here, true
}

// dropSettled leaves out the tasks that their workers report as running and
// that nobody wants stopped.
func (s *Scheduler) dropSettled() {
	for id := range s.unsettled {
		t := s.tasks[id]
		r, reported := s.worker(t.Worker).reported[id]
		running := reported && r.Attempt == t.Attempt && r.Phase == connector.PhaseRunning
		if running && !t.Cancelled && s.local(id).stopping == "" {
			delete(s.unsettled, id)
		}
	}
}

func (s *Scheduler) expireClaims() {
	now := time.Now()
	for id, c := range s.claims {
		if now.After(c.expires) {
			delete(s.claims, id)
			s.release(c.worker, id)
		}
	}
}

func (s *Scheduler) local(id identifier.Task) *local {
	l, ok := s.locals[id]
	if !ok {
		l = &local{}
		s.locals[id] = l
	}
	return l
}
