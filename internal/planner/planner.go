// Package planner decides, for one cell, which worker runs which task and when.
// It does no I/O: Update takes events in and gives commands out, and time is
// what the caller says it is.
//
// A start is sent only after its claim is stored, so that a later holder knows
// every worker on which a task may be running. The end of a run is forgotten by
// its worker only after it is stored here.
package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/limiter"
	"github.com/balsamcove/balsamcove/internal/profiler"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// sequenceBits is the part of an epoch that rises within a holder's term.
	sequenceBits = 20
	// maxClockDrift is how much slower than ours a worker's clock may be.
	maxClockDrift = 0.02
	// fallbackLease bounds a lease of a planner without settings.
	fallbackLease = 6 * time.Second
)

// Settings are the share of the workers and the durations that the planner keeps
// to.
type Settings struct {
	// Cell is the planner's shard of Cells; each worker belongs to one by the hash
	// of its identity. Without Cells all workers belong to the planner.
	Cell  identifier.Cell
	Cells int
	// Lease is the lease that workers are asked for, Granted the longest that one grants
	// whatever it is asked for; without it that is Lease.
	Lease, MaxLease time.Duration
	// InheritedLease is how long after the beginning of a term runs may go on, at workers that do
	// not answer, which the holder before has started or renewed.
	InheritedLease time.Duration
	// MaxDirectoryAge is how old the directory may be for a start.
	MaxDirectoryAge time.Duration
	// Retention is how long ended jobs are remembered.
	Retention time.Duration
}

// InheritedLease returns how long runs of an earlier holder may go on, which renews
// leases for grace after it last reached the store, at workers whose clocks may be
// slow.
func InheritedLease(grace, lease time.Duration) time.Duration {
	return grace + time.Duration(float64(lease)/(1-maxClockDrift))
}

// Planner holds the state of a cell. Its methods are not safe for concurrent
// use.
type Planner struct {
	settings  Settings
	log       Log
	epoch     identifier.Epoch
	now       time.Time
	clock     func() time.Time
	profile   *profiler.Timer
	directory connector.Directory
	// termStart is when the holder's term began.
	termStart time.Time
	// leases knows until when runs of earlier holders may go on, and at which workers leases
	// may be renewed.
	leases *renewer.Renewer
	// healths are those of the workers, as they are stored.
	healths healths

	jobs      map[identifier.Job]*job
	cancelled map[identifier.Job]identifier.UnixMillis
	scheduled map[*job]struct{}
	waiting   map[*job]struct{}
	workers   map[identifier.Worker]*worker
	// workerList has all workers; next is where the next choice begins to look.
	workerList []*worker
	nextWorker int
	// unpolled are the workers without a look under way; doubted are those that may have
	// to be given up. Other workers need nothing from a pass.
	unpolled map[*worker]struct{}
	suspects map[*worker]struct{}
	// sequenceFloor is the highest sequence of a worker that was forgotten; one
	// that comes back must not get a lower epoch than it has seen.
	sequenceFloor uint64

	estimator        *estimator.Estimator
	estimatesSavedAt time.Time
	// scratchLoad is that of the worker which is looked at.
	scratchLoad estimator.Load
	// servingImages counts the runs of each image that serves.
	servingImages map[identifier.Image]int
	// colocations counts the workers that have both images of a pair.
	colocations map[imagePair]int
	// servingIndex are those of all images that have served; beliefs are those of the
	// pass, by scavenger and by these numbers.
	servingIndex  map[identifier.Image]int
	pairEstimates map[identifier.Image][]pairEstimate

	// cache are the sizes for which there was no room lately.
	cache placementCache
	// contention tells, by service, which jobs had scavengers that waited when the pass began.
	contention map[identifier.Service]contention
	// shortages are the sizes of tasks that come and go for which there was no room.
	shortages shortages

	// pendingAdvice counts those to the adviser that are under way.
	pendingAdvice int

	// orderWindow bounds the starts and stops that are under way.
	orderWindow *limiter.Window
	stops       stopQueue

	counts counts

	// waitLog bounds the log lines about steps that wait, overdue is what is known of runs
	// that are held for long.
	waitLog waitLog
	overdue overdue
	// scavengerSummary bounds the lines about scavengers that wait, and adds up what these tell.
	scavengerSummary scavengerSummary

	dirtyJobs map[*job]struct{}
	retired   []Retired
	retiredAt time.Time
	newClaims []*run
	// round is being stored, in one batch or several.
	round saveRound
	// unsentClaims counts the claims whose starts are not sent. heldClaims are those which are
	// stored and wait for a fresh directory or for the window of orders.
	unsentClaims int
	heldClaims   []*run
	newEnds      map[*worker]identifier.EndNumber
	batchNumber  uint64
	commands     []Command
}

