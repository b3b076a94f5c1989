package planner

import (
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// maxShortages bounds the sizes that are remembered of a service.
const maxShortages = 8

// shortage is the size of a task that comes and goes for which no worker had room.
type shortage struct {
	priority int
	size     identifier.Size
}

// shortages remembers, by service, for which sizes a pass found no room. A task that lasts holds
// its room for as long as its job is there: if it took each piece that becomes free because
// it has waited longest, tasks that come and go would be left with pieces too small for them.
type shortages struct {
	// lastPass are those of the last pass, next those of this one.
	lastPass, thisPass map[identifier.Service][]shortage
}

func (l *shortages) beginPass() {
	if l.lastPass == nil {
		l.lastPass, l.thisPass = map[identifier.Service][]shortage{}, map[identifier.Service][]shortage{}
	}
	l.lastPass, l.thisPass = l.thisPass, l.lastPass
	clear(l.thisPass)
}

// add notes that there was no room for a ready task. Steps for which a worker needs more than
// room are left out: what is left to them might stay unused.
func (l *shortages) add(t *task) {
	step, q := t.group.step, &t.group.job.queue
	if step.LongRunning || loadKindOf(step) != loadPlain || step.Label != "" || step.MaxPerWorker > 0 || q.Advised {
		return
	}
	list := l.thisPass[q.Service]
	n := shortage{q.Priority, step.Size}
	if len(list) >= maxShortages || slices.ContainsFunc(list, n.impliedBy) {
		return
	}
	l.thisPass[q.Service] = append(slices.DeleteFunc(list, func(o shortage) bool { return o.impliedBy(n) }), n)
}

// impliedBy reports whether another lack is as urgent and no larger, so that it says the same of
// a worker's room and more.
func (n shortage) impliedBy(o shortage) bool { return o.priority <= n.priority && o.size.Fits(n.size) }

// claims reports whether tasks that come and go, of a task's priority or more urgent, wait
// for the room that a worker has.
func (l *shortages) claims(t *task, w *worker) bool {
	room := w.room()
	return slices.ContainsFunc(l.lastPass[w.entry.Service], func(n shortage) bool {
		return n.priority <= t.group.job.queue.Priority && n.size.Fits(room)
	})
}
