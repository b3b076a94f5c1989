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
	// clockDrift is how much slower than ours a worker's clock may be.
	clockDrift = 0.02
	// defaultLease bounds a lease of a planner without settings.
	defaultLease = 6 * time.Second
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
	Lease, Granted time.Duration
	// Inherited is how long after the beginning of a term runs may go on, at workers that do
	// not answer, which the holder before has started or renewed.
	Inherited time.Duration
	// Fresh is how old the directory may be for a start.
	Fresh time.Duration
	// Retention is how long ended jobs are remembered.
	Retention time.Duration
}

// InheritedLease returns how long runs of an earlier holder may go on, which renews
// leases for grace after it last reached the store, at workers whose clocks may be
// slow.
func InheritedLease(grace, lease time.Duration) time.Duration {
	return grace + time.Duration(float64(lease)/(1-clockDrift))
}

// Planner holds the state of a cell. Its methods are not safe for concurrent
// use.
type Planner struct {
	settings  Settings
	log       Log
	epoch     identifier.Epoch
	now       time.Time
	clock     func() time.Time
	profile   *profiler.Clock
	directory connector.Directory
	// began is when the holder's term began.
	began time.Time
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
	// list has all workers; next is where the next choice begins to look.
	list []*worker
	next int
	// idle are the workers without a look under way; doubted are those that may have
	// to be given up. Other workers need nothing from a pass.
	idle    map[*worker]struct{}
	doubted map[*worker]struct{}
	// sequenceFloor is the highest sequence of a worker that was forgotten; one
	// that comes back must not get a lower epoch than it has seen.
	sequenceFloor uint64

	harm       *estimator.Estimator
	harmsSaved time.Time
	// load is that of the worker which is looked at.
	load estimator.Load
	// servingImages counts the runs of each image that serves.
	servingImages map[identifier.Image]int
	// neighbours counts the workers that have both images of a pair.
	neighbours map[imagePair]int
	// servingNumbers are those of all images that have served; beliefs are those of the
	// pass, by scavenger and by these numbers.
	servingNumbers map[identifier.Image]int
	beliefs        map[identifier.Image][]belief

	// full are the sizes for which there was no room lately.
	full fullSizes
	// contests tells, by service, which jobs had scavengers that waited when the pass began.
	contests map[identifier.Service]contest
	// lacks are the sizes of tasks that come and go for which there was no room.
	lacks lacks

	// questions counts those to the adviser that are under way.
	questions int

	// orders bounds the starts and stops that are under way.
	orders *limiter.Window
	stops  stopQueue

	counts counts

	// waits bounds the log lines about steps that wait, overdue is what is known of runs
	// that are held for long.
	waits   waits
	overdue overdue
	// summary bounds the lines about scavengers that wait, and adds up what these tell.
	summary summary

	dirty     map[*job]struct{}
	retired   []Retired
	retiredAt time.Time
	claims    []*run
	// round is being stored, in one batch or several.
	round saveRound
	// unsent counts the claims whose starts are not sent. heldClaims are those which are
	// stored and wait for a fresh directory or for the window of orders.
	unsent     int
	heldClaims []*run
	ends       map[*worker]identifier.EndNumber
	marks      uint64
	commands   []Command
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
	return func(p *Planner) { p.leases = renewer.New(p.now, uptime, p.settings.Inherited, s) }
}

// WithProfile sets what measures the time of each part of the planner's work.
func WithProfile(c *profiler.Clock) Option { return func(p *Planner) { p.profile = c } }

// New returns the planner of a holder whose term has the epoch and begins now.
func New(epoch identifier.Epoch, now time.Time, s Settings, opts ...Option) *Planner {
	if s.Lease <= 0 {
		s.Lease = defaultLease
	}
	s.Granted = max(s.Granted, s.Lease)
	p := &Planner{
		settings: s, epoch: epoch, now: now, clock: time.Now, log: noLog{}, profile: &profiler.Clock{},
		began:          now,
		jobs:           map[identifier.Job]*job{},
		cancelled:      map[identifier.Job]identifier.UnixMillis{},
		scheduled:      map[*job]struct{}{},
		waiting:        map[*job]struct{}{},
		workers:        map[identifier.Worker]*worker{},
		idle:           map[*worker]struct{}{},
		doubted:        map[*worker]struct{}{},
		dirty:          map[*job]struct{}{},
		ends:           map[*worker]identifier.EndNumber{},
		harm:           estimator.New(),
		load:           estimator.Load{},
		healths:        newHealths(),
		servingImages:  map[identifier.Image]int{},
		neighbours:     map[imagePair]int{},
		servingNumbers: map[identifier.Image]int{},
		beliefs:        map[identifier.Image][]belief{},
		contests:       map[identifier.Service]contest{},
		orders:         limiter.NewWindow(),
		stops:          stopQueue{sent: map[workerRun]time.Time{}},
	}
	for _, o := range opts {
		o(p)
	}
	if p.leases == nil {
		passed := func() time.Duration { return p.now.Sub(now) }
		p.leases = renewer.New(now, passed, s.Inherited, renewer.State{}.BeginTerm(epoch, renewer.ClockReading{}))
	}
	return p
}

