package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// newTestbedWithRun returns a testbed with a confirmed run at worker w and a poll in flight to it.
func newTestbedWithRun(t *testing.T) (*testbed, StartRun) {
	t.Helper()
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	b.poll, _ = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.confirmStart(s)
	return b, s
}

// answerPollAndSave answers the poll in flight to worker w and stores the changes until the next
// poll is in flight.
func (b *testbed) answerPollAndSave(a connector.HoldAnswer) {
	b.t.Helper()
	a.Verdict, a.StartedAt, a.Clock = connector.VerdictOK, 1, connector.WorkerClock(b.now.UnixNano())
	b.update(unsavedPause, PollAnswered{Worker: "w", Order: b.poll.Order, SentAt: b.now, Answer: a})
	next, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
	for range 10 {
		if ok {
			break
		}
		b.save()
		if next, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true }); !ok {
			b.update(unsavedPause)
			next, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
		}
	}
	if !ok {
		b.t.Fatal("no poll")
	}
	b.poll = next
}

// TestUndecodableRowKeepsUnlistedRuns checks that a run missing from an answer is not given up
// while a row of the same answer could not be decoded, which may have been that run.
func TestUndecodableRowKeepsUnlistedRuns(t *testing.T) {
	answers := map[string]connector.HoldAnswer{
		"undecodable run":                  {Active: []connector.ActiveRun{{}}},
		"undecodable end":                  {Ended: []connector.EndedRun{{Number: 1}}},
		"undecodable end without a number": {Ended: []connector.EndedRun{{}}},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			b, s := newTestbedWithRun(t)
			for range 3 {
				b.answerPollAndSave(answer)
				if b.p.workers["w"].runs[s.Order.Run] == nil {
					t.Fatal("run was given up while it may still be active")
				}
			}
			for _, c := range b.commands {
				if stop, ok := c.(StopRun); ok {
					t.Errorf("stop %+v of a run that could not be decoded", stop)
				}
			}
			b.answerPollAndSave(connector.HoldAnswer{Ended: []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndDone}}})
			if n := len(b.p.workers["w"].runs); n != 0 {
				t.Errorf("%d runs after the end was decoded", n)
			}
		})
	}
}

// TestUndecodableEndIsNotAcknowledged checks that a worker is not told to forget an end that could
// not be decoded, that the ends after it are handled, and that it does not block a full list of
// ends forever.
func TestUndecodableEndIsNotAcknowledged(t *testing.T) {
	ends := func(number identifier.EndNumber, last int) []connector.EndedRun {
		var out []connector.EndedRun
		for n := range last {
			e := connector.EndedRun{Number: identifier.EndNumber(n + 1)}
			if n != 1 {
				e.Run = connector.RunID{Task: identifier.JobTask{Job: "ff", Index: n}, Attempt: 1}
				e.Reason = connector.EndDone
			} else {
				e.Number = number
			}
			out = append(out, e)
		}
		return out
	}
	for name, number := range map[string]identifier.EndNumber{"with a number": 2, "without a number": 0} {
		t.Run(name, func(t *testing.T) {
			b, s := newTestbedWithRun(t)
			active := []connector.ActiveRun{{Run: s.Order.Run}}
			expectAcked := func(want identifier.EndNumber, a connector.HoldAnswer) {
				t.Helper()
				for range 3 {
					b.answerPollAndSave(a)
				}
				// Ends are acknowledged only within sameIncarnationTime of an answer.
				b.update(time.Millisecond, PollAnswered{Worker: "w", Order: b.poll.Order, SentAt: b.now, Answer: withVerdict(a)})
				poll, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
				if w := b.p.workers["w"]; !ok && w.unreadableEnd > 0 {
					b.update(unreadablePause)
					poll, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
				}
				if !ok {
					t.Fatal("no poll")
				}
				b.poll = poll
				if got := b.poll.Order.Forget; got != want {
					t.Errorf("worker is told to forget ends up to %d, want %d", got, want)
				}
			}
			expectAcked(1, connector.HoldAnswer{Active: active, Ended: ends(number, 10)})
			if seen := b.p.workers["w"].lastEnd; seen != 10 {
				t.Errorf("ends up to %d were handled, want 10", seen)
			}
			expectAcked(maxListedEnds, connector.HoldAnswer{Active: active, Ended: ends(number, maxListedEnds)})
		})
	}
}

func withVerdict(a connector.HoldAnswer) connector.HoldAnswer {
	a.Verdict, a.StartedAt = connector.VerdictOK, 1
	return a
}
