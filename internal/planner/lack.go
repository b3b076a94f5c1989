package planner

import (
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// maxLacks bounds the sizes that are remembered of a service.
const maxLacks = 8

// lack is the size of a task that comes and goes for which no worker had room.
type lack struct {
	priority int
	size     identifier.Size
}

// lacks remembers, by service, for which sizes a pass found no room. A task that lasts holds
// its room for as long as its job is there: if it took each piece that becomes free because
// it has waited longest, tasks that come and go would be left with pieces too small for them.
type lacks struct {
	// last are those of the last pass, next those of this one.
	last, next map[identifier.Service][]lack
}

func (l *lacks) beginPass() {
	if l.last == nil {
		l.last, l.next = map[identifier.Service][]lack{}, map[identifier.Service][]lack{}
	}
	l.last, l.next = l.next, l.last
	clear(l.next)
}

// add notes that there was no room for a ready task. Steps for which a worker needs more than
// room are left out: what is left to them might stay unused.
func (l *lacks) add(t *task) {
	step, q := t.group.step, &t.group.job.queue
	if step.LongRunning || kindOf(step) != loadPlain || step.Label != "" || step.MaxPerWorker > 0 || q.Advised {
		return
	}
	list := l.next[q.Service]
	n := lack{q.Priority, step.Size}
	if len(list) >= maxLacks || slices.ContainsFunc(list, n.implied) {
		return
	}
	l.next[q.Service] = append(slices.DeleteFunc(list, func(o lack) bool { return o.implied(n) }), n)
}

// implied reports whether another lack is as urgent and no larger, so that it says the same of
// a worker's room and more.
func (n lack) implied(by lack) bool { return by.priority <= n.priority && by.size.Fits(n.size) }

// claim reports whether tasks that come and go, of a task's priority or more urgent, wait
// for the room that a worker has.
func (l *lacks) claim(t *task, w *worker) bool {
	room := w.room()
	return slices.ContainsFunc(l.last[w.entry.Service], func(n lack) bool {
		return n.priority <= t.group.job.queue.Priority && n.size.Fits(room)
	})
}
