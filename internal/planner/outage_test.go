package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// TestHeldClaimIsCheckedAgainstNewDirectory checks that a claim held back because the directory was
// too old is withdrawn if the new directory rules out its worker.
func TestHeldClaimIsCheckedAgainstNewDirectory(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	b.submit("00000000000000aa", longRunningStep)
	batch := b.p.TakeBatch()
	b.now = b.now.Add(b.p.settings.MaxDirectoryAge + 10*time.Millisecond)
	b.commands = b.p.Update(b.now, BatchSaved{batch})
	b.dir.Evacuated["a"] = true
	b.update(10 * time.Millisecond)
	if n := len(b.starts()); n != 0 || len(b.p.workers["w"].runs) != 0 {
		t.Fatalf("%d starts and %d runs in an evacuated data centre", n, len(b.p.workers["w"].runs))
	}
}

// TestRenewalAfterMissedPollsStaysWithinRequestedLease checks that polls after missed ones renew
// the lease only up to the end that was requested before. The worker then keeps its runs if one of
// them arrives, while leaseEnd stays as it is, so that the runs are given up no later than without
// them.
func TestRenewalAfterMissedPollsStaysWithinRequestedLease(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	first, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	if !ok {
		t.Fatal("no poll after an answer")
	}
	start := b.startOne(longRunningStep)
	run := start.Order.Run
	b.confirmStart(start)
	b.update(time.Millisecond, PollAnswered{Worker: "w", Order: first.Order, SentAt: b.now, Answer: connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1000}, StartedAt: 1,
		Active: []connector.ActiveRun{{Run: run}},
	}})
	var requested connector.WorkerClock
	var leaseOver time.Time
	w := b.p.workers["w"]
	for range maxRenewMisses {
		poll, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		for wait := 0; !ok && wait < 100; wait++ {
			b.update(50 * time.Millisecond)
			poll, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		}
		if !ok {
			t.Fatal("no poll")
		}
		if poll.Order.LeaseUntil == nil {
			t.Fatal("poll does not renew the lease although fewer than maxRenewMisses were missed")
		}
		requested, leaseOver = *poll.Order.LeaseUntil, b.now.Add(b.p.settings.Lease)
		b.update(500*time.Millisecond, PollAnswered{Worker: "w", Order: poll.Order, SentAt: b.now, Err: errNoAnswer})
	}
	leaseEnd := w.leaseEnd
	polls := 0
	for b.now.Before(leaseOver.Add(-time.Second)) {
		b.update(50 * time.Millisecond)
		poll, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		if !ok {
			continue
		}
		polls++
		switch until := poll.Order.LeaseUntil; {
		case until == nil:
			t.Fatalf("poll %v before the lease runs out does not renew it", leaseOver.Sub(b.now))
		case *until > requested:
			t.Fatalf("renewal until %d, beyond %d which was requested before the polls went unanswered", *until, requested)
		case !w.leaseEnd.Equal(leaseEnd):
			t.Fatalf("leaseEnd moved by %v", w.leaseEnd.Sub(leaseEnd))
		}
		b.update(500*time.Millisecond, PollAnswered{Worker: "w", Order: poll.Order, SentAt: b.now, Err: errNoAnswer})
	}
	if polls == 0 {
		t.Fatal("no poll before the lease ran out")
	}
}
