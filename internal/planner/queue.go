package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// estimateFactor is the fraction of a job's estimated remaining work that is counted, so that
	// an estimate which is too high does not make the job late.
	estimateFactor = 0.7
	// tooLateFactor, times the time from the beginning of its caller's wait to its objective, is
	// how long after the objective a job is still of use.
	tooLateFactor = 2
	// nearlyDoneFraction is the fraction of a job's tasks that have to be done or placed for it to
	// be finished before others although it is late.
	nearlyDoneFraction = 0.7
	// patienceFraction is the fraction of a job's time to spare for which its scavengers wait for
	// workers on which they disturb no serving task.
	patienceFraction = 0.25
	// minPatience and maxPatience bound that wait.
	minPatience = 300 * time.Millisecond
	maxPatience = 4 * time.Second
)

// objectiveOf returns the time by which a job should be completed if its caller waits from the
// given time.
func objectiveOf(j *job, from time.Time) time.Time {
	stretch := j.queue.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return from.Add(time.Duration(float64(admitter.CriticalPath(&j.def))*stretch) + j.queue.Allowance.Std())
}

// setWaitStart sets when the caller of a job began to wait for it, and so its objective.
func (j *job) setWaitStart(at time.Time) { j.waitingSince, j.objective = at, objectiveOf(j, at) }

// remainingCriticalPath returns the estimated duration of a job's longest chain of dependent steps
// that are not done.
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

// timeToSpare returns how much longer than estimated a job may take from now on and still meet its
// objective; it is negative for a late job.
func (p *Planner) timeToSpare(j *job) time.Duration {
	rest := time.Duration(estimateFactor * float64(j.remainingCriticalPath()))
	return j.objective.Sub(p.now) - rest
}

// patience returns how long the scavengers of a group wait for workers on which they disturb no
// serving task; it is zero for other tasks. Those of a late job wait longest, since haste does not
// help its caller.
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

// lateness classifies jobs by how useful it still is to run them.
type lateness int

const (
	// onTime is a job that can meet its objective, is long-running, or is nearly done.
	onTime lateness = iota
	// late is a job that will miss its objective.
	late
	// tooLate is a job of no use to its caller any more. It is served after all others of its
	// priority.
	tooLate
)

// latenessOf returns the lateness of a job. A job is of no use until its last task is done, so that
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

// begun reports whether work on a job has begun; a long-running job always counts as begun.
func (j *job) begun() bool { return j.started || j.runCount > 0 || j.isLongRunning() }

// begunFraction returns the fraction of a job's tasks that are done or placed. Occurrences that are
// completed do not count.
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

// rankedJob is a job with ready tasks and what its position in the order of service depends on.
type rankedJob struct {
	job      *job
	lateness lateness
	begun    bool
	// asked is the share of the cell that the ready tasks ask for, and standing the job's position
	// among those of its priority when teams compete.
	asked    float64
	standing standing
}

// waitingJobsInOrder returns the jobs with ready tasks in the order of service.
func (p *Planner) waitingJobsInOrder() []*job {
	ranked := make([]rankedJob, 0, len(p.waiting))
	clear(p.contention)
	for j := range p.waiting {
		r := rankedJob{job: j, lateness: p.latenessOf(j), begun: j.begun()}
		ranked = append(ranked, r)
		p.noteContention(r)
	}
	slices.SortFunc(ranked, func(a, b rankedJob) int {
		if servedBefore(a, b) {
			return -1
		}
		return 1
	})
	p.deferSurplus(ranked)
	jobs := make([]*job, len(ranked))
	for i, r := range ranked {
		jobs[i] = r.job
	}
	return jobs
}

// contention records whether scavengers of jobs on time and of late jobs wait for workers of a
// service.
type contention struct{ onTime, late bool }

// contended reports whether scavengers of both jobs on time and late jobs wait. Processors are not
// overcommitted then, since scavengers of late jobs would slow those of jobs on time down.
func (c contention) contended() bool { return c.onTime && c.late }

// noteContention records whether a job is on time or late if its scavengers wait.
func (p *Planner) noteContention(r rankedJob) {
	c := p.contention[r.job.queue.Service]
	seen := &c.late
	if r.lateness == onTime {
		seen = &c.onTime
	}
	if *seen || !r.job.hasReadyScavengers() {
		return
	}
	*seen = true
	p.contention[r.job.queue.Service] = c
}

// hasReadyScavengers reports whether a job has ready scavengers.
func (j *job) hasReadyScavengers() bool {
	for g := range j.groups() {
		if g.readyTasks > 0 && g.step.Scavenger {
			return true
		}
	}
	return false
}

// isLongRunning reports whether a job runs until it is cancelled.
func (j *job) isLongRunning() bool {
	return slices.ContainsFunc(j.def.Steps, func(s submitter.Step) bool { return s.LongRunning })
}

// servedBefore reports whether job a is served before job b. The order is by priority, the lowest
// number first; then by lateness, since under overload jobs that are late anyway only delay those
// on time; then jobs that have begun, since a job is of no use until all of it is done; then by
// objective.
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
