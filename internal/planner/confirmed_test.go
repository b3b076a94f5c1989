package planner

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// confirmationBed is a testbed with one worker, on which the only task of a job is started.
type confirmationBed struct {
	*testbed
	start StartRun
}

func newConfirmationBed(t *testing.T, steps ...submitter.Step) *confirmationBed {
	t.Helper()
	b := &confirmationBed{testbed: newTestbed(t, workerEntry("w"))}
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{StartedAt: 1})
	b.submit("00000000000000aa", steps...)
	b.save()
	b.start = b.starts()[0]
	return b
}

// answer answers the last start.
func (b *confirmationBed) answer(verdict connector.OrderVerdict, err error) {
	b.update(time.Millisecond, StartAnswered{
		Worker: "w", Run: b.start.Order.Run, Epoch: b.start.Order.Epoch, Answer: connector.OrderAnswer{Verdict: verdict}, Err: err,
	})
}

// list has the worker list the run of the last start, or nothing.
func (b *confirmationBed) list(listed bool) {
	a := connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, StartedAt: 1}
	if listed {
		a.Active = []connector.ActiveRun{{Run: b.start.Order.Run}}
	}
	b.update(time.Millisecond, PollAnswered{Worker: "w", Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers["w"])}, SentAt: b.now, Answer: a})
}

// takeOver stores the state, and lets a new holder go on from it.
func (b *confirmationBed) takeOver() {
	b.save()
	b.replaceHolder()
	b.update(0)
}

// TestRunsAreShownAsWorkersConfirmThem guards against reports and explanations that show a task as running
// on a worker since a start was claimed or sent.
func TestRunsAreShownAsWorkersConfirmThem(t *testing.T) {
	const job identifier.Job = "00000000000000aa"
	tests := map[string]struct {
		events  func(*confirmationBed)
		want    string
		running int
	}{
		"start sent":              {func(*confirmationBed) {}, "step 0 is about to start on w", 0},
		"refused":                 {func(b *confirmationBed) { b.answer(connector.VerdictUnhealthy, nil) }, "step 0 is about to start on w", 0},
		"confirmed":               {func(b *confirmationBed) { b.answer(connector.VerdictOK, nil) }, "step 0 runs on w", 1},
		"unanswered":              {func(b *confirmationBed) { b.answer("", errNoAnswer); b.answer("", errNoAnswer) }, "step 0 may have begun on w", 0},
		"unanswered, listed":      {func(b *confirmationBed) { b.answer("", errNoAnswer); b.list(true) }, "step 0 runs on w", 1},
		"stopped before it began": {func(b *confirmationBed) { b.answer(connector.VerdictStaleRun, nil) }, "step 0 may have begun on w", 0},
		"sent, takeover":          {func(b *confirmationBed) { b.takeOver() }, "step 0 may have begun on w", 0},
		"sent, takeover, listed":  {func(b *confirmationBed) { b.takeOver(); b.list(true) }, "step 0 runs on w", 1},
		"confirmed, silent":       {func(b *confirmationBed) { b.answer(connector.VerdictOK, nil); b.update(time.Second) }, "step 0 runs on w", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newConfirmationBed(t, submitter.Step{Count: 1, Size: smallSize})
			tt.events(b)
			e, _ := b.p.Explain(job)
			if got := strings.Join(e.Reasons, "; "); !strings.Contains(got, tt.want) {
				t.Errorf("explained as %q, want %q", got, tt.want)
			}
			if got := e.Steps[0].Running; got != tt.running {
				t.Errorf("%d tasks are shown as running, want %d", got, tt.running)
			}
		})
	}
}
