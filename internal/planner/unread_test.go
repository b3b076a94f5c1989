package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// newTestbedWithRun returns a bench with a confirmed run at worker w, and the look under way there.
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

// answerPollAndSave answers the look under way at worker w and stores what follows; the next
// look is then under way.
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
		b.t.Fatal("no look")
	}
	b.poll = next
}

// TestUnreadRowMayBeARun checks that a run which a worker does not list is not given up
// while a row of the same answer could not be read.
func TestUnreadRowMayBeARun(t *testing.T) {
	odd := map[string]connector.HoldAnswer{
		"row of a run":             {Active: []connector.ActiveRun{{}}},
		"row of an end":            {Ended: []connector.EndedRun{{Number: 1}}},
		"row of an end, no number": {Ended: []connector.EndedRun{{}}},
	}
	for name, answer := range odd {
		t.Run(name, func(t *testing.T) {
			b, s := newTestbedWithRun(t)
			for range 3 {
				b.answerPollAndSave(answer)
				if b.p.workers["w"].runs[s.Order.Run] == nil {
					t.Fatal("the run that may go on is given up")
				}
			}
			for _, c := range b.commands {
				if stop, ok := c.(StopRun); ok {
					t.Errorf("stop %+v of a run that could not be read", stop)
				}
			}
			b.answerPollAndSave(connector.HoldAnswer{Ended: []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndDone}}})
			if n := len(b.p.workers["w"].runs); n != 0 {
				t.Errorf("%d runs after the end could be read", n)
			}
		})
	}
}

// TestUnreadEndIsNotForgotten checks that a worker is not told to forget an end which could
// not be read, that the ends after it are taken into account, and that it does not fill the
// list of ends for ever.
func TestUnreadEndIsNotForgotten(t *testing.T) {
	ends := func(unread identifier.EndNumber, last int) []connector.EndedRun {
		var out []connector.EndedRun
		for n := range last {
			e := connector.EndedRun{Number: identifier.EndNumber(n + 1)}
			if n != 1 {
				e.Run = connector.RunID{Task: identifier.JobTask{Job: "ff", Index: n}, Attempt: 1}
				e.Reason = connector.EndDone
			} else {
				e.Number = unread
			}
			out = append(out, e)
		}
		return out
	}
	for name, unread := range map[string]identifier.EndNumber{"number told": 2, "number not told": 0} {
		t.Run(name, func(t *testing.T) {
			b, s := newTestbedWithRun(t)
			active := []connector.ActiveRun{{Run: s.Order.Run}}
			forget := func(want identifier.EndNumber, a connector.HoldAnswer) {
				t.Helper()
				for range 3 {
					b.answerPollAndSave(a)
				}
				// Ends are forgotten only soon after an answer.
				b.update(time.Millisecond, PollAnswered{Worker: "w", Order: b.poll.Order, SentAt: b.now, Answer: withVerdict(a)})
				hold, ok := findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
				if w := b.p.workers["w"]; !ok && w.unreadableEnd > 0 {
					b.update(unreadPause)
					hold, ok = findCommand[PollWorker](b.commands, func(PollWorker) bool { return true })
				}
				if !ok {
					t.Fatal("no look")
				}
				b.poll = hold
				if got := b.poll.Order.Forget; got != want {
					t.Errorf("worker is told to forget ends up to %d, want %d", got, want)
				}
			}
			forget(1, connector.HoldAnswer{Active: active, Ended: ends(unread, 10)})
			if seen := b.p.workers["w"].lastEnd; seen != 10 {
				t.Errorf("ends up to %d were taken into account, want 10", seen)
			}
			forget(maxListedEnds, connector.HoldAnswer{Active: active, Ended: ends(unread, maxListedEnds)})
		})
	}
}

func withVerdict(a connector.HoldAnswer) connector.HoldAnswer {
	a.Verdict, a.StartedAt = connector.VerdictOK, 1
	return a
}
