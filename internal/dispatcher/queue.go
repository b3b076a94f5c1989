package dispatcher

import (
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/planner"
)

// eventQueue is an unbounded queue of events for the planner. Its methods are safe for concurrent
// use.
type eventQueue struct {
	// ready holds a token while events wait; it may hold one although take got them already.
	ready chan struct{}

	mu     sync.Mutex
	events []planner.Event
	// oldestAt is when the oldest event was added.
	oldestAt time.Time
}

func newEventQueue() *eventQueue { return &eventQueue{ready: make(chan struct{}, 1)} }

// put adds an event and makes ready readable. It never blocks.
func (q *eventQueue) put(e planner.Event) {
	q.mu.Lock()
	if len(q.events) == 0 {
		q.oldestAt = time.Now()
	}
	q.events = append(q.events, e)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all events, and how long the oldest of them has waited.
func (q *eventQueue) take() (events []planner.Event, waited time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return nil, 0
	}
	events, q.events = q.events, nil
	return events, time.Since(q.oldestAt)
}
