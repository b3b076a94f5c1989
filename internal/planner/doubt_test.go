package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestWorkersInTroubleAreVisited checks that the runs of a worker that was in good
// health are given up once its lease is over, whatever keeps it from answering, and
// not before.
func TestWorkersInTroubleAreVisited(t *testing.T) {
	tests := map[string]func(b *testbed){
		"looks have no answer": func(b *testbed) {
			b.p.setPolling(b.p.workers["w"], true)
			b.update(0, PollAnswered{Worker: "w", SentAt: b.now, Err: errNoAnswer})
			b.p.setPolling(b.p.workers["w"], true)
		},
		"not listed any more": func(b *testbed) { delete(b.dir.Workers, "w") },
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			b.confirmStart(s)
			w := b.p.workers["w"]
			b.p.setPolling(w, true)
			b.update(time.Millisecond)
			if _, doubted := b.p.suspects[w]; doubted {
				t.Fatal("worker in good health is visited in each pass")
			}
			trouble(b)
			b.update(w.leaseEnd.Sub(b.now) - time.Millisecond)
			if len(w.runs) != 1 {
				t.Fatal("run given up before the lease is over")
			}
			b.update(2 * time.Millisecond)
			if len(w.runs) != 0 {
				t.Fatal("run not given up after the lease")
			}
		})
	}
}

// TestFailedTaskGoesElsewhere checks that a task does not run again where it failed
// while another worker has room, and does where none has.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	tests := map[string]struct {
		workers []connector.WorkerEntry
		moves   bool
	}{
		"another has room": {[]connector.WorkerEntry{workerOfSize("x", 8), workerOfSize("w", 8)}, true},
		"no other worker":  {[]connector.WorkerEntry{workerOfSize("w", 8)}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, tt.workers...)
			b.update(0)
			looks := b.commands
			for _, w := range tt.workers {
				b.commands = looks
				b.answerPoll(w.ID, connector.HoldAnswer{})
			}
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			if s.To.ID != "w" {
				t.Fatalf("first run on %s, want the first of two alike", s.To.ID)
			}
			b.confirmStart(s)
			b.p.setPolling(b.p.workers["w"], false)
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{Ended: []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndFailed}}})
			// What the failure says of the worker itself is another matter.
			b.p.workers["w"].failures = 0
			b.update(failureDelay)
			b.save()
			starts := b.starts()
			if len(starts) != 1 || (starts[0].To.ID != "w") != tt.moves {
				t.Fatalf("starts %v, want one that moves: %v", starts, tt.moves)
			}
		})
	}
}

// workerOfSize returns a worker of a number of cores.
func workerOfSize(id identifier.Worker, cores int) connector.WorkerEntry {
	e := workerEntry(id)
	e.Capacity = identifier.Size{Processors: identifier.Millicores(cores * 1000), Memory: 8000}
	return e
}
