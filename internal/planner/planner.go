// Package planner decides, for one cell, which worker runs which task and when. It does no I/O:
// Update takes events and returns commands, and the caller supplies the time.
//
// Workers are shared by three kinds of tasks. Serving tasks have a target for their tail latency.
// Scavengers reserve no processors; they use those that others leave idle, and are slowed down or
// evicted where they lengthen the tails of serving tasks too much. All other tasks are plain.
// Long-running tasks run until their job is cancelled, all others to completion.
//
// A start is sent only after its claim is stored, so that a later holder of the cell knows every
// worker on which a task may be running. A worker may forget the end of a run only after that end
// is stored here.
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
	// sequenceBits is the number of low bits of an epoch that count up within a holder's term.
	sequenceBits = 20
	// maxClockDrift is the fraction by which a worker's clock may be slower than the holder's.
	maxClockDrift = 0.02
	// fallbackLease is the lease of a planner whose settings have none.
	fallbackLease = 6 * time.Second
)

// Settings are the planner's share of the workers and the durations it works with.
type Settings struct {
	// Cell is the planner's shard out of Cells; each worker belongs to one by the hash of its ID,
	// unless it was lent. If Cells is at most 1, all workers belong to the planner.
	Cell  identifier.Cell
	Cells int
	// Lease is the lease that workers are asked for, MaxLease the longest that a worker grants
	// whatever it is asked for. A MaxLease below Lease counts as equal to it.
	Lease, MaxLease time.Duration
	// InheritedLease is how long after the beginning of a term runs that the previous holder
	// started or renewed may go on at workers that do not answer.
	InheritedLease time.Duration
	// MaxDirectoryAge is how old the directory may be for tasks to be started.
	MaxDirectoryAge time.Duration
	// Retention is how long ended jobs are remembered; if it is zero, they are never forgotten.
	Retention time.Duration
	// RemoteFactor is how many times as long a task takes away from its data. Up to 1, tasks never
	// wait for the rack of their data.
	RemoteFactor float64
}

// InheritedLease returns how long runs of the previous holder may go on after it last reached the
// store: it renews leases for grace from then on, and workers' clocks may be slow.
func InheritedLease(grace, lease time.Duration) time.Duration {
	return grace + bySlowClock(lease)
}

