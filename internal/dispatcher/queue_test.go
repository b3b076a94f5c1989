package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamcove/balsamcove/internal/planner"
)

// TestEventsAreNeverDropped checks that the queue holds any number of events in order, and reports
// how long the oldest has waited.
func TestEventsAreNeverDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = 100_000
		q := newEventQueue()
		if list, waited := q.take(); len(list) != 0 || waited != 0 {
			t.Fatalf("%d events, waited %v, want none", len(list), waited)
		}
		for n := range events {
			q.put(planner.StopAnswered{Worker: workerID(n)})
		}
		time.Sleep(time.Second)
		<-q.ready
		list, waited := q.take()
		if len(list) != events || waited != time.Second {
			t.Fatalf("%d events after %v, want %d after 1s", len(list), waited, events)
		}
		for n, e := range list {
			if e.(planner.StopAnswered).Worker != workerID(n) {
				t.Fatalf("event %d is %v", n, e)
			}
		}
	})
}
