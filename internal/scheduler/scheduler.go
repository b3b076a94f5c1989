// Package scheduler decides for one data centre which waiting task is claimed, on which worker it
// starts, and when a running task is stopped. It does no I/O: Update takes an event and returns
// the commands for its caller to carry out.
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

// Timing holds the scheduler's intervals and timeouts.
type Timing struct {
	// WorkerTTL is the duration of a lease on a worker.
	WorkerTTL time.Duration
	// WorkerRenewInterval is the interval between renewals of a lease on a worker.
	WorkerRenewInterval time.Duration
	// MaxStaleness is how long ago this host may have last caught up with the configuration and
	// the home streams and still claim and start tasks.
	MaxStaleness time.Duration
	// ClaimDelay is how long a data centre waits for each one that is preferred to it before it
	// claims a task itself.
	ClaimDelay time.Duration
	// ResendInterval is the shortest time between two appends of records about the same task, or
	// between two stop calls for it. A claim that the log has not shown by then is given up.
	ResendInterval time.Duration
}

const (
	// maxUnansweredCalls is the number of consecutive unanswered lease calls after which a worker
	// with tasks is no longer called, because each call may still extend its lease.
	maxUnansweredCalls = 2
	// lostAfterTTLs is the number of worker lease durations after the last unanswered call by
	// which the worker's tasks have certainly stopped. Each unanswered call may have arrived just
	// before the lease ran out and extended it once more.
	lostAfterTTLs = maxUnansweredCalls + 1
	// probeAfterTTLs is the number of worker lease durations after which an unresponsive worker
	// is called again.
	probeAfterTTLs = 2 * lostAfterTTLs
	// maxPendingClaims is the largest number of claims in flight at a time.
	maxPendingClaims = 256
	// cutOffMargin is added to the grace of a task, together with an eighth of the grace for
	// clocks that run at different rates, before another data centre may take the task over.
	cutOffMargin = 20 * time.Second
)

// pendingClaim is a claim that was sent to the log and has not been read back. Its room and quota
// stay reserved until expiresAt.
type pendingClaim struct {
	worker    identifier.Worker
	size      identifier.Size
	team      identifier.Team
	expiresAt time.Time
}

// attemptState is what this host knows, beyond the log, about the present attempt of a task that
// is claimed in its data centre.
type attemptState struct {
	// startLease is the worker lease under which the attempt was last started.
	startLease   identifier.Lease
	startPending bool
	nextStartAt  time.Time
	// confirmed is set once the worker has accepted or reported the attempt.
	confirmed   bool
	confirmedAt time.Time
	// stopReason is empty unless the attempt is to be stopped.
	stopReason encoder.Reason
	stopSentAt time.Time
	// appendedAt is when a record about the attempt was last sent to the log.
	appendedAt time.Time
}

