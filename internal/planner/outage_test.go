package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// TestHeldClaimIsLookedAtAgain checks that a claim which waited for a new directory is
// withdrawn if that speaks against it.
func TestHeldClaimIsLookedAtAgain(t *testing.T) {
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

// TestLateLookRenewsWithinTheKnownLease checks that a worker which answers again after
// some looks without an answer has its lease renewed by the first look that reaches it,
// up to the time that earlier renewals asked for and no further: what is believed of
// its end does not change, so that its runs are given up no later than without it.
func TestLateLookRenewsWithinTheKnownLease(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	first, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	if !ok {
		t.Fatal("no look after an answer")
	}
	start := b.startOne(longRunningStep)
	run := start.Order.Run
	b.confirmStart(start)
	b.update(time.Millisecond, PollAnswered{Worker: "w", Order: first.Order, SentAt: b.now, Answer: connector.HoldAnswer{
		OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: 1000}, StartedAt: 1,
		Active: []connector.ActiveRun{{Run: run}},
	}})
	var asked connector.WorkerClock
	var over time.Time
	w := b.p.workers["w"]
	for range maxRenewMisses {
		hold, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		for wait := 0; !ok && wait < 100; wait++ {
			b.update(50 * time.Millisecond)
			hold, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		}
		if !ok {
			t.Fatal("no look")
		}
		if hold.Order.LeaseUntil == nil {
			t.Fatal("look without a renewal before the worker is given up")
		}
		asked, over = *hold.Order.LeaseUntil, b.now.Add(b.p.settings.Lease)
		b.update(500*time.Millisecond, PollAnswered{Worker: "w", Order: hold.Order, SentAt: b.now, Err: errNoAnswer})
	}
	end := w.leaseEnd
	looks := 0
	for b.now.Before(over.Add(-time.Second)) {
		b.update(50 * time.Millisecond)
		hold, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		if !ok {
			continue
		}
		looks++
		switch until := hold.Order.LeaseUntil; {
		case until == nil:
			t.Fatalf("look %v before the lease is over renews nothing", over.Sub(b.now))
		case *until > asked:
			t.Fatalf("renewal until %d, beyond %d which was asked for before the looks went unanswered", *until, asked)
		case !w.leaseEnd.Equal(end):
			t.Fatalf("the lease is believed to end %v later", w.leaseEnd.Sub(end))
		}
		b.update(500*time.Millisecond, PollAnswered{Worker: "w", Order: hold.Order, SentAt: b.now, Err: errNoAnswer})
	}
	if looks == 0 {
		t.Fatal("no look before the lease is over")
	}
}
