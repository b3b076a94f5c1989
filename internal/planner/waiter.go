package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// minLoggedWait is how long a task may wait for a worker before that is logged, and the
	// time between two lines of a step.
	minLoggedWait = time.Second
	// maxWaitLines bounds the lines about waiting steps in waitPeriod, those that last and
	// others apart: each counts the workers by what keeps the step from them.
	maxWaitLines    = 5
	waitLogInterval = time.Second
	// ampleRoomFraction is the part of a service's processors that is not reserved where a task that
	// does not last should not wait for long.
	ampleRoomFraction = 0.5
)

// lineBudget bounds the lines about steps that wait.
type lineBudget struct {
	since time.Time
	lines int
}

// take reports whether one more line may be written.
func (b *lineBudget) take(now time.Time) bool {
	if now.Sub(b.since) >= waitLogInterval {
		b.since, b.lines = now, 0
	}
	b.lines++
	return b.lines <= maxWaitLines
}

// waitLog are the lines about steps that wait.
type waitLog struct {
	longRunning, other lineBudget
	// roomy are the services with much free room at a moment.
	roomy   map[identifier.Service]bool
	roomyAt time.Time
}

// logWaits logs which steps wait for a worker while nothing more is placed.
func (p *Planner) logWaits() {
	for j := range p.waiting {
		for _, groups := range j.occurrences {
			for _, g := range groups {
				p.logGroupWait(g)
			}
		}
	}
}

// logGroupWait logs that tasks of a step have waited for long, and why: of any step that lasts,
// and of others beside much free room.
func (p *Planner) logGroupWait(g *taskGroup) {
	if g.readyTasks == 0 || p.now.Sub(g.waitLogged) < minLoggedWait || !g.step.LongRunning && !p.hasAmpleRoom(g.job.queue.Service) {
		return
	}
	t := g.firstReady()
	if t == nil || p.now.Sub(t.readyAt) < minLoggedWait || !p.waitLog.budgetFor(g).take(p.now) {
		return
	}
	g.waitLogged = p.now
	p.log.TasksWait(TaskWait{
		Job: g.job.def.ID, Step: g.index, Tasks: g.readyTasks, LongRunning: g.step.LongRunning,
		Waited: p.now.Sub(t.readyAt), Reason: p.waitReason(t),
	})
}

func (w *waitLog) budgetFor(g *taskGroup) *lineBudget {
	if g.step.LongRunning {
		return &w.longRunning
	}
	return &w.other
}

// hasAmpleRoom reports whether much of the processors of a service's listed workers is not
// reserved.
func (p *Planner) hasAmpleRoom(s identifier.Service) bool {
	if p.waitLog.roomy == nil || p.now.Sub(p.waitLog.roomyAt) >= waitLogInterval {
		p.waitLog.roomy, p.waitLog.roomyAt = p.servicesWithAmpleRoom(), p.now
	}
	return p.waitLog.roomy[s]
}

func (p *Planner) servicesWithAmpleRoom() map[identifier.Service]bool {
	type room struct{ whole, reserved identifier.Millicores }
	rooms := map[identifier.Service]room{}
	for _, w := range p.workerList {
		if !w.listed {
			continue
		}
		r := rooms[w.entry.Service]
		rooms[w.entry.Service] = room{r.whole + w.entry.Capacity.Processors, r.reserved + w.used.Processors}
	}
	roomy := make(map[identifier.Service]bool, len(rooms))
	for s, r := range rooms {
		roomy[s] = fraction(r.reserved, r.whole) < 1-ampleRoomFraction
	}
	return roomy
}

// waitReason says what keeps a ready task from being placed.
func (p *Planner) waitReason(t *task) string {
	switch {
	case !p.directoryFresh():
		return "the directory is too old"
	case p.claimLimitReached():
		return "as many starts are under way as are answered in time"
	default:
		return p.explainTask(t)
	}
}

// noteServiceResumed notes that a task that lasts runs again.
func (p *Planner) noteServiceResumed(r *run) {
	t := r.task
	if t.downSince.IsZero() || r.unwanted {
		return
	}
	p.log.ServiceResumed(r.id, r.worker.id, p.now.Sub(t.downSince))
	t.downSince = time.Time{}
}
