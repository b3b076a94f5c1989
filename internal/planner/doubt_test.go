package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestRunsOfSilentWorkerAreLostAfterItsLease checks that the runs of a worker that stops answering,
// for whatever reason, are given up once its lease has run out and not before.
func TestRunsOfSilentWorkerAreLostAfterItsLease(t *testing.T) {
	tests := map[string]func(b *testbed){
		"polls have no answer": func(b *testbed) {
			b.p.setPolling(b.p.workers["w"], true)
			b.update(0, PollAnswered{Worker: "w", SentAt: b.now, Err: errNoAnswer})
			b.p.setPolling(b.p.workers["w"], true)
		},
		"no longer listed": func(b *testbed) { delete(b.dir.Workers, "w") },
	}
	for name, silence := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			b.confirmStart(s)
			w := b.p.workers["w"]
			b.p.setPolling(w, true)
			b.update(time.Millisecond)
			if _, suspect := b.p.suspects[w]; suspect {
				t.Fatal("healthy worker is still a suspect")
			}
			silence(b)
			b.update(w.leaseEnd.Sub(b.now) - time.Millisecond)
			if len(w.runs) != 1 {
				t.Fatal("run given up before the lease ran out")
			}
			b.update(2 * time.Millisecond)
			if len(w.runs) != 0 {
				t.Fatal("run not given up after the lease ran out")
			}
		})
	}
}

// TestFailedTaskPrefersAnotherWorker checks that a failed task restarts on another worker with
// room, and on the same one only if there is no other.
func TestFailedTaskPrefersAnotherWorker(t *testing.T) {
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
			polls := b.commands
			for _, w := range tt.workers {
				b.commands = polls
				b.answerPoll(w.ID, connector.HoldAnswer{})
			}
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			if s.To.ID != "w" {
				t.Fatalf("first run on %s, want w, the first of two equal workers", s.To.ID)
			}
			b.confirmStart(s)
			b.p.setPolling(b.p.workers["w"], false)
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{Ended: []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndFailed}}})
			// The failure also counts against the worker, which is not what this test is about.
			b.p.workers["w"].failures = 0
			b.update(failureDelay)
			b.save()
			starts := b.starts()
			if len(starts) != 1 || (starts[0].To.ID != "w") != tt.moves {
				t.Fatalf("starts %v, want one, on another worker: %v", starts, tt.moves)
			}
		})
	}
}

// workerOfSize returns a worker with a number of cores.
func workerOfSize(id identifier.Worker, cores int) connector.WorkerEntry {
	e := workerEntry(id)
	e.Capacity = identifier.Size{Processors: identifier.Millicores(cores * 1000), Memory: 8000}
	return e
}
