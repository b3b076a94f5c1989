package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// estimateDiscount is the part of the estimated rest of a job that it may still take, so
	// that an estimate which is too long does not count it as late.
	estimateDiscount = 0.7
	// tooLateFactor is for how long after its objective a job is of use to its caller, in terms
	// of the time that it had.
	tooLateFactor = 2
	// nearlyDoneFraction is the part of a job's tasks that are done or placed from which it is
	// finished before others although it is late.
	nearlyDoneFraction = 0.7
	// patienceFraction is the part of the time that a job has to spare for which one of
	// its scavengers waits for a place where it harms nobody.
	patienceFraction = 0.25
	// minPatience and maxPatience bound it.
	minPatience = 300 * time.Millisecond
	maxPatience = 4 * time.Second
)

// criticalPath returns the longest estimated chain of work of a job.
func criticalPath(def *submitter.Job) time.Duration {
	ends := make([]time.Duration, len(def.Steps))
	longest := time.Duration(0)
	for i, s := range def.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate.Std()
		longest = max(longest, ends[i])
	}
	return longest
}

// objectiveOf returns by when a job should be completed.
func objectiveOf(j *job, from time.Time) time.Time {
	stretch := j.queue.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return from.Add(time.Duration(float64(criticalPath(&j.def))*stretch) + j.queue.Allowance.Std())
}

// setWaitStart sets from when on the caller of a job waits for it.
func (j *job) setWaitStart(at time.Time) { j.waitingSince, j.objective = at, objectiveOf(j, at) }

// remainingCriticalPath returns the longest estimated chain of work that is left of a job.
func (j *job) remainingCriticalPath() time.Duration {
	longest := time.Duration(0)
	for _, groups := range j.occurrences {
		ends := make([]time.Duration, len(groups))
		for i, g := range groups {
			for _, a := range g.step.After {
				ends[i] = max(ends[i], ends[a])
			}
			if g.doneTasks < len(g.tasks) {
				ends[i] += g.step.Estimate.Std()
			}
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// timeToSpare returns how much longer than estimated a job may take from now on to
// meet its objective; it is negative for one that is late.
func (p *Planner) timeToSpare(j *job) time.Duration {
	rest := time.Duration(estimateDiscount * float64(j.remainingCriticalPath()))
	return j.objective.Sub(p.now) - rest
}

// patience returns how long the scavengers of a group wait for a place where they
// harm nobody; it is zero for other tasks. Those whose job is late anyway wait
// longest: haste does not serve them.
func (p *Planner) patience(g *taskGroup) time.Duration {
	if !g.step.Scavenger {
		return 0
	}
	spare := p.timeToSpare(g.job)
	if spare < 0 {
		return maxPatience
	}
	return min(max(time.Duration(patienceFraction*float64(spare)), minPatience), maxPatience)
}

// lateness tells apart jobs by what service still does for their callers.
type lateness int

const (
	// onTime is a job that can meet its objective or lasts, or little of which is left.
	onTime lateness = iota
	// late is one that will not meet it.
	late
	// tooLate is one that is of no use any more, which waits for room that nobody else needs.
	tooLate
)

// latenessOf returns that of a job. A job serves its caller once its last task is done, so that
// one which is nearly done is finished although it is late.
func (p *Planner) latenessOf(j *job) lateness {
	if j.isLongRunning() {
		return onTime
	}
	spare := p.timeToSpare(j)
	switch {
	case spare >= 0:
		return onTime
	case spare < -tooLateFactor*j.objective.Sub(j.waitingSince):
		return tooLate
	case j.begunFraction() >= nearlyDoneFraction:
		return onTime
	default:
		return late
	}
}

// begun reports whether work on a job has begun; one that lasts always counts as begun.
func (j *job) begun() bool { return j.started || j.runCount > 0 || j.isLongRunning() }

// begunFraction returns which part of a job's tasks are done or placed. Occurrences that are
// over do not count.
func (j *job) begunFraction() float64 {
	begun, all := j.runCount, 0
	for _, groups := range j.occurrences {
		if allDone(groups) {
			continue
		}
		for _, g := range groups {
			begun += g.doneTasks
			all += len(g.tasks)
		}
	}
	return fraction(begun, all)
}

// rankedJob is a job with ready tasks and its place in the order of service.
type rankedJob struct {
	job      *job
	lateness lateness
	begun    bool
}

// waitingJobsInOrder returns the jobs with ready tasks in the order of service.
func (p *Planner) waitingJobsInOrder() []*job {
	turns := make([]rankedJob, 0, len(p.waiting))
	clear(p.contention)
	for j := range p.waiting {
		t := rankedJob{j, p.latenessOf(j), j.begun()}
		turns = append(turns, t)
		p.noteContention(t)
	}
	slices.SortFunc(turns, func(a, b rankedJob) int {
		if servedBefore(a, b) {
			return -1
		}
		return 1
	})
	jobs := make([]*job, len(turns))
	for i, t := range turns {
		jobs[i] = t.job
	}
	return jobs
}

// contention tells which jobs of a service have scavengers that wait.
type contention struct{ onTime, late bool }

// contended reports whether jobs that can meet their objectives wait beside others that cannot:
// tasks of the latter beyond the processors to spare would slow the former down.
func (c contention) contended() bool { return c.onTime && c.late }

// noteContention notes a job whose scavengers wait.
func (p *Planner) noteContention(t rankedJob) {
	c := p.contention[t.job.queue.Service]
	known := &c.late
	if t.lateness == onTime {
		known = &c.onTime
	}
	if *known || !t.job.hasReadyScavengers() {
		return
	}
	*known = true
	p.contention[t.job.queue.Service] = c
}

// hasReadyScavengers reports whether a job has scavengers that are ready.
func (j *job) hasReadyScavengers() bool {
	for _, groups := range j.occurrences {
		for _, g := range groups {
			if g.readyTasks > 0 && g.step.Scavenger {
				return true
			}
		}
	}
	return false
}

// isLongRunning reports whether a job runs until it is cancelled.
func (j *job) isLongRunning() bool {
	return slices.ContainsFunc(j.def.Steps, func(s submitter.Step) bool { return s.LongRunning })
}

// servedBefore reports whether a job is served before another: by priority, then those
// that can meet their objectives or are nearly done before those that cannot, which
// only delay them under overload, then those that have begun, since a part of a job
// serves nobody, then by the earliest objective.
func servedBefore(a, b rankedJob) bool {
	if pa, pb := a.job.queue.Priority, b.job.queue.Priority; pa != pb {
		return pa < pb
	}
	if a.lateness != b.lateness {
		return a.lateness < b.lateness
	}
	if a.begun != b.begun {
		return a.begun
	}
	if !a.job.objective.Equal(b.job.objective) {
		return a.job.objective.Before(b.job.objective)
	}
	return a.job.def.ID < b.job.def.ID
}
