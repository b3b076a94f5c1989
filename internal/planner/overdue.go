package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// overduePeriod is the time between two searches for runs that are held for long, since
	// each looks at all runs.
	overduePeriod = 2 * time.Second
	// overdueLines bounds the lines of one search.
	overdueLines = 5
)

// Overdue is a run that keeps its task and its room for longer than a lease although its
// worker did not confirm it meanwhile.
type Overdue struct {
	Run    connector.RunID
	Worker identifier.Worker
	// Runs counts those at the worker that are held so.
	Runs  int
	Phase string
	Held  time.Duration
	// Reason says what is wrong with the worker; empty for one in good health.
	Reason  string
	Renewal Renewal
}

// overdue is what the last search has found.
type overdue struct {
	searched time.Time
	// runs counts the runs that are held for longer than a lease, and workers those that
	// were not heard from for as long.
	runs, workers int
}

// findOverdue logs the runs that are held for longer than a lease.
func (p *Planner) findOverdue() {
	if p.now.Sub(p.overdue.searched) < overduePeriod {
		return
	}
	p.overdue = overdue{searched: p.now}
	lines := 0
	for _, w := range p.list {
		if p.unheard(w) > p.settings.Lease {
			p.overdue.workers++
		}
		o := p.overdueAt(w)
		if o.Runs == 0 {
			continue
		}
		p.overdue.runs += o.Runs
		if lines++; lines <= overdueLines {
			p.log.RunOverdue(o)
		}
	}
}

// unheard returns for how long a worker has not been heard from.
func (p *Planner) unheard(w *worker) time.Duration { return p.now.Sub(later(w.heardAt, p.began)) }

// overdueAt returns the run that is held longest at a worker; Runs is 0 if none is overdue.
func (p *Planner) overdueAt(w *worker) Overdue {
	var o Overdue
	silence := p.unheard(w)
	for _, r := range w.runs {
		held := max(silence, p.unconfirmed(r))
		if held <= p.settings.Lease {
			continue
		}
		o.Runs++
		if held > o.Held {
			o.Run, o.Phase, o.Held = r.id, r.phase.String(), held
		}
	}
	if o.Runs > 0 {
		o.Worker, o.Reason, o.Renewal = w.id, string(p.obstacleAt(w)), p.renewalOf(w)
		if !w.listed {
			o.Reason = "are not listed"
		}
	}
	return o
}

// unconfirmed returns for how long a run has waited for its claim to be stored, or for its
// worker to say whether it is there.
func (p *Planner) unconfirmed(r *run) time.Duration {
	switch r.phase {
	case runClaimed, runStarting, runUnsure:
		return p.now.Sub(later(r.started, r.sentAt))
	case runActive, runStopping:
	}
	return 0
}

// String implements fmt.Stringer.
func (p runPhase) String() string {
	switch p {
	case runClaimed:
		return "claimed"
	case runStarting:
		return "starting"
	case runUnsure:
		return "unsure"
	case runActive:
		return "active"
	case runStopping:
		return "stopping"
	}
	return ""
}
