package planner

import (
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// maxShortages bounds the shortages remembered per service.
const maxShortages = 8

// shortage is the size of a task that runs to completion and for which no worker had room.
type shortage struct {
	priority int
	size     identifier.Size
}

// shortages remembers, by service, for which sizes a pass found no room. A long-running task holds
// its room until its job is cancelled: if it took each piece that becomes free, because it has
// waited longest, tasks that run to completion would be left with pieces too small for them.
type shortages struct {
	// lastPass has the shortages of the previous pass, thisPass those found so far in this one.
	lastPass, thisPass map[identifier.Service][]shortage
}

// beginPass turns the shortages of this pass into those of the previous one.
func (s *shortages) beginPass() {
	if s.lastPass == nil {
		s.lastPass, s.thisPass = map[identifier.Service][]shortage{}, map[identifier.Service][]shortage{}
	}
	s.lastPass, s.thisPass = s.thisPass, s.lastPass
	clear(s.thisPass)
}

// add records that there was no room for a ready task. Steps that need more than room on a worker
// are left out: room kept free for them might stay unused.
func (s *shortages) add(t *task) {
	step, q := t.group.step, &t.group.job.queue
	if step.LongRunning || loadKindOf(step) != loadPlain || step.Label != "" || step.MaxPerWorker > 0 || q.Advised {
		return
	}
	list := s.thisPass[q.Service]
	found := shortage{q.Priority, step.Size}
	if len(list) >= maxShortages || slices.ContainsFunc(list, found.impliedBy) {
		return
	}
	s.thisPass[q.Service] = append(slices.DeleteFunc(list, func(o shortage) bool { return o.impliedBy(found) }), found)
}

// impliedBy reports whether o is at least as urgent as s and no larger, so that the room withheld
// for o includes all room that would be withheld for s.
func (s shortage) impliedBy(o shortage) bool { return o.priority <= s.priority && o.size.Fits(s.size) }

// withholds reports whether a worker's room has to be left to waiting tasks that run to completion,
// of the same priority as the long-running task t or more urgent.
func (s *shortages) withholds(t *task, w *worker) bool {
	room := w.room()
	return slices.ContainsFunc(s.lastPass[w.entry.Service], func(other shortage) bool {
		return other.priority <= t.group.job.queue.Priority && other.size.Fits(room)
	})
}
