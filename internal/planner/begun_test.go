package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestJobsWaitUntilAWorkerHasBegunThem guards against jobs that are not counted as waiting since a start of them was
// sent, though it was refused or lost, by this holder or an earlier one (MIXED, review/10).
func TestJobsWaitUntilAWorkerHasBegunThem(t *testing.T) {
	const job identifier.Job = "00000000000000aa"
	answer := func(verdict connector.OrderVerdict, err error) func(*testbed, StartRun) {
		return func(b *testbed, s StartRun) {
			b.update(time.Millisecond, StartAnswered{
				Worker: s.To.ID, Run: s.Order.Run, Epoch: s.Order.Epoch, Answer: connector.OrderAnswer{Verdict: verdict}, Err: err,
			})
		}
	}
	list := func(ended bool) func(*testbed, StartRun) {
		return func(b *testbed, s StartRun) {
			a := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1}
			if ended {
				a.Ended = []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndFailed}}
			} else {
				a.Active = []connector.ActiveRun{{Run: s.Order.Run}}
			}
			b.update(time.Millisecond, PollAnswered{Worker: "w", Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers["w"])}, SentAt: b.now, Answer: a})
		}
	}
	store := func(b *testbed, _ StartRun) { b.save() }
	takeOver := func(b *testbed, _ StartRun) { b.replaceHolder(); b.update(0) }
	tests := map[string]struct {
		events []func(*testbed, StartRun)
		want   int
	}{
		"start sent":                      {nil, 1},
		"confirmed":                       {[]func(*testbed, StartRun){answer(connector.VerdictOK, nil)}, 0},
		"refused":                         {[]func(*testbed, StartRun){answer(connector.VerdictUnhealthy, nil)}, 1},
		"refused for its ticket":          {[]func(*testbed, StartRun){answer(connector.VerdictInvalidTicket, nil)}, 1},
		"no room":                         {[]func(*testbed, StartRun){answer(connector.VerdictNoRoom, nil)}, 1},
		"not sent":                        {[]func(*testbed, StartRun){answer("", errUnsent)}, 1},
		"stopped before it began":         {[]func(*testbed, StartRun){answer(connector.VerdictStaleRun, nil)}, 1},
		"unanswered, listed":              {[]func(*testbed, StartRun){answer("", errNoAnswer), list(false)}, 0},
		"unanswered, listed as ended":     {[]func(*testbed, StartRun){answer("", errNoAnswer), list(true)}, 0},
		"refused, takeover":               {[]func(*testbed, StartRun){store, answer(connector.VerdictUnhealthy, nil), store, takeOver}, 1},
		"sent, takeover":                  {[]func(*testbed, StartRun){takeOver}, 1},
		"sent, takeover, listed":          {[]func(*testbed, StartRun){takeOver, list(false)}, 0},
		"sent, takeover, listed as ended": {[]func(*testbed, StartRun){takeOver, list(true)}, 0},
		"confirmed, stored, takeover":     {[]func(*testbed, StartRun){answer(connector.VerdictOK, nil), store, takeOver}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			for _, event := range tt.events {
				event(b, s)
			}
			if got := b.p.UnstartedJobs(queue); got != tt.want {
				t.Errorf("%d jobs wait, want %d", got, tt.want)
			}
			b.save()
			if state, _ := b.p.State(job); (state == StateQueued) != (tt.want == 1) {
				t.Errorf("the job is shown as %s", state)
			}
		})
	}
}
