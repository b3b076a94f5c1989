package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// State returns the state of a job as callers may see it; ok is false for a job
// that is not known.
func (p *Planner) State(id identifier.Job) (state JobState, ok bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return j.visibleState, true
}

// UnstartedJobs returns how many jobs of a queue have not started.
func (p *Planner) UnstartedJobs(queue identifier.Queue) int {
	n := 0
	for _, j := range p.jobs {
		if j.def.Queue == queue && !j.started && !j.state.Ended() {
			n++
		}
	}
	return n
}

// Workers returns how many workers are known.
func (p *Planner) Workers() int { return len(p.workers) }

// WaitingJobs returns how many jobs have tasks that wait for room.
func (p *Planner) WaitingJobs() int { return len(p.waiting) }

// Stats counts what the planner holds.
type Stats struct {
	Jobs          int
	ActiveJobs    int
	ReadyTasks    int
	Runs          int
	Workers       int
	UsableWorkers int
	// Capacity is that of the usable workers; Reserved, Serving and Scavenging
	// are the processors that runs on them asked for.
	Capacity   identifier.Millicores
	Reserved   identifier.Millicores
	Serving    identifier.Millicores
	Scavenging identifier.Millicores
	// LargestRoom is the most that a usable worker has free.
	LargestRoom identifier.Millicores
	// QuietWorkers are those without tasks that serve.
	QuietWorkers int
	// HarmfulPairs are the pairs of images that are kept apart.
	HarmfulPairs int
	// Starts counts the starts that were sent, StartsLate those that were answered late or
	// not at all, Looks the answers of workers and ListedRuns the runs that these listed.
	Starts, StartsLate, Polls, ListedRuns int
	// OrdersUnderWay, starts and stops, of at most OrdersLimit wait for an answer;
	// UnsentClaims are places whose starts are not sent yet, HeldClaims those of them that
	// are stored, HeldStops are stops that wait.
	OrdersUnderWay, OrdersLimit, UnsentClaims, HeldClaims, HeldStops int
	// OverdueRuns are held for longer than a lease without a word of their workers,
	// SilentWorkers are those that were not heard from for as long.
	OverdueRuns, SilentWorkers int
	// OldestReady is how long a task that waits for a place has been ready at most.
	OldestReady time.Duration
}

// Stats returns the present counts.
func (p *Planner) Stats() Stats {
	s := Stats{
		Jobs: len(p.jobs), Workers: len(p.workers),
		Starts: p.counts.starts, StartsLate: p.counts.startsLate, Polls: p.counts.polls, ListedRuns: p.counts.listedRuns,
		OrdersUnderWay: p.orderWindow.InFlight(), OrdersLimit: p.orderWindow.Limit(), UnsentClaims: p.unsentClaims, HeldClaims: len(p.heldClaims), HeldStops: len(p.stops.queued),
		OverdueRuns: p.overdue.runs, SilentWorkers: p.overdue.workers,
	}
	for j := range p.waiting {
		s.OldestReady = max(s.OldestReady, p.now.Sub(j.readySince()))
	}
	for _, j := range p.jobs {
		if !j.state.Ended() {
			s.ActiveJobs++
		}
		s.ReadyTasks += j.readyTasks
		s.Runs += j.runCount
	}
	s.HarmfulPairs = p.estimator.CountAbove(harmfulPressure)
	for _, w := range p.workers {
		if p.usable(w) {
			s.UsableWorkers++
			s.Capacity += w.entry.Capacity.Processors
			s.Reserved += w.used.Processors
			s.Serving += w.serveCPU
			s.Scavenging += w.scavengerCPU
			if w.serving == 0 {
				s.QuietWorkers++
			}
			s.LargestRoom = max(s.LargestRoom, w.room().Processors)
		}
	}
	return s
}

// counts are those of a planner's life.
type counts struct{ starts, startsLate, polls, listedRuns int }

// readySince returns since when the job's first ready task has been ready; only to be
// asked of a job that has one.
func (j *job) readySince() time.Time {
	var since time.Time
	for _, groups := range j.occurrences {
		for _, g := range groups {
			if t := g.firstReady(); t != nil && (since.IsZero() || t.readyAt.Before(since)) {
				since = t.readyAt
			}
		}
	}
	return since
}
