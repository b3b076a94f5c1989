package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// longWait is how long a task may wait for a worker before that is logged, and the
	// time between two lines of a step.
	longWait = time.Second
	// waitLines bounds the lines about waiting steps in waitPeriod, those that last and
	// others apart: each counts the workers by what keeps the step from them.
	waitLines  = 5
	waitPeriod = time.Second
	// muchRoom is the part of a service's processors that is not reserved where a task that
	// does not last should not wait for long.
	muchRoom = 0.5
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

// waits are the lines about steps that wait.
type waits struct {
	lasting, other waitBudget
	// roomy are the services with much free room at a moment.
	roomy   map[identifier.Service]bool
	roomyAt time.Time
}

// logWaits logs which steps wait for a worker while nothing more is placed.
func (p *Planner) logWaits() {
	for j := range p.waiting {
		for _, groups := range j.occurrences {
			for _, g := range groups {
				p.logWait(g)
			}
		}
	}
}

// logWait logs that tasks of a step have waited for long, and why: of any step that lasts,
// and of others beside much free room.
func (p *Planner) logWait(g *group) {
	if g.ready == 0 || p.now.Sub(g.waitLogged) < longWait || !g.step.LongRunning && !p.hasMuchRoom(g.job.queue.Service) {
		return
	}
	t := g.firstReady()
	if t == nil || p.now.Sub(t.readyAt) < longWait || !p.waits.of(g).take(p.now) {
		return
	}
	g.waitLogged = p.now
	p.log.TasksWait(Wait{
		Job: g.job.def.ID, Step: g.index, Tasks: g.ready, Lasting: g.step.LongRunning,
		Waited: p.now.Sub(t.readyAt), Reason: p.reasonToWait(t),
	})
}

func (w *waits) of(g *group) *waitBudget {
	if g.step.LongRunning {
		return &w.lasting
	}
	return &w.other
}

// hasMuchRoom reports whether much of the processors of a service's listed workers is not
// reserved.
func (p *Planner) hasMuchRoom(s identifier.Service) bool {
	if p.waits.roomy == nil || p.now.Sub(p.waits.roomyAt) >= waitPeriod {
		p.waits.roomy, p.waits.roomyAt = p.roomyServices(), p.now
	}
	return p.waits.roomy[s]
}

func (p *Planner) roomyServices() map[identifier.Service]bool {
	type room struct{ whole, reserved identifier.Millicores }
	rooms := map[identifier.Service]room{}
	for _, w := range p.list {
		if !w.listed {
			continue
		}
		r := rooms[w.entry.Service]
		rooms[w.entry.Service] = room{r.whole + w.entry.Capacity.Processors, r.reserved + w.used.Processors}
	}
	roomy := make(map[identifier.Service]bool, len(rooms))
	for s, r := range rooms {
		roomy[s] = share(r.reserved, r.whole) < 1-muchRoom
	}
	return roomy
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
