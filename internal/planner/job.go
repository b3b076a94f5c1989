package planner

import (
	"iter"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// JobState is the state of a job as reported to callers.
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

// taskPhase is the progress of a task.
type taskPhase int

const (
	// taskBlocked waits for earlier steps, or belongs to a job that has ended.
	taskBlocked taskPhase = iota
	// taskReady waits for a worker with room.
	taskReady
	// taskPlaced has a run that may be active.
	taskPlaced
	taskDone
)

// task is one task of one occurrence of a job.
type task struct {
	group   *taskGroup
	index   int
	phase   taskPhase
	attempt identifier.Attempt
	// begun is set once a worker has begun a run of the task.
	begun      bool
	failures   int
	checkpoint identifier.Checkpoint
	runs       []*run
	// lostAttempts are the attempts that were given up with an unknown outcome.
	lostAttempts map[identifier.Attempt]struct{}
	// silence is how long the worker of the last lost run has been silent, and lostAt when that run
	// was given up; lostAt is zero once the task runs again.
	silence renewer.Silence
	lostAt  time.Time
	// failedOn is the worker on which the last run failed, straggled or could not be started. The
	// next run prefers another.
	failedOn identifier.Worker
	// blamedOn is the worker against which failures of the task were counted; empty before the first.
	blamedOn identifier.Worker
	// notBefore delays the next run after a failed run or a start that could not be sent.
	notBefore time.Time
	// evictions counts the runs that have ended after they were stopped for too little progress. It
	// is zero again once a long-running task is in service.
	evictions int
	// restarts counts the runs of a long-running task in a row that ended soon after their start,
	// refusals the starts in a row that workers refused.
	restarts, refusals int
	readyAt            time.Time
	// downSince is since when a long-running task is known not to run; zero before its first run
	// and while it runs.
	downSince time.Time
}

// taskGroup holds the tasks of one step in one occurrence of a job.
type taskGroup struct {
	job        *job
	occurrence int
	index      int
	step       *submitter.Step
	tasks      []task
	doneTasks  int
	readyTasks int
	// durationSum and durationCount give the mean duration of successful runs.
	durationSum   time.Duration
	durationCount int
	// baseline is the slack of a serving step's tail latency without scavengers.
	baseline estimator.Baseline
	advice   adviceState
	// waitLogged is when it was last logged that tasks of the step are waiting.
	waitLogged time.Time
	// blamed are the workers that were blamed for a straggler of the step.
	blamed map[identifier.Worker]struct{}
	// nearWaits counts the ready tasks that waited for the rack of their data in the last pass.
	nearWaits int
	// startedRun is the last run of a gang of which a start was sent, and checkedAt when all claims of its present
	// run were last checked.
	startedRun identifier.Attempt
	checkedAt  time.Time
	// retryGangAt is when a gang for which there was no room is tried again.
	retryGangAt time.Time
	// failedRuns are the runs of a gang of which a member has failed.
	failedRuns map[identifier.Attempt]struct{}
}

// job is a submitted job with the state of its tasks.
type job struct {
	def submitter.Job
	// key is the key of the submission that defines the job, keyHash its hash, and keyStored is set once
	// that is in the stored record of the job. otherKeys are those of other submissions with its ID, which
	// are being deleted, and whether they were stored again meanwhile.
	key       string
	keyHash   uint64
	keyStored bool
	otherKeys map[string]bool
	queue     connector.QueueConfig
	// address is where the job was submitted; zero if that is not known.
	address connector.QueueAddress
	// configVersion is the version of the configuration by which the job was accepted; zero if unknown.
	configVersion identifier.ConfigVersion
	// team is the team that submitted the job, or teams.none.
	team *team
	// rank is the job's rank among those that its team submitted in the same second; zero if there is none.
	rank int
	// queueSubmitted is set if the submission carried the queue's configuration.
	queueSubmitted bool

	submitted time.Time
	// waitingSince is when the caller began to wait: at submission, or when the newest occurrence
	// became due. The objective counts from here.
	waitingSince time.Time
	objective    time.Time
	// occurrences holds the task groups of each occurrence that was begun, but for those that
	// finished a while ago.
	occurrences map[int][]*taskGroup
	// nextOccurrence is the first occurrence that is not begun yet.
	nextOccurrence int
	// finished are the occurrences whose tasks are all done, and finishedAt is when that was.
	finished   occurrenceSet
	finishedAt map[int]time.Time
	// started is set once a worker has begun a task of the job.
	started bool
	state   JobState
	// visibleState is the state that callers see: the newest one that is stored.
	visibleState JobState
	endedAt      time.Time
	// lastBatch is the number of the last batch that carries the job's record.
	lastBatch  uint64
	readyTasks int
	runCount   int
	// runBytes is what the runs take in the job's record at most.
	runBytes int
	// idleSince is since when the job has had no run that began, if it has no run now.
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

// groups returns the task groups of all occurrences that are kept. The order of the occurrences is not fixed.
func (j *job) groups() iter.Seq[*taskGroup] {
	return func(yield func(*taskGroup) bool) {
		for _, groups := range j.occurrences {
			for _, g := range groups {
				if !yield(g) {
					return
				}
			}
		}
	}
}

// createOccurrence creates the task groups of an occurrence that is due.
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

// unblockTasks makes the tasks of an occurrence ready whose preceding steps are done.
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

// dependenciesDone reports whether all tasks of the steps that a group comes after are done. groups
// are those of its occurrence.
func dependenciesDone(groups []*taskGroup, g *taskGroup) bool {
	for _, a := range g.step.After {
		if groups[a].doneTasks < len(groups[a].tasks) {
			return false
		}
	}
	return true
}

// markReady makes a task wait for a worker.
func (p *Planner) markReady(t *task) {
	if t.phase == taskReady {
		return
	}
	t.phase = taskReady
	t.readyAt = p.now
	if t.group.step.LongRunning && t.downSince.IsZero() && t.begun {
		t.downSince = p.now
	}
	t.group.readyTasks++
	t.group.job.readyTasks++
	p.waiting[t.group.job] = struct{}{}
}

// setPhase moves a task to another phase, and out of the counts of ready tasks if it was ready.
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

// finishTask marks a task as done and unblocks what depends on it.
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
		p.finishOccurrence(g.job, g.occurrence)
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

// finishOccurrence records an occurrence whose tasks are all done, and completes the job with the
// last one.
func (p *Planner) finishOccurrence(j *job, occurrence int) {
	j.finished = j.finished.add(occurrence)
	if j.finishedAt == nil {
		j.finishedAt = map[int]time.Time{}
	}
	j.finishedAt[occurrence] = p.now
	if j.finished.len() == j.occurrenceCount() {
		p.endJob(j, StateCompleted)
	}
}

// endJob ends a job and stops its remaining runs.
func (p *Planner) endJob(j *job, state JobState) {
	if j.state.Ended() {
		return
	}
	j.state = state
	j.endedAt = p.now
	for g := range j.groups() {
		p.stopGroup(g)
	}
	delete(p.waiting, j)
	p.markDirty(j)
	p.log.JobEnded(j.def.ID, j.def.Queue, state, p.now.Sub(j.submitted), j.objective.Sub(p.now))
}

// stopGroup stops all runs of a group and places no more.
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

// createDueOccurrences creates the occurrences of scheduled jobs that have become due. Those that do
// not fit into the record of their job wait until earlier ones are finished.
func (p *Planner) createDueOccurrences() {
	for j := range p.scheduled {
		for j.nextOccurrence < j.occurrenceCount() && !p.wallClock().Before(j.def.Schedule.Due(j.nextOccurrence)) {
			k := j.nextOccurrence
			if j.finished.contains(k) {
				j.nextOccurrence++
				continue
			}
			if j.occurrences[k] == nil {
				if !j.mayOpenOccurrence() {
					break
				}
				p.createOccurrence(j, k)
			}
			j.nextOccurrence++
			j.setWaitStart(later(j.submitted, p.now.Add(j.def.Schedule.Due(k).Sub(p.wallClock()))))
			p.unblockTasks(j, k)
		}
		if j.nextOccurrence == j.occurrenceCount() || j.state.Ended() {
			delete(p.scheduled, j)
		}
	}
}

// exceedsRate reports whether the team had submitted as many jobs before in the same second as its rate
// allows.
func (j *job) exceedsRate() bool {
	rate := j.team.config.Rate
	return rate > 0 && float64(j.rank) > max(rate, 1)
}