// Option changes a new planner.
type Option func(*Planner)

// WithLog sets where decisions are logged.
func WithLog(l Log) Option { return func(p *Planner) { p.log = l } }

// WithTimeOfDay sets the clock for scheduled jobs; the default is the
// runtime's.
func WithTimeOfDay(now func() time.Time) Option { return func(p *Planner) { p.clock = now } }

// WithLeases sets what earlier holders have stored of the workers' leases, with this term as
// the last; by default all of them may have been renewed until the term began. Uptime counts
// the time that the machine was suspended.
func WithLeases(s renewer.State, uptime func() time.Duration) Option {
	return func(p *Planner) { p.leases = renewer.New(p.now, uptime, p.settings.InheritedLease, s) }
}

// WithProfile sets what measures the time of each part of the planner's work.
func WithProfile(c *profiler.Timer) Option { return func(p *Planner) { p.profile = c } }

// New returns the planner of a holder whose term has the epoch and begins now.
func New(epoch identifier.Epoch, now time.Time, s Settings, opts ...Option) *Planner {
	if s.Lease <= 0 {
		s.Lease = fallbackLease
	}
	s.MaxLease = max(s.MaxLease, s.Lease)
	p := &Planner{
		settings: s, epoch: epoch, now: now, clock: time.Now, log: noLog{}, profile: &profiler.Timer{},
		termStart:     now,
		jobs:          map[identifier.Job]*job{},
		cancelled:     map[identifier.Job]identifier.UnixMillis{},
		scheduled:     map[*job]struct{}{},
		waiting:       map[*job]struct{}{},
		workers:       map[identifier.Worker]*worker{},
		unpolled:      map[*worker]struct{}{},
		suspects:      map[*worker]struct{}{},
		dirtyJobs:     map[*job]struct{}{},
		newEnds:       map[*worker]identifier.EndNumber{},
		estimator:     estimator.New(),
		scratchLoad:   estimator.Load{},
		healths:       newHealths(),
		servingImages: map[identifier.Image]int{},
		colocations:   map[imagePair]int{},
		servingIndex:  map[identifier.Image]int{},
		pairEstimates: map[identifier.Image][]pairEstimate{},
		contention:    map[identifier.Service]contention{},
		orderWindow:   limiter.NewWindow(),
		stops:         stopQueue{sent: map[workerRun]time.Time{}},
	}
	for _, o := range opts {
		o(p)
	}
	if p.leases == nil {
		passed := func() time.Duration { return p.now.Sub(now) }
		p.leases = renewer.New(now, passed, s.InheritedLease, renewer.State{}.BeginTerm(epoch, renewer.ClockReading{}))
	}
	return p
}

// Inform takes events into account; what follows from them is decided by the
// next Update.
func (p *Planner) Inform(now time.Time, events ...Event) {
	p.now = now
	clear(p.pairEstimates)
	for _, e := range events {
		p.profile.Enter(profilePart(e))
		p.apply(e)
	}
	p.profile.Enter(profiler.PhaseIdle)
}

