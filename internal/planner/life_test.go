package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRunCarriedOutInALaterLifeKeepsItsTask guards against a second run of a task beside one
// that was sent to a worker's life before: its lease is what the next life grants by its own clock.
func TestRunCarriedOutInALaterLifeKeepsItsTask(t *testing.T) {
	tests := map[string]func(b *bench, s StartRun){
		"the start had no answer": func(*bench, StartRun) {},
		"the start was confirmed": func(b *bench, s StartRun) { b.confirm(s) },
		"it was sent again to the later life": func(b *bench, s StartRun) {
			b.answer("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, Born: 2})
			b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errLost})
			if n := len(b.starts()); n != 1 {
				b.t.Fatalf("%d starts, want it again", n)
			}
		},
		"a look came between": func(b *bench, _ StartRun) {
			b.answer("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, Born: 2})
		},
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, workerEntry("w"))
			b.p.settings.Granted = 2 * b.p.settings.Lease
			b.update(0)
			b.look("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: connector.WorkerClock(time.Hour)}, Born: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: small})
			before(b, s)
			b.answer("w", connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Clock: connector.WorkerClock(time.Second)}, Born: 2, Active: []connector.ActiveRun{{Run: s.Order.Run}},
			})
			b.unanswered("w")
			b.update(b.p.settings.Granted - time.Millisecond)
			if w := b.p.workers["w"]; len(w.runs) != 1 {
				t.Fatal("the run is given up while it may go on")
			}
		})
	}
}
