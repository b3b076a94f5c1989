package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// optimism is the part of the estimated rest of a job that it may still take, so
	// that an estimate which is too long does not count it as late.
	optimism = 0.7
	// patientPart is the part of the time that a job has to spare for which one of
	// its scavengers waits for a place where it harms nobody.
	patientPart = 0.25
	// minPatience and maxPatience bound it.
	minPatience = 300 * time.Millisecond
	maxPatience = 4 * time.Second
)

// chain returns the longest estimated chain of work of a job.
func chain(def *submitter.Job) time.Duration {
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
	return from.Add(time.Duration(float64(chain(&j.def))*stretch) + j.queue.Allowance.Std())
}

// restOfChain returns the longest estimated chain of work that is left of a job.
func (j *job) restOfChain() time.Duration {
	longest := time.Duration(0)
	for _, groups := range j.occurrences {
		ends := make([]time.Duration, len(groups))
		for i, g := range groups {
			for _, a := range g.step.After {
				ends[i] = max(ends[i], ends[a])
			}
			if g.done < len(g.tasks) {
				ends[i] += g.step.Estimate.Std()
			}
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// toSpare returns how much longer than estimated a job may take from now on to
// meet its objective; it is negative for one that is late.
func (p *Planner) toSpare(j *job) time.Duration {
	rest := time.Duration(optimism * float64(j.restOfChain()))
	return j.objective.Sub(p.now) - rest
}

// patience returns how long the scavengers of a group wait for a place where they
// harm nobody; it is zero for other tasks. Those whose job is late anyway wait
// longest: haste does not serve them.
func (p *Planner) patience(g *group) time.Duration {
	if !g.step.Scavenger {
		return 0
	}
	spare := p.toSpare(g.job)
	if spare < 0 {
		return maxPatience
	}
	return min(max(time.Duration(patientPart*float64(spare)), minPatience), maxPatience)
}

// turn is a job with ready tasks and its place in the order of service.
type turn struct {
	job  *job
	late bool
}

// waitingJobs returns the jobs with ready tasks in the order of service.
func (p *Planner) waitingJobs() []*job {
	turns := make([]turn, 0, len(p.waiting))
	for j := range p.waiting {
		turns = append(turns, turn{j, !j.lasts() && p.toSpare(j) < 0})
	}
	slices.SortFunc(turns, func(a, b turn) int {
		if before(a, b) {
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

// lasts reports whether a job runs until it is cancelled.
func (j *job) lasts() bool {
	return slices.ContainsFunc(j.def.Steps, func(s submitter.Step) bool { return s.LongRunning })
}

// before reports whether a job is served before another: by priority, then those
// that can meet their objectives before those that cannot, which only delay them
// under overload, then by the earliest objective.
func before(a, b turn) bool {
	if pa, pb := a.job.queue.Priority, b.job.queue.Priority; pa != pb {
		return pa < pb
	}
	if a.late != b.late {
		return b.late
	}
	if !a.job.objective.Equal(b.job.objective) {
		return a.job.objective.Before(b.job.objective)
	}
	return a.job.def.ID < b.job.def.ID
}