// profilePart returns the part of the planner's work that an event makes.
func profilePart(e Event) profiler.Phase {
	switch e.(type) {
	case PollAnswered:
		return profiler.PhasePollAnswers
	case StartAnswered:
		return profiler.PhaseStartAnswers
	case BatchSaved:
		return profiler.PhaseSaveAnswers
	default:
		return profiler.PhaseOtherEvents
	}
}

// Update takes events into account and returns what has to be done now.
func (p *Planner) Update(now time.Time, events ...Event) []Command {
	p.Inform(now, events...)
	clear(p.pairEstimates)
	p.profile.Enter(profiler.PhaseMaintenance)
	p.sendQueuedStops()
	p.startHeldClaims()
	p.createDueOccurrences()
	p.expireSilentWorkers()
	p.scanOverdue()
	p.retire()
	p.profile.Enter(profiler.PhasePlacement)
	p.placeTasks()
	p.logScavengerWait()
	p.profile.Enter(profiler.PhaseMaintenance)
	p.pollWorkers()
	p.profile.Enter(profiler.PhaseIdle)
	commands := p.commands
	p.commands = nil
	return commands
}

func (p *Planner) apply(e Event) {
	switch e := e.(type) {
	case DirectoryChanged:
		p.updateDirectory(e.Directory)
	case JobSubmitted:
		p.submit(e)
	case JobCancelled:
		p.cancelJob(e)
	case JobsRestored:
		p.restore(e.Records)
	case HealthRestored:
		p.restoreHealths(e.Records)
	case EstimatesRestored:
		p.estimator.Restore(e.Records)
	case BatchSaved:
		p.batchSaved(e.Batch)
	case StartAnswered:
		p.startAnswered(e)
	case StopAnswered:
		p.stopAnswered(e)
	case PollAnswered:
		p.pollAnswered(e)
	case PaceAnswered:
		p.paceAnswered(e)
	case AdviceAnswered:
		p.adviceAnswered(e)
	case Ticked:
	}
}

func (p *Planner) emit(c Command) { p.commands = append(p.commands, c) }

func (p *Planner) submit(e JobSubmitted) {
	if _, known := p.jobs[e.Job.ID]; known {
		return
	}
	j := &job{
		def: e.Job, queue: e.Queue, queueSubmitted: e.Queue.Name != "", submitted: p.now, occurrences: map[int][]*taskGroup{},
		state: StateQueued, visibleState: StateQueued, key: e.Key,
	}
	if q, ok := p.directory.Queues[e.Job.Queue]; ok {
		j.queue = q
	}
	j.setWaitStart(p.now)
	p.jobs[j.def.ID] = j
	if at, ok := p.cancelled[j.def.ID]; ok {
		p.cancelJob(JobCancelled{j.def.ID, at})
		return
	}
	if j.def.Schedule != nil {
		p.scheduled[j] = struct{}{}
		return
	}
	j.nextOccurrence = 1
	p.createOccurrence(j, 0)
	p.unblockTasks(j, 0)
}

// cancelJob ends a job; a cancellation that is read before its job holds as well.
func (p *Planner) cancelJob(e JobCancelled) {
	p.cancelled[e.ID] = e.At
	j, ok := p.jobs[e.ID]
	if !ok || j.state.Ended() {
		// An end is shown once it is stored.
		return
	}
	p.endJob(j, StateCancelled)
	j.visibleState = j.state
}

// NextWake returns when Update has to be called again even without an event.
func (p *Planner) NextWake() time.Time {
	next := p.now.Add(maxUpdateInterval)
	for w := range p.unpolled {
		if !w.listed {
			continue
		}
		due := w.nextPoll
		if pause := p.pollPause(w); pause > 0 {
			due = later(due, w.heardAt.Add(pause))
		}
		if due.Before(next) {
			next = due
		}
	}
	for j := range p.scheduled {
		if in := j.def.Schedule.Due(j.nextOccurrence).Sub(p.clock()); p.now.Add(in).Before(next) {
			next = p.now.Add(max(in, 0))
		}
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxUpdateInterval bounds the time between two calls of Update.
const maxUpdateInterval = 200 * time.Millisecond
