package scheduler

import (
	"sort"
	"time"

	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// queueEntry is a waiting task with its sort keys. A lower priority value comes first. queuedAt is
// when this host learned that the task waits; it does not affect the order.
type queueEntry struct {
	id            identifier.Task
	priority      int
	neverEvicted  bool
	submittedAtMs int64
	queuedAt      time.Time
}

// before reports whether e is to be claimed before o.
func (e queueEntry) before(o queueEntry) bool {
	if e.priority != o.priority {
		return e.priority < o.priority
	}
	if e.neverEvicted != o.neverEvicted {
		return o.neverEvicted
	}
	if e.submittedAtMs != o.submittedAtMs {
		return e.submittedAtMs < o.submittedAtMs
	}
	return e.id < o.id
}

// queue keeps waiting tasks in the order in which they are to be claimed: by priority, then tasks
// that were evicted while running before the others, then by time of submission. The zero value is
// an empty queue.
type queue struct {
	entries []queueEntry
	byID    map[identifier.Task]queueEntry
}

// newQueueEntry returns the queue entry of a task. A task whose pool is not in the configuration
// sorts after all others.
func newQueueEntry(t tracker.Task, pool *parser.BatchPool) queueEntry {
	e := queueEntry{id: t.ID, priority: priorityRank(parser.PriorityLow) + 1, neverEvicted: t.Evictions == 0, submittedAtMs: t.SubmittedAtUnixMs, queuedAt: time.Now()}
	if pool != nil {
		e.priority = priorityRank(pool.Priority)
	}
	return e
}

func priorityRank(p parser.Priority) int {
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

func (q *queue) insert(e queueEntry) {
	if q.byID == nil {
		q.byID = map[identifier.Task]queueEntry{}
	}
	q.remove(e.id)
	i := q.search(e)
	q.entries = append(q.entries, queueEntry{})
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

// search returns the position at which e is, or would have to be inserted.
func (q *queue) search(e queueEntry) int {
	return sort.Search(len(q.entries), func(i int) bool { return !q.entries[i].before(e) })
}

// queuedAt returns when this host learned that a task waits; zero if the task is not queued.
func (q *queue) queuedAt(id identifier.Task) time.Time { return q.byID[id].queuedAt }
