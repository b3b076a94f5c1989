package planner

import "time"

const (
	// longWait is how long a task that lasts may wait for a worker before that is
	// logged, and the time between two lines of a step.
	longWait = time.Second
	// waitLines bounds the lines about waiting steps in waitPeriod: each counts the
	// workers by what keeps the step from them.
	waitLines  = 5
	waitPeriod = time.Second
)

// waitBudget bounds the lines about steps that wait.
type waitBudget struct {
	since time.Time
	lines int
}

// take reports whether one more line may be written.
func (b *waitBudget) take(now time.Time) bool {
	if now.Sub(b.since) >= waitPeriod {
		b.since, b.lines = now, 0
	}
	b.lines++
	return b.lines <= waitLines
}

// logWaits logs which steps that last wait for a worker while nothing more is placed.
func (p *Planner) logWaits() {
	for j := range p.waiting {
		if !j.lasts() {
			continue
		}
		for _, groups := range j.occurrences {
			for _, g := range groups {
				p.logWait(g)
			}
		}
	}
}

// logWait logs that tasks of a step that lasts have waited for long, and why.
func (p *Planner) logWait(g *group) {
	if g.ready == 0 || !g.step.LongRunning || p.now.Sub(g.waitLogged) < longWait {
		return
	}
	t := g.firstReady()
	if t == nil || p.now.Sub(t.readyAt) < longWait || !p.waits.take(p.now) {
		return
	}
	g.waitLogged = p.now
	p.log.TasksWait(Wait{Job: g.job.def.ID, Step: g.index, Tasks: g.ready, Waited: p.now.Sub(t.readyAt), Reason: p.reasonToWait(t)})
}

// reasonToWait says what keeps a ready task from being placed.
func (p *Planner) reasonToWait(t *task) string {
	switch {
	case !p.fresh():
		return "the directory is too old"
	case p.claimsFull():
		return "as many starts are under way as are answered in time"
	default:
		return p.explainTask(t)
	}
}

// serviceResumed notes that a task that lasts runs again.
func (p *Planner) serviceResumed(r *run) {
	t := r.task
	if t.outSince.IsZero() || r.unwanted {
		return
	}
	p.log.ServiceResumed(r.id, r.worker.id, p.now.Sub(t.outSince))
	t.outSince = time.Time{}
}
