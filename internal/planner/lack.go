package planner

import (
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// maxUnmetDemands bounds the sizes that are remembered of a service.
const maxUnmetDemands = 8

// unmetDemand is the size of a task that comes and goes for which no worker had room.
type unmetDemand struct {
	priority int
	size     identifier.Size
}

// unmetDemands remembers, by service, for which sizes a pass found no room. A task that lasts holds
// its room for as long as its job is there: if it took each piece that becomes free because
// it has waited longest, tasks that come and go would be left with pieces too small for them.
type unmetDemands struct {
	// lastPass are those of the last pass, next those of this one.
	lastPass, thisPass map[identifier.Service][]unmetDemand
}

func (l *unmetDemands) beginPass() {
	if l.lastPass == nil {
		l.lastPass, l.thisPass = map[identifier.Service][]unmetDemand{}, map[identifier.Service][]unmetDemand{}
	}
	l.lastPass, l.thisPass = l.thisPass, l.lastPass
	clear(l.thisPass)
}

// add notes that there was no room for a ready task. Steps for which a worker needs more than
// room are left out: what is left to them might stay unused.
func (l *unmetDemands) add(t *task) {
	step, q := t.group.step, &t.group.job.queue
	if step.LongRunning || loadKindOf(step) != loadPlain || step.Label != "" || step.MaxPerWorker > 0 || q.Advised {
		return
	}
	list := l.thisPass[q.Service]
	n := unmetDemand{q.Priority, step.Size}
	if len(list) >= maxUnmetDemands || slices.ContainsFunc(list, n.impliedBy) {
		return
	}
	l.thisPass[q.Service] = append(slices.DeleteFunc(list, func(o unmetDemand) bool { return o.impliedBy(n) }), n)
}

// impliedBy reports whether another lack is as urgent and no larger, so that it says the same of
// a worker's room and more.
func (n unmetDemand) impliedBy(by unmetDemand) bool {
	return by.priority <= n.priority && by.size.Fits(n.size)
}

// claims reports whether tasks that come and go, of a task's priority or more urgent, wait
// for the room that a worker has.
func (l *unmetDemands) claims(t *task, w *worker) bool {
	room := w.room()
	return slices.ContainsFunc(l.lastPass[w.entry.Service], func(n unmetDemand) bool {
		return n.priority <= t.group.job.queue.Priority && n.size.Fits(room)
	})
}