// bySlowClock returns how long a span of a worker's clock takes at most.
func bySlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// leastAdvance returns how far a worker's clock gets in a time at least.
func leastAdvance(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// Planner holds the scheduling state of a cell. Its methods are not safe for concurrent use.
type Planner struct {
	settings Settings
	log      Log
	epoch    identifier.Epoch
	// now is the time of the present decision, and readAt relates it to the uptime, see setTime.
	now    time.Time
	readAt func(now time.Time) renewer.Reading
	// wallClock is the clock by which scheduled jobs become due.
	wallClock func() time.Time
	profile   *profiler.Timer
	directory connector.Directory
	// termStart is when the holder's term began.
	termStart time.Time
	// leases tracks until when leases granted by earlier holders are valid, and for which workers
	// leases may be renewed.
	leases *renewer.Renewer
	// healthRecords tracks which workers' health is stored and which has to be stored again.
	healthRecords healthRecords

	jobs      map[identifier.Job]*job
	cancelled map[identifier.Job]cancellation
	// queuesAt are the queues of the directory by their address.
	queuesAt map[connector.QueueAddress]identifier.Queue
	// scheduled are the jobs with occurrences that are not due yet.
	scheduled map[*job]struct{}
	// waiting are the jobs with ready tasks.
	waiting map[*job]struct{}
	teams   teams
	workers map[identifier.Worker]*worker
	// smallest is the least that any listed worker of a service has of each resource.
	smallest map[identifier.Service]identifier.Size
	// workerList has all workers; nextWorker is where the next search for candidates begins.
	workerList []*worker
	nextWorker int
	// unpolled are the workers without a poll in flight, suspects those whose runs may have to be
	// given up. Polls and the expiry of leases concern no other workers.
	unpolled map[*worker]struct{}
	suspects map[*worker]struct{}
	// sequenceFloor is the highest sequence of a forgotten worker. A worker that returns must not
	// get a lower epoch than it has seen.
	sequenceFloor uint64

	estimator        *estimator.Estimator
	estimatesSavedAt time.Time
	// scratchLoad is reused for the scavenger load of one worker after the other.
	scratchLoad estimator.Load
	// servingImages counts the runs of each image with serving tasks.
	servingImages map[identifier.Image]int
	// colocations counts the workers that run both images of a pair.
	colocations map[imagePair]int
	// servingIndex numbers all images that have had serving tasks. pairEstimates caches the
	// estimates of the present pass, by scavenger image and by that number.
	servingIndex  map[identifier.Image]int
	pairEstimates map[identifier.Image][]pairEstimate

	// placementCache speeds up the search for workers with room.
	placementCache placementCache
	// contention tells, by service, which kinds of jobs have scavengers waiting in this pass.
	contention map[identifier.Service]contention
	// backlog is what Backlog returned last.
	backlog backlog
	// shortages are the sizes of tasks that run to completion for which there was no room.
	shortages shortages
	headrooms headrooms
	// rackForecasts are the forecasts made in this pass, and nearWaits counts the tasks that wait for
	// the rack of their data.
	rackForecasts map[rackDemand]*rackForecast
	nearWaits     int

	// titles are the owners of lent workers, and lending what this cell needs of others.
	titles  titles
	lending lending

	// adviceLine holds the questions to the adviser, and asker identifies this planner in it. adviceWanted is
	// set once a job has to wait in this pass until its question may be asked.
	adviceLine   *AdviceLine
	asker        adviceAsker
	adviceWanted bool

	// orderWindow bounds the starts and stops in flight.
	orderWindow *limiter.Window
	stops       stopQueue

	counts counts

	// waitLog limits the log lines about waiting steps; overdue is the result of the last scan for
	// runs that have been unconfirmed for long.
	waitLog waitLog
	overdue overdue
	// scavengerSummary limits the log lines about waiting scavengers and collects their figures.
	scavengerSummary scavengerSummary

	// dirtyJobs are the jobs to be stored in the next round, newClaims and newEnds what has to wait
	// for it: claims to be started and ends to be acknowledged to their workers.
	dirtyJobs map[*job]struct{}
	newClaims []*run
	// retirements are the jobs whose stored records are to be deleted, discards other records of the
	// inbox that are of no use any more.
	retirements retirements
	discards    deletions[Discard]
	// round is the set of changes being stored, in one batch or several.
	round saveRound
	// unsentClaims counts the claims whose starts are not sent. heldClaims are those of them that
	// are stored and wait for a fresh directory, the window of orders or a renewable lease.
	unsentClaims int
	heldClaims   []*run
	newEnds      map[*worker]endMark
	batchNumber  uint64
	commands     []Command
}

// Option configures a new planner.
type Option func(*Planner)

// WithLog sets the log of the planner's decisions.
func WithLog(l Log) Option { return func(p *Planner) { p.log = l } }

// WithTimeOfDay sets the wall clock for scheduled jobs; the default is time.Now.
func WithTimeOfDay(now func() time.Time) Option { return func(p *Planner) { p.wallClock = now } }

// WithLeases sets the lease state stored by earlier holders, with this term as the last, which
// started at startUptime. By default all leases count as renewed until the term began. readAt relates
// a time that the planner was given to the uptime, which has to include the time for which the
// machine was suspended.
func WithLeases(s renewer.State, readAt func(now time.Time) renewer.Reading, startUptime time.Duration) Option {
	return func(p *Planner) {
		p.readAt = readAt
		p.leases = renewer.New(readAt(p.now), startUptime, p.settings.InheritedLease, s)
	}
}

// WithAdviceLine sets the line of the questions to the adviser, which all planners of a host share. wake makes this
// planner run; it must neither block nor call the line. By default the planner has a line of its own.
func WithAdviceLine(l *AdviceLine, wake func()) Option {
	return func(p *Planner) { p.adviceLine, p.asker = l, l.join(wake) }
}

// WithProfile sets the timer that measures each phase of the planner's work.
func WithProfile(c *profiler.Timer) Option { return func(p *Planner) { p.profile = c } }

// New returns the planner of a holder whose term has the given epoch and begins now.
func New(epoch identifier.Epoch, now time.Time, s Settings, opts ...Option) *Planner {
	if s.Lease <= 0 {
		s.Lease = fallbackLease
	}
	s.MaxLease = max(s.MaxLease, s.Lease)
	p := &Planner{
		settings: s, epoch: epoch, now: now, wallClock: time.Now, log: noLog{}, profile: &profiler.Timer{},
		termStart:     now,
		jobs:          map[identifier.Job]*job{},
		cancelled:     map[identifier.Job]cancellation{},
		scheduled:     map[*job]struct{}{},
		waiting:       map[*job]struct{}{},
		teams:         newTeams(),
		workers:       map[identifier.Worker]*worker{},
		unpolled:      map[*worker]struct{}{},
		suspects:      map[*worker]struct{}{},
		dirtyJobs:     map[*job]struct{}{},
		newEnds:       map[*worker]endMark{},
		estimator:     estimator.New(),
		scratchLoad:   estimator.Load{},
		healthRecords: newHealthRecords(),
		titles:        newTitles(),
		servingImages: map[identifier.Image]int{},
		colocations:   map[imagePair]int{},
		servingIndex:  map[identifier.Image]int{},
		pairEstimates: map[identifier.Image][]pairEstimate{},
		contention:    map[identifier.Service]contention{},
		rackForecasts: map[rackDemand]*rackForecast{},
		orderWindow:   limiter.NewWindow(),
		stops:         stopQueue{sent: map[workerRun]time.Time{}},
	}
	for _, o := range opts {
		o(p)
	}
	if p.adviceLine == nil {
		WithAdviceLine(NewAdviceLine(), func() {})(p)
	}
	if p.leases == nil {
		WithLeases(renewer.State{}.BeginTerm(epoch, "", renewer.ClockEstimate{}), func(at time.Time) renewer.Reading {
			return renewer.Reading{Now: at, Earliest: at.Sub(now), Latest: at.Sub(now)}
		}, 0)(p)
	}
	return p
}

// setTime begins a decision at a time of the holder's clock. It is the only read of the uptime for
// that decision, so that no lease is judged by two clocks which were read apart.
func (p *Planner) setTime(now time.Time) {
	p.now = now
	p.leases.SetTime(p.readAt(now))
}

// Inform records events. Update decides what follows from them.
func (p *Planner) Inform(now time.Time, events ...Event) {
	p.setTime(now)
	clear(p.pairEstimates)
	for _, e := range events {
		p.profile.Enter(profilePhase(e))
		p.apply(e)
	}
	p.profile.Enter(profiler.PhaseIdle)
}

// profilePhase returns the profiler's phase in which an event is handled.
func profilePhase(e Event) profiler.Phase {
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

// Update records events and returns the commands to carry out now.
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
	p.discardRecords()
	p.reviewAdvice()
	p.adviceWanted = false
	p.adviceLine.withdraw(p.asker)
	p.profile.Enter(profiler.PhasePlacement)
	p.placeTasks()
	p.logScavengerWait()
	p.requestRoom()
	p.sendGrants()
	p.profile.Enter(profiler.PhaseMaintenance)
	p.pollWorkers()
	p.profile.Enter(profiler.PhaseIdle)
	commands := p.commands
	p.commands = nil
	return commands
}

// apply passes an event to its handler. Ticked has none: it only makes Update run.
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
		p.restoreHealthRecords(e.Records)
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
	case SubmissionsDeleted:
		p.submissionsDeleted(e)
	case RecordsDiscarded:
		p.recordsDiscarded(e)
	default:
		p.applyLending(e)
	}
}