// Inform takes events into account; what follows from them is decided by the
// next Update.
func (p *Planner) Inform(now time.Time, events ...Event) {
	p.now = now
	clear(p.beliefs)
	for _, e := range events {
		p.profile.Enter(partOf(e))
		p.apply(e)
	}
	p.profile.Enter(profiler.PartOutside)
}

// partOf returns the part of the planner's work that an event makes.
func partOf(e Event) profiler.Part {
	switch e.(type) {
	case HoldAnswered:
		return profiler.PartLooks
	case StartAnswered:
		return profiler.PartStarts
	case BatchSaved:
		return profiler.PartSaved
	default:
		return profiler.PartEvents
	}
}

// Update takes events into account and returns what has to be done now.
func (p *Planner) Update(now time.Time, events ...Event) []Command {
	p.Inform(now, events...)
	clear(p.beliefs)
	p.profile.Enter(profiler.PartUpkeep)
	p.sendHeldStops()
	p.startHeld()
	p.activateDue()
	p.expireSilentWorkers()
	p.findOverdue()
	p.retire()
	p.profile.Enter(profiler.PartPlace)
	p.place()
	p.logScavengers()
	p.profile.Enter(profiler.PartUpkeep)
	p.hold()
	p.profile.Enter(profiler.PartOutside)
	commands := p.commands
	p.commands = nil
	return commands
}

func (p *Planner) apply(e Event) {
	switch e := e.(type) {
	case DirectoryChanged:
		p.directoryChanged(e.Directory)
	case JobSubmitted:
		p.submitted(e)
	case JobCancelled:
		p.cancel(e)
	case JobsRestored:
		p.restore(e.Records)
	case HealthsRestored:
		p.restoreHealths(e.Records)
	case HarmsRestored:
		p.harm.Restore(e.Records)
	case BatchSaved:
		p.saved(e.Batch)
	case StartAnswered:
		p.startAnswered(e)
	case StopAnswered:
		p.stopAnswered(e)
	case HoldAnswered:
		p.holdAnswered(e)
	case PaceAnswered:
		p.paceAnswered(e)
	case AdviceAnswered:
		p.adviceAnswered(e)
	case Ticked:
	}
}

func (p *Planner) emit(c Command) { p.commands = append(p.commands, c) }

func (p *Planner) submitted(e JobSubmitted) {
	if _, known := p.jobs[e.Job.ID]; known {
		return
	}
	j := &job{
		def: e.Job, queue: e.Queue, queueSubmitted: e.Queue.Name != "", submitted: p.now, occurrences: map[int][]*group{},
		state: StateQueued, shown: StateQueued, key: e.Key,
	}
	if q, ok := p.directory.Queues[e.Job.Queue]; ok {
		j.queue = q
	}
	j.waitFrom(p.now)
	p.jobs[j.def.ID] = j
	if at, ok := p.cancelled[j.def.ID]; ok {
		p.cancel(JobCancelled{j.def.ID, at})
		return
	}
	if j.def.Schedule != nil {
		p.scheduled[j] = struct{}{}
		return
	}
	j.nextOccurrence = 1
	p.activate(j, 0)
	p.release(j, 0)
}

// cancel ends a job; a cancellation that is read before its job holds as well.
func (p *Planner) cancel(e JobCancelled) {
	p.cancelled[e.ID] = e.At
	j, ok := p.jobs[e.ID]
	if !ok || j.state.Ended() {
		// An end is shown once it is stored.
		return
	}
	p.endJob(j, StateCancelled)
	j.shown = j.state
}

// NextWake returns when Update has to be called again even without an event.
func (p *Planner) NextWake() time.Time {
	next := p.now.Add(maxSleep)
	for w := range p.idle {
		if !w.listed {
			continue
		}
		due := w.nextHold
		if pause := p.lookPause(w); pause > 0 {
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

// maxSleep bounds the time between two calls of Update.
const maxSleep = 200 * time.Millisecond
