package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// minLoggedWait is how long a task has to wait for a worker before that is logged, and the
	// least time between two log lines of a step.
	minLoggedWait = time.Second
	// maxWaitLines bounds the log lines about waiting steps per waitLogInterval, separately for
	// long-running steps and others: each line takes a count of all workers by their obstacles.
	maxWaitLines    = 5
	waitLogInterval = time.Second
	// ampleRoomFraction is the fraction of a service's processors that has to be unreserved for it
	// to have ample room. Tasks that are not long-running should not wait long then.
	ampleRoomFraction = 0.5
)

// lineBudget limits the log lines of one kind.
type lineBudget struct {
	since time.Time
	lines int
}

// take uses up one line of the budget, and reports whether it may be written.
func (b *lineBudget) take(now time.Time) bool {
	if now.Sub(b.since) >= waitLogInterval {
		b.since, b.lines = now, 0
	}
	b.lines++
	return b.lines <= maxWaitLines
}

// waitLog limits the log lines about waiting steps.
type waitLog struct {
	longRunning, other lineBudget
	// ampleRoom caches which services had ample room at ampleRoomAt.
	ampleRoom   map[identifier.Service]bool
	ampleRoomAt time.Time
}

// logWaits logs which steps wait for a worker while no tasks are placed.
func (p *Planner) logWaits() {
	for j := range p.waiting {
		for g := range j.groups() {
			p.logGroupWait(g)
		}
	}
}

// logGroupWait logs that tasks of a step have waited for long, and why. Steps that are not
// long-running are logged only beside ample room.
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

// hasAmpleRoom reports whether much of the processors of a service's listed workers is unreserved.
func (p *Planner) hasAmpleRoom(s identifier.Service) bool {
	if p.waitLog.ampleRoom == nil || p.now.Sub(p.waitLog.ampleRoomAt) >= waitLogInterval {
		p.waitLog.ampleRoom, p.waitLog.ampleRoomAt = p.servicesWithAmpleRoom(), p.now
	}
	return p.waitLog.ampleRoom[s]
}

// servicesWithAmpleRoom reports for each service whether it has ample room.
func (p *Planner) servicesWithAmpleRoom() map[identifier.Service]bool {
	type room struct{ capacity, reserved identifier.Millicores }
	rooms := map[identifier.Service]room{}
	for _, w := range p.workerList {
		if !w.listed {
			continue
		}
		r := rooms[w.entry.Service]
		rooms[w.entry.Service] = room{r.capacity + w.entry.Capacity.Processors, r.reserved + w.used.Processors}
	}
	ample := make(map[identifier.Service]bool, len(rooms))
	for s, r := range rooms {
		ample[s] = fraction(r.reserved, r.capacity) < 1-ampleRoomFraction
	}
	return ample
}

// waitReason returns what keeps a ready task from being placed.
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

// noteServiceResumed logs that a long-running task runs again, and for how long it did not.
func (p *Planner) noteServiceResumed(r *run) {
	t := r.task
	if t.downSince.IsZero() || r.unwanted {
		return
	}
	p.log.ServiceResumed(r.id, r.worker.id, p.now.Sub(t.downSince))
	t.downSince = time.Time{}
}
