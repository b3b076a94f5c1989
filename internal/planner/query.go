package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// State returns the state of a job that callers may see, which is the last one stored; ok is false
// for an unknown job.
func (p *Planner) State(id identifier.Job) (state JobState, ok bool) {
	j, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return j.visibleState, true
}

// UnstartedJobs returns how many jobs of a queue wait: no worker has begun a task of them, as far as is known.
func (p *Planner) UnstartedJobs(queue identifier.Queue) int {
	n := 0
	for _, j := range p.jobs {
		if j.queueName() == queue && !j.started && !j.state.Ended() {
			n++
		}
	}
	return n
}

// Workers returns the number of known workers.
func (p *Planner) Workers() int { return len(p.workers) }

// WaitingJobs returns how many jobs have tasks that wait for a worker.
func (p *Planner) WaitingJobs() int { return len(p.waiting) }

// Stats is a snapshot of the planner's state for metrics.
type Stats struct {
	Jobs       int
	ActiveJobs int
	ReadyTasks int
	// NearWaits are the ready tasks that wait for the rack of their data although others have room.
	NearWaits int
	// QuotaTasks are the ready tasks that wait for the limit of their team.
	QuotaTasks    int
	Runs          int
	Workers       int
	UsableWorkers int
	// Capacity is the total of the usable workers. On these, Reserved is what all tasks but
	// scavengers reserve, Serving the part of it for serving tasks, and Scavenging what scavengers
	// were promised.
	Capacity   identifier.Millicores
	Reserved   identifier.Millicores
	Serving    identifier.Millicores
	Scavenging identifier.Millicores
	// LargestRoom is the most unreserved processors that any usable worker has.
	LargestRoom identifier.Millicores
	// QuietWorkers are the usable workers without serving tasks.
	QuietWorkers int
	// HarmfulPairs counts the pairs of images with an interference above harmfulInterference.
	HarmfulPairs int
	// Starts counts the starts sent, StartsLate those answered late or not at all, Polls the
	// answered polls, and ListedRuns the runs listed in these.
	Starts, StartsLate, Polls, ListedRuns int
	// OrdersUnderWay are the starts and stops in flight, of at most OrdersLimit. UnsentClaims are
	// the claimed runs whose start was not sent yet, HeldClaims those of them that are stored, and
	// HeldStops the stops that wait for a slot.
	OrdersUnderWay, OrdersLimit, UnsentClaims, HeldClaims, HeldStops int
	// OverdueRuns are the runs held for longer than a lease without confirmation by their workers,
	// and SilentWorkers the workers not heard from for as long.
	OverdueRuns, SilentWorkers int
	// LentWorkers are the workers of this cell that were granted to others, and BorrowedWorkers those of
	// others that it holds.
	LentWorkers, BorrowedWorkers int
	// OldestReady is the longest time that a task has waited for a worker.
	OldestReady time.Duration
}

// Stats returns the current counts.
func (p *Planner) Stats() Stats {
	s := Stats{
		Jobs: len(p.jobs), Workers: len(p.workers), NearWaits: p.nearWaits,
		Starts: p.counts.starts, StartsLate: p.counts.startsLate, Polls: p.counts.polls, ListedRuns: p.counts.listedRuns,
		OrdersUnderWay: p.orderWindow.InFlight(), OrdersLimit: p.orderWindow.Limit(), UnsentClaims: p.unsentClaims, HeldClaims: len(p.heldClaims), HeldStops: len(p.stops.queued),
		OverdueRuns: p.overdue.runs, SilentWorkers: p.overdue.workers,
	}
	s.LentWorkers, s.BorrowedWorkers = p.lentWorkers()
	for j := range p.waiting {
		s.OldestReady = max(s.OldestReady, p.now.Sub(j.readySince()))
		s.QuotaTasks += p.quotaTasks(j)
	}
	for _, j := range p.jobs {
		if !j.state.Ended() {
			s.ActiveJobs++
		}
		s.ReadyTasks += j.readyTasks
		s.Runs += j.runCount
	}
	s.HarmfulPairs = p.estimator.CountAbove(harmfulInterference)
	for _, w := range p.workers {
		if p.usable(w) {
			s.UsableWorkers++
			s.Capacity += w.entry.Capacity.Processors
			s.Reserved += w.used.Processors
			s.Serving += w.servingCPU
			s.Scavenging += w.scavengerCPU
			if w.serving == 0 {
				s.QuietWorkers++
			}
			s.LargestRoom = max(s.LargestRoom, w.room().Processors)
		}
	}
	return s
}

// counts are totals since the planner was created.
type counts struct{ starts, startsLate, polls, listedRuns int }

// readySince returns since when the earliest of the job's ready tasks has been ready, where each
// step counts with its first one; zero if none is ready.
func (j *job) readySince() time.Time {
	var since time.Time
	for g := range j.groups() {
		if t := g.firstReady(); t != nil && (since.IsZero() || t.readyAt.Before(since)) {
			since = t.readyAt
		}
	}
	return since
}