// Scheduler claims, starts and stops the tasks of one data centre. It is not safe for concurrent
// use.
type Scheduler struct {
	dc       identifier.DataCentre
	timing   Timing
	strategy placer.Strategy

	config *checker.Set
	// tasks holds every task of the log that has not ended.
	tasks         map[identifier.Task]tracker.Task
	waiting       queue
	pendingClaims map[identifier.Task]pendingClaim
	attempts      map[identifier.Task]*attemptState
	claimedHere   map[identifier.Task]bool
	// toReconcile is the subset of claimedHere that is not known to run as wanted.
	toReconcile map[identifier.Task]bool
	// nextResync is when all of claimedHere is visited again.
	nextResync       time.Time
	claimedElsewhere map[identifier.Task]bool
	teamUsage        map[identifier.Team]identifier.Size
	workers          map[identifier.Worker]*worker
	// cellRenewedAt is when the other cells were last seen to renew their leases.
	cellRenewedAt  map[identifier.DataCentre]time.Time
	cellLease      LeaseChecked
	leaseHeldSince time.Time
	tick           Tick
	// nextDrainAt is when the drain rate allows the next task to stop.
	nextDrainAt time.Time
	// emitted collects the commands of the running Update.
	emitted []Command
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithStrategy sets the placement strategy; the default is placer.BestFit.
func WithStrategy(p placer.Strategy) Option { return func(s *Scheduler) { s.strategy = p } }

// New returns a scheduler for the data centre dc without configuration, tasks or workers. Events
// provide them.
func New(dc identifier.DataCentre, timing Timing, opts ...Option) *Scheduler {
	strategy, err := placer.Strategies.Get(placer.BestFit)
	if err != nil {
		panic(err)
	}
	s := &Scheduler{
		dc: dc, timing: timing, strategy: strategy,
		config:           checker.NewSet(),
		tasks:            map[identifier.Task]tracker.Task{},
		pendingClaims:    map[identifier.Task]pendingClaim{},
		attempts:         map[identifier.Task]*attemptState{},
		claimedHere:      map[identifier.Task]bool{},
		toReconcile:      map[identifier.Task]bool{},
		claimedElsewhere: map[identifier.Task]bool{},
		teamUsage:        map[identifier.Team]identifier.Size{},
		workers:          map[identifier.Worker]*worker{},
		cellRenewedAt:    map[identifier.DataCentre]time.Time{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Update applies an event to the state and returns the commands to carry out.
func (s *Scheduler) Update(ev Event) []Command {
	s.emitted = nil
	switch e := ev.(type) {
	case ConfigChanged:
		s.setConfig(e.Set)
	case TaskChanged:
		s.taskChanged(e.Task)
	case TasksReset:
		s.loadTasks(e.Tasks)
	case HostsListed:
		s.hostsListed(e.Workers)
	case LeaseChecked:
		s.leaseChecked(e)
	case CellLeasesObserved:
		s.cellRenewedAt = e.RenewedAt
	case WorkerAnswered:
		s.workerAnswered(e)
	case WorkerCallFailed:
		s.workerCallFailed(e)
	case StartAnswered:
		s.startAnswered(e)
	case Tick:
		s.tick = e
		s.onTick()
	}
	return s.emitted
}

func (s *Scheduler) emit(c Command) { s.emitted = append(s.emitted, c) }

// setConfig replaces the configuration and derives the queue and the quota usage anew from it.
func (s *Scheduler) setConfig(set *checker.Set) {
	s.config = set
	s.teamUsage = map[identifier.Team]identifier.Size{}
	s.waiting.clear()
	for _, t := range s.tasks {
		s.index(t)
	}
}

func (s *Scheduler) loadTasks(tasks []tracker.Task) {
	for _, t := range tasks {
		s.taskChanged(t)
	}
}

// taskChanged takes the new state of a task. A pending claim ends with any record that makes the
// task leave the queue; the state of the attempt is dropped when the attempt is over.
func (s *Scheduler) taskChanged(t tracker.Task) {
	if old, ok := s.tasks[t.ID]; ok {
		s.unindex(old)
	}
	if c, ok := s.pendingClaims[t.ID]; ok && t.State != tracker.StateWaiting {
		delete(s.pendingClaims, t.ID)
		s.unreserve(c.worker, t.ID)
	}
	if t.State == tracker.StateEnded {
		delete(s.tasks, t.ID)
		delete(s.attempts, t.ID)
		return
	}
	if t.State == tracker.StateWaiting {
		delete(s.attempts, t.ID)
	}
	s.tasks[t.ID] = t
	s.index(t)
}

// index adds a task to the state derived from tasks: the queue, quota usage and worker
// reservations. unindex removes it again.
func (s *Scheduler) index(t tracker.Task) {
	pool := s.config.Pools[t.Pool]
	if t.State == tracker.StateWaiting {
		s.waiting.insert(newQueueEntry(t, pool))
		return
	}
	if pool != nil {
		s.teamUsage[pool.Team] = s.teamUsage[pool.Team].Add(t.Size)
	}
	if t.DataCentre != s.dc {
		s.claimedElsewhere[t.ID] = true
		return
	}
	s.claimedHere[t.ID] = true
	s.toReconcile[t.ID] = true
	s.reserve(t.Worker, t.ID, t.Size)
}

func (s *Scheduler) unindex(t tracker.Task) {
	pool := s.config.Pools[t.Pool]
	if t.State == tracker.StateWaiting {
		s.waiting.remove(t.ID)
		return
	}
	if pool != nil {
		s.teamUsage[pool.Team] = s.teamUsage[pool.Team].Sub(t.Size)
	}
	delete(s.claimedElsewhere, t.ID)
	delete(s.claimedHere, t.ID)
	delete(s.toReconcile, t.ID)
	if t.DataCentre == s.dc {
		s.unreserve(t.Worker, t.ID)
	}
}

// leaseChecked takes the state of the cell lease. A new epoch drops what was known of workers and
// attempts, and a newly held lease makes the next tick visit every task.
func (s *Scheduler) leaseChecked(e LeaseChecked) {
	if e.Held && (!s.cellLease.Held || e.Epoch != s.cellLease.Epoch) {
		s.leaseHeldSince = time.Now()
		s.nextResync = time.Time{}
	}
	if e.Epoch != s.cellLease.Epoch {
		s.resetEpochState()
	}
	s.cellLease = e
}

// mayPlace reports whether this host may claim and start tasks: it holds the cell lease, has read
// everything that earlier holders wrote to the log, and its state is fresh.
func (s *Scheduler) mayPlace() bool {
	return s.cellLease.Held && s.tick.TasksCaughtUpAt.After(s.leaseHeldSince) && s.fresh()
}

// fresh reports whether configuration and tasks were complete at most MaxStaleness ago.
func (s *Scheduler) fresh() bool {
	now := time.Now()
	return now.Sub(s.tick.ConfigCaughtUpAt) < s.timing.MaxStaleness && now.Sub(s.tick.TasksCaughtUpAt) < s.timing.MaxStaleness
}

// inService reports whether the configuration lets this data centre take work.
func (s *Scheduler) inService() bool {
	dc, ok := s.config.DataCentres[s.dc]
	return ok && dc.State == parser.InService
}

// onTick does what is due. Worker leases are renewed and tasks stopped as long as this host manages
// the running tasks; records are appended only by a lease holder that has read the whole log, and
// tasks are claimed and started only if its state is fresh as well.
func (s *Scheduler) onTick() {
	s.expireClaims()
	if !s.cellLease.ManagesRunning {
		return
	}
	s.renewWorkerLeases()
	tasks, resync := s.tasksToReconcile()
	s.stopUnwanted(tasks)
	if !s.cellLease.Held || !s.tick.TasksCaughtUpAt.After(s.leaseHeldSince) {
		return
	}
	if resync {
		s.releaseTasksOfLostWorkers()
		s.processReports()
	}
	if !s.mayPlace() {
		return
	}
	s.startClaimed(tasks)
	s.claimWaiting()
	if resync {
		s.releaseCutOffTasks()
	}
}

// resyncInterval is the time between two visits of every task claimed here. In between, only the
// tasks in toReconcile are visited.
const resyncInterval = time.Second

// tasksToReconcile returns the tasks to visit at this tick, and whether these are all tasks
// claimed here. A drained data centre visits all of them at every tick.
func (s *Scheduler) tasksToReconcile() (map[identifier.Task]bool, bool) {
	now := time.Now()
	if now.Before(s.nextResync) && s.inService() {
		s.dropReconciled()
		return s.toReconcile, false
	}
	s.nextResync = now.Add(resyncInterval)
	return s.claimedHere, true
}

// dropReconciled removes from toReconcile the tasks that their workers report as running and that
// are not to be stopped.
func (s *Scheduler) dropReconciled() {
	for id := range s.toReconcile {
		t := s.tasks[id]
		r, reported := s.worker(t.Worker).reported[id]
		running := reported && r.Attempt == t.Attempt && r.Phase == connector.PhaseRunning
		if running && !t.Cancelled && s.attempt(id).stopReason == "" {
			delete(s.toReconcile, id)
		}
	}
}

// expireClaims gives up the claims that the log has not shown in time, and frees their room.
func (s *Scheduler) expireClaims() {
	now := time.Now()
	for id, c := range s.pendingClaims {
		if now.After(c.expiresAt) {
			delete(s.pendingClaims, id)
			s.unreserve(c.worker, id)
		}
	}
}

// attempt returns the state of a task's present attempt, creating it if needed.
func (s *Scheduler) attempt(id identifier.Task) *attemptState {
	a, ok := s.attempts[id]
	if !ok {
		a = &attemptState{}
		s.attempts[id] = a
	}
	return a
}
