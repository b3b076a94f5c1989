package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
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

// TestMissedPollsDoNotRenewByAnOldClock guards against leases that a restarted worker grants by the
// clock of its former incarnation. Polls after a missed one ask for no lease until an answer tells
// which incarnation it is. The same one is then asked at once for the lease that was reserved, and
// leaseEnd stays as it is, so that the runs are given up no later than without these polls.
func TestMissedPollsDoNotRenewByAnOldClock(t *testing.T) {
	tests := map[string]struct {
		startedAt identifier.UnixMillis
		clock     func(passed time.Duration) connector.WorkerClock
	}{
		"same incarnation": {1, func(passed time.Duration) connector.WorkerClock { return connector.WorkerClock(time.Minute + passed) }},
		"restarted":        {2, func(time.Duration) connector.WorkerClock { return connector.WorkerClock(100 * time.Millisecond) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: connector.WorkerClock(time.Minute)}, StartedAt: 1})
			first := b.nextPoll()
			start := b.startOne(longRunningStep)
			b.confirmStart(start)
			active := []connector.ActiveRun{{Run: start.Order.Run}}
			heardAt := b.now
			b.update(time.Millisecond, PollAnswered{Worker: "w", Order: first.Order, SentAt: b.now, Answer: connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: connector.WorkerClock(time.Minute)}, StartedAt: 1, Active: active,
			}})
			poll := b.nextPoll()
			if poll.Order.LeaseUntil == nil {
				t.Fatal("poll does not renew the lease although none was missed")
			}
			w := b.p.workers["w"]
			var leaseEnd time.Time
			for missed := 1; ; missed++ {
				b.update(500*time.Millisecond, PollAnswered{Worker: "w", Order: poll.Order, SentAt: b.now, Err: errNoAnswer})
				poll = b.nextPoll()
				if poll.Order.LeaseUntil != nil {
					t.Fatalf("poll after %d missed ones asks for a lease", missed)
				}
				if missed == maxRenewMisses {
					leaseEnd = w.leaseEnd
				}
				if missed > maxRenewMisses && !w.leaseEnd.Equal(leaseEnd) {
					t.Fatalf("leaseEnd moved by %v", w.leaseEnd.Sub(leaseEnd))
				}
				if leaseEnd.Sub(b.now) < 2*time.Second && missed > maxRenewMisses {
					break
				}
			}
			clock := tt.clock(b.now.Sub(heardAt))
			b.update(time.Millisecond, PollAnswered{Worker: "w", Order: poll.Order, SentAt: b.now, Answer: connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: clock}, StartedAt: tt.startedAt, Active: active,
			}})
			poll = b.nextPoll()
			if tt.startedAt == 1 {
				if until := poll.Order.LeaseUntil; until == nil || time.Duration(*until-clock) < leaseEnd.Sub(b.now)*9/10 {
					t.Errorf("the next poll asks for a lease until %v, want until about %v", until, leaseEnd.Sub(b.now))
				}
				if !w.leaseEnd.Equal(leaseEnd) {
					t.Errorf("leaseEnd moved by %v", w.leaseEnd.Sub(leaseEnd))
				}
				return
			}
			if until := poll.Order.LeaseUntil; until != nil && time.Duration(*until-clock) > b.p.settings.Lease+50*time.Millisecond {
				t.Errorf("the restarted worker is asked for a lease of %v, want at most %v", time.Duration(*until-clock), b.p.settings.Lease)
			}
		})
	}
}

// TestLongestLeaseOfARestartedWorkerIsWaitedFor guards against a second run of a task whose worker
// has restarted without a missed poll: it grants the longest lease for a time of its former clock,
// and its answer shows that, also to a start.
func TestLongestLeaseOfARestartedWorkerIsWaitedFor(t *testing.T) {
	const maxLease = 10 * time.Second
	newClock := connector.WorkerClock(20 * time.Millisecond)
	setUp := func(t *testing.T) *testbed {
		b := newTestbed(t, workerEntry("w"))
		b.p.settings.MaxLease = maxLease
		b.update(0)
		b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: connector.WorkerClock(time.Minute)}, StartedAt: 1})
		return b
	}
	tests := map[string]func(b *testbed){
		"poll": func(b *testbed) {
			b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: newClock}, StartedAt: 2})
		},
		"start": func(b *testbed) {
			s := b.startOne(longRunningStep)
			b.update(time.Millisecond, StartAnswered{Worker: "w", Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: connector.VerdictOK, Clock: newClock}})
		},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			b := setUp(t)
			answer(b)
			if got := b.p.workers["w"].leaseEnd.Sub(b.now); got < maxLease {
				t.Fatalf("runs are given up after %v, want at least %v", got, maxLease)
			}
		})
	}
}

// nextPoll waits for the next poll of a worker and returns it.
func (b *testbed) nextPoll() PollWorker {
	b.t.Helper()
	for range 100 {
		if poll, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true }); ok {
			return poll
		}
		b.update(50 * time.Millisecond)
	}
	b.t.Fatal("no poll")
	return PollWorker{}
}
