package scheduler

import (
	"sort"
	"time"

	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// waitingEntry is a task that waits, with what orders it.
type waitingEntry struct {
	id    identifier.Task
	rank  int
	fresh bool
	atMs  int64
	since time.Time
}

func (e waitingEntry) before(o waitingEntry) bool {
	if e.rank != o.rank {
		return e.rank < o.rank
	}
	if e.fresh != o.fresh {
		return o.fresh
	}
	if e.atMs != o.atMs {
		return e.atMs < o.atMs
	}
	return e.id < o.id
}

// queue keeps waiting tasks in order: the more urgent first, of those the ones
// that were running before they were evicted, then the older.
// The zero value is empty.
type queue struct {
	entries []waitingEntry
	byID    map[identifier.Task]waitingEntry
}

func waitingTask(t tracker.Task, pool *parser.BatchPool) waitingEntry {
	e := waitingEntry{id: t.ID, rank: rankOf(parser.PriorityLow) + 1, fresh: t.Evictions == 0, atMs: t.SubmittedAtUnixMs, since: time.Now()}
	if pool != nil {
		e.rank = rankOf(pool.Priority)
	}
	return e
}

func rankOf(p parser.Priority) int {
	switch p {
	case parser.PriorityUrgent:
		return 0
	case parser.PriorityNormal:
		return 1
	default:
		return 2
	}
}

func (q *queue) clear() { *q = queue{} }

func (q *queue) len() int { return len(q.entries) }

func (q *queue) insert(e waitingEntry) {
	if q.byID == nil {
		q.byID = map[identifier.Task]waitingEntry{}
	}
	q.remove(e.id)
	i := q.search(e)
	q.entries = append(q.entries, waitingEntry{})
	copy(q.entries[i+1:], q.entries[i:])
	q.entries[i] = e
	q.byID[e.id] = e
}

func (q *queue) remove(id identifier.Task) {
	e, ok := q.byID[id]
	if !ok {
		return
	}
	delete(q.byID, id)
	i := q.search(e)
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
}

func (q *queue) search(e waitingEntry) int {
	return sort.Search(len(q.entries), func(i int) bool { return !q.entries[i].before(e) })
}

// since returns when this host learned that a task waits.
func (q *queue) since(id identifier.Task) time.Time { return q.byID[id].since }
