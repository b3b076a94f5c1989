package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// expireLease starts a task on a worker that then answers nothing until its lease has run out.
func expireLease(b *testbed) StartRun {
	b.t.Helper()
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	for range maxStartTries {
		b.update(0, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Err: errNoAnswer})
	}
	b.failPoll("w")
	b.update(b.p.workers["w"].leaseEnd.Sub(b.now) + time.Millisecond)
	if n := len(b.p.workers["w"].runs); n != 0 {
		b.t.Fatalf("%d runs left after the lease ran out", n)
	}
	return s
}

// failPoll fails the poll in flight to a worker.
func (b *testbed) failPoll(id identifier.Worker) {
	b.update(0, PollAnswered{Worker: id, SentAt: b.now, Err: errNoAnswer})
}

// answerNewPoll answers a poll of a worker that was sent just now.
func (b *testbed) answerNewPoll(id identifier.Worker, a connector.HoldAnswer) {
	a.Verdict = connector.VerdictOK
	b.update(0, PollAnswered{Worker: id, Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers[id])}, SentAt: b.now, Answer: a})
}

// TestTaskRestartsAfterItsWorkerListsLateRunAndLeaves guards against a task that never restarts
// because its worker executed the start late, listed the run and then left the directory.
func TestTaskRestartsAfterItsWorkerListsLateRunAndLeaves(t *testing.T) {
	b := newTestbed(t, workerEntry("w"), workerEntry("x"))
	s := expireLease(b)
	delete(b.dir.Workers, "w")
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Active: []connector.ActiveRun{{Run: s.Order.Run}}})
	w := b.p.workers["w"]
	b.update(b.p.settings.Lease - time.Millisecond)
	if len(w.runs) != 1 {
		t.Fatal("run was given up while it may still be active")
	}
	b.update(b.p.settings.Lease)
	if t0 := b.p.lookupTask(s.Order.Run.Task); t0.phase != taskReady {
		t.Fatalf("task in phase %d with %d runs long after the lease ran out, want it ready", t0.phase, len(t0.runs))
	}
}

// TestRefusedStartKeepsTaskPlacedWhileAnotherRunIsActive guards against starting a task again when
// a start of it is refused although an earlier run, given up before, is still active.
func TestRefusedStartKeepsTaskPlacedWhileAnotherRunIsActive(t *testing.T) {
	tests := map[string]connector.OrderVerdict{
		"no room":         connector.VerdictNoRoom,
		"fenced":          connector.VerdictFenced,
		"no permit":       connector.VerdictInvalidTicket,
		"worker replaced": connector.VerdictOtherIncarnation,
	}
	for name, verdict := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"), workerEntry("x"))
			first := expireLease(b)
			b.answerNewPoll("x", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
			b.save()
			second := b.starts()
			if len(second) != 1 || second[0].To.ID != "x" {
				t.Fatalf("starts %v, want one on x", second)
			}
			b.p.workers["x"].sequence++
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 1, Active: []connector.ActiveRun{{Run: first.Order.Run}}})
			b.update(0, StartAnswered{Worker: "x", Run: second[0].Order.Run, Epoch: second[0].Order.Epoch, Answer: connector.OrderAnswer{Verdict: verdict}})
			if t0 := b.p.lookupTask(first.Order.Run.Task); t0.phase != taskPlaced || len(t0.runs) != 1 {
				t.Fatalf("task in phase %d with %d runs, want it placed with the active one", t0.phase, len(t0.runs))
			}
		})
	}
}

// TestClaimsAreSentAfterRestOfRoundIsRetired guards against claims that are never sent because the
// remaining jobs of their round are retired before they are stored.
func TestClaimsAreSentAfterRestOfRoundIsRetired(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	const old identifier.Job = "00000000000000bb"
	b.submit(old, submitter.Step{Count: 1, Size: smallSize})
	b.update(0, JobCancelled{ID: old})
	b.save()
	b.update(b.p.settings.Retention)
	b.answerNewPoll("w", connector.HoldAnswer{})
	b.submit("00000000000000aa", submitter.Step{Count: 1, Size: smallSize})
	b.p.markDirty(b.p.jobs[old])
	b.p.round = saveRound{jobs: b.p.dirtyJobs, claims: b.p.newClaims, ends: b.p.newEnds}
	b.p.dirtyJobs, b.p.newClaims = map[*job]struct{}{}, nil
	delete(b.p.round.jobs, b.p.jobs["00000000000000aa"])
	b.p.retirements.searchedAt = time.Time{}
	b.update(retentionMargin)
	if _, known := b.p.jobs[old]; known {
		t.Fatal("old job was not retired")
	}
	if !b.p.Dirty() {
		t.Fatal("Dirty is false although a claim waits to be stored")
	}
	b.save()
	if n := len(b.starts()); n != 1 {
		t.Fatalf("%d starts, want one for the claim", n)
	}
}

// TestExpiredWorkerWithOnlyAClaimKeepsItsEpoch guards against raising the epoch, and logging it, in
// every update while a claim waits on a worker whose lease has expired.
func TestExpiredWorkerWithOnlyAClaimKeepsItsEpoch(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	b.submit("00000000000000aa", submitter.Step{Count: 1, Size: smallSize})
	b.failPoll("w")
	w := b.p.workers["w"]
	b.update(later(w.leaseEnd, b.now).Sub(b.now))
	before := w.sequence
	for range 100 {
		b.update(10 * time.Millisecond)
	}
	if w.sequence != before || len(w.runs) != 1 {
		t.Fatalf("sequence %d with %d runs, want %d and the claim", w.sequence, len(w.runs), before)
	}
}

// TestOrdersToEarlierIncarnationAreFenced guards against a start that is executed seconds late by a
// worker which has restarted under the same id.
func TestOrdersToEarlierIncarnationAreFenced(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.answerNewPoll("w", connector.HoldAnswer{StartedAt: 2})
	poll, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	if !ok || poll.Order.Epoch <= s.Order.Epoch {
		t.Fatalf("poll %+v of the new incarnation does not fence the start with epoch %d", poll, s.Order.Epoch)
	}
}
