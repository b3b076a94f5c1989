package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// overdueScanInterval is the time between two searches for runs that are held for long, since
	// each looks at all runs.
	overdueScanInterval = 2 * time.Second
	// maxOverdueLines bounds the lines of one search.
	maxOverdueLines = 5
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

// scanOverdue logs the runs that are held for longer than a lease.
func (p *Planner) scanOverdue() {
	if p.now.Sub(p.overdue.searched) < overdueScanInterval {
		return
	}
	p.overdue = overdue{searched: p.now}
	lines := 0
	for _, w := range p.workerList {
		if p.silentFor(w) > p.settings.Lease {
			p.overdue.workers++
		}
		o := p.overdueOn(w)
		if o.Runs == 0 {
			continue
		}
		p.overdue.runs += o.Runs
		if lines++; lines <= maxOverdueLines {
			p.log.RunOverdue(o)
		}
	}
}

// silentFor returns for how long a worker has not been heard from.
func (p *Planner) silentFor(w *worker) time.Duration { return p.now.Sub(later(w.heardAt, p.termStart)) }

// overdueOn returns the run that is held longest at a worker; Runs is 0 if none is overdue.
func (p *Planner) overdueOn(w *worker) Overdue {
	var o Overdue
	silence := p.silentFor(w)
	for _, r := range w.runs {
		held := max(silence, p.unconfirmedFor(r))
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

// unconfirmedFor returns for how long a run has waited for its claim to be stored, or for its
// worker to say whether it is there.
func (p *Planner) unconfirmedFor(r *run) time.Duration {
	switch r.phase {
	case runClaimed, runStarting, runUnsure:
		return p.now.Sub(later(r.startedAt, r.startSentAt))
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
