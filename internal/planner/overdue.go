package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// overdueScanInterval is the time between two scans for overdue runs, since each looks at all
	// runs.
	overdueScanInterval = 2 * time.Second
	// maxOverdueLines bounds the log lines of one scan.
	maxOverdueLines = 5
)

// Overdue is a run that has occupied its task and room for longer than a lease without being
// confirmed by its worker.
type Overdue struct {
	Run    connector.RunID
	Worker identifier.Worker
	// Runs counts the overdue runs at the worker.
	Runs  int
	Phase string
	Held  time.Duration
	// Reason is why no new runs are sent to the worker; empty if they may be.
	Reason  string
	Renewal Renewal
}

// overdue is the result of the last scan.
type overdue struct {
	scannedAt time.Time
	// runs counts the overdue runs, workers those that have been silent for longer than a lease.
	runs, workers int
}

// scanOverdue logs runs that have been unconfirmed for longer than a lease.
func (p *Planner) scanOverdue() {
	if p.now.Sub(p.overdue.scannedAt) < overdueScanInterval {
		return
	}
	p.overdue = overdue{scannedAt: p.now}
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

// silentFor returns for how long a worker has not been heard from in this term.
func (p *Planner) silentFor(w *worker) time.Duration { return p.now.Sub(later(w.heardAt, p.termStart)) }

// overdueOn returns the run of a worker that has been unconfirmed longest; Runs is 0 if none is
// overdue.
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
		o.Worker, o.Reason, o.Renewal = w.id, string(p.workerObstacle(w)), p.renewalOf(w)
		if !w.listed {
			o.Reason = "are not listed"
		}
	}
	return o
}

// unconfirmedFor returns how long a run has waited for its claim to be stored or for its worker to
// confirm it.
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