func (p *Planner) emit(c Command) { p.commands = append(p.commands, c) }

// submit adds a job, unless it is known already, and makes its first tasks ready. The occurrences
// of a scheduled job follow once they are due.
func (p *Planner) submit(e JobSubmitted) {
	if j, known := p.jobs[e.Job.ID]; known {
		p.resubmitted(j, e)
		return
	}
	if p.resubmittedForgotten(e) {
		return
	}
	j := &job{
		def: e.Job, queue: e.Queue, address: e.Queue.Address, queueSubmitted: e.Queue.Name != "", submitted: p.now, occurrences: map[int][]*taskGroup{},
		state: StateQueued, visibleState: StateQueued, key: e.Key, keyHash: hashKey(e.Key), configVersion: e.ConfigVersion, team: p.teamOf(e.Team),
	}
	j.rank = j.team.countSubmission(e.At)
	p.updateQueue(j)
	j.setWaitStart(p.now)
	p.jobs[j.def.ID] = j
	if c, ok := p.cancelled[j.def.ID]; ok {
		p.cancelJob(c.JobCancelled)
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

// cancellation is a cancellation that was read at a time.
type cancellation struct {
	JobCancelled
	readAt time.Time
}

// cancelJob ends a job. A cancellation that arrives before its job is applied to it later.
func (p *Planner) cancelJob(e JobCancelled) {
	p.cancelled[e.ID] = cancellation{JobCancelled: e, readAt: p.now}
	j, ok := p.jobs[e.ID]
	if !ok || j.state.Ended() {
		// A job that ended in another way shows that only once its end is stored.
		return
	}
	p.endJob(j, StateCancelled)
	j.visibleState = j.state
}

// NextWake returns when Update has to be called again if no event arrives before.
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
		in := j.def.Schedule.Due(j.nextOccurrence).Sub(p.wallClock())
		if in <= 0 && !j.mayOpenOccurrence() {
			continue
		}
		if p.now.Add(in).Before(next) {
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
