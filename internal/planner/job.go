package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// JobState is what callers see of a job.
type JobState string

// The states of a job.
const (
	StateQueued    JobState = "queued"
	StateRunning   JobState = "running"
	StateCompleted JobState = "completed"
	StateFailed    JobState = "failed"
	StateCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }

// taskPhase is how far a task is.
type taskPhase int

const (
	// taskBlocked waits for earlier steps or for its time.
	taskBlocked taskPhase = iota
	// taskReady waits for room.
	taskReady
	// taskPlaced has a run that may be going on.
	taskPlaced
	taskDone
)

// task is one task of one occurrence of a job.
type task struct {
	group      *taskGroup
	index      int
	phase      taskPhase
	attempt    identifier.Attempt
	failures   int
	checkpoint identifier.Checkpoint
	runs       []*run
	// lostAttempts are the attempts that were given up without a known outcome.
	lostAttempts map[identifier.Attempt]struct{}
	// silence is that of the worker of the last run that was given up so, and lostAt when
	// that was; zero once another runs.
	silence renewer.Silence
	lostAt  time.Time
	// failedOn is the worker on which the last run failed.
	failedOn identifier.Worker
	// notBefore delays the next run after a failure.
	notBefore time.Time
	readyAt   time.Time
	// downSince is since when a task that lasts is known not to run; zero before its
	// first run and while it does.
	downSince time.Time
}

// taskGroup is a step of one occurrence of a job.
type taskGroup struct {
	job        *job
	occurrence int
	index      int
	step       *submitter.Step
	tasks      []task
	doneTasks  int
	readyTasks int
	// durationSum and tookCount tell how long runs that were done took.
	durationSum   time.Duration
	durationCount int
	// baseline is the tail of a step that serves, without scavengers.
	baseline estimator.Baseline
	advice   adviceState
	// waitLogged is when it was last logged that tasks of the step wait.
	waitLogged time.Time
	// failedGangRuns counts failed runs of a gang as a whole.
	failedGangRuns int
}

// job is a job with the state of its tasks.
type job struct {
	def   submitter.Job
	key   string
	queue connector.QueueConfig
	// queueSubmitted is set if the submission says what the queue was.
	queueSubmitted bool

	submitted time.Time
	// waitingSince is when its caller's wait began: at its submission, or when its newest
	// occurrence was due. The objective counts from then.
	waitingSince time.Time
	objective    time.Time
	// occurrences holds the groups of those that are due.
	occurrences map[int][]*taskGroup
	// nextOccurrence is the first that is not yet due.
	nextOccurrence      int
	finishedOccurrences int
	started             bool
	state               JobState
	// visibleState is the newest state that is stored.
	visibleState JobState
	endedAt      time.Time
	// lastBatch is the number of the batch that carries the newest state.
	lastBatch  uint64
	readyTasks int
	runCount   int
	// idleSince is when the last run ended after which none was left.
	idleSince time.Time
}

func (j *job) occurrenceCount() int {
	if j.def.Schedule == nil {
		return 1
	}
	return j.def.Schedule.Times
}

func (t *task) name() identifier.JobTask {
	return identifier.JobTask{Job: t.group.job.def.ID, Occurrence: t.group.occurrence, Step: t.group.index, Index: t.index}
}

// createOccurrence creates the groups of an occurrence that is due.
func (p *Planner) createOccurrence(j *job, occurrence int) {
	groups := make([]*taskGroup, len(j.def.Steps))
	for i := range j.def.Steps {
		g := &taskGroup{job: j, occurrence: occurrence, index: i, step: &j.def.Steps[i]}
		g.tasks = make([]task, g.step.Count)
		for n := range g.tasks {
			g.tasks[n] = task{group: g, index: n}
		}
		groups[i] = g
	}
	j.occurrences[occurrence] = groups
}

// unblockTasks makes the tasks of an occurrence ready whose earlier steps are done.
func (p *Planner) unblockTasks(j *job, occurrence int) {
	if j.state.Ended() {
		return
	}
	groups := j.occurrences[occurrence]
	for _, g := range groups {
		if !dependenciesDone(groups, g) {
			continue
		}
		for i := range g.tasks {
			if t := &g.tasks[i]; t.phase == taskBlocked {
				p.markReady(t)
			}
		}
	}
}

func dependenciesDone(groups []*taskGroup, g *taskGroup) bool {
	for _, a := range g.step.After {
		if groups[a].doneTasks < len(groups[a].tasks) {
			return false
		}
	}
	return true
}

func (p *Planner) markReady(t *task) {
	if t.phase == taskReady {
		return
	}
	t.phase = taskReady
	t.readyAt = p.now
	if t.group.step.LongRunning && t.downSince.IsZero() && t.attempt > 0 {
		t.downSince = p.now
	}
	t.group.readyTasks++
	t.group.job.readyTasks++
	p.waiting[t.group.job] = struct{}{}
}

// setPhase moves a ready task to another phase.
func (p *Planner) setPhase(t *task, to taskPhase) {
	if t.phase == taskReady {
		t.group.readyTasks--
		t.group.job.readyTasks--
		if t.group.job.readyTasks == 0 {
			delete(p.waiting, t.group.job)
		}
	}
	t.phase = to
}

// finishTask marks a task as done and goes on with what waited for it.
func (p *Planner) finishTask(t *task) {
	if t.phase == taskDone {
		return
	}
	p.setPhase(t, taskDone)
	g := t.group
	g.doneTasks++
	p.markDirty(g.job)
	for _, r := range t.runs {
		p.cancelRun(r)
	}
	if g.doneTasks < len(g.tasks) {
		return
	}
	groups := g.job.occurrences[g.occurrence]
	if allDone(groups) {
		p.finishOccurrence(g.job)
		return
	}
	p.unblockTasks(g.job, g.occurrence)
}

func allDone(groups []*taskGroup) bool {
	for _, g := range groups {
		if g.doneTasks < len(g.tasks) {
			return false
		}
	}
	return true
}

func (p *Planner) finishOccurrence(j *job) {
	j.finishedOccurrences++
	if j.finishedOccurrences == j.occurrenceCount() {
		p.endJob(j, StateCompleted)
	}
}

// endJob ends a job and stops what still runs of it.
func (p *Planner) endJob(j *job, state JobState) {
	if j.state.Ended() {
		return
	}
	j.state = state
	j.endedAt = p.now
	for _, groups := range j.occurrences {
		for _, g := range groups {
			p.stopGroup(g)
		}
	}
	delete(p.waiting, j)
	p.markDirty(j)
	p.log.JobEnded(j.def.ID, j.def.Queue, state, p.now.Sub(j.submitted), j.objective.Sub(p.now))
}

func (p *Planner) stopGroup(g *taskGroup) {
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.phase != taskDone {
			p.setPhase(t, taskBlocked)
		}
		for _, r := range t.runs {
			p.cancelRun(r)
		}
	}
}

// createDueOccurrences creates the occurrences of scheduled jobs whose time has come.
func (p *Planner) createDueOccurrences() {
	for j := range p.scheduled {
		for j.nextOccurrence < j.occurrenceCount() && !p.clock().Before(j.def.Schedule.Due(j.nextOccurrence)) {
			k := j.nextOccurrence
			j.nextOccurrence++
			if j.occurrences[k] == nil {
				p.createOccurrence(j, k)
			}
			j.setWaitStart(later(j.submitted, p.now.Add(j.def.Schedule.Due(k).Sub(p.clock()))))
			p.unblockTasks(j, k)
		}
		if j.nextOccurrence == j.occurrenceCount() || j.state.Ended() {
			delete(p.scheduled, j)
		}
	}
}
