package planner

import (
	"testing"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestJobsWaitUntilAWorkerHasBegunThem guards against jobs that are not counted as waiting since a start of them was
// sent, though it was refused or lost, by this holder or an earlier one (MIXED, review/10).
func TestJobsWaitUntilAWorkerHasBegunThem(t *testing.T) {
	const job identifier.Job = "00000000000000aa"
	tests := map[string]struct {
		events func(*confirmationBed)
		want   int
	}{
		"start sent":                  {func(*confirmationBed) {}, 1},
		"confirmed":                   {func(b *confirmationBed) { b.answer(connector.VerdictOK, nil) }, 0},
		"refused":                     {func(b *confirmationBed) { b.answer(connector.VerdictUnhealthy, nil) }, 1},
		"refused for its ticket":      {func(b *confirmationBed) { b.answer(connector.VerdictInvalidTicket, nil) }, 1},
		"no room":                     {func(b *confirmationBed) { b.answer(connector.VerdictNoRoom, nil) }, 1},
		"not sent":                    {func(b *confirmationBed) { b.answer("", errUnsent) }, 1},
		"stopped before it began":     {func(b *confirmationBed) { b.answer(connector.VerdictStaleRun, nil) }, 1},
		"unanswered, listed":          {func(b *confirmationBed) { b.answer("", errNoAnswer); b.list(true) }, 0},
		"unanswered, listed as ended": {func(b *confirmationBed) { b.answer("", errNoAnswer); b.listEnded() }, 0},
		"refused, takeover": {func(b *confirmationBed) {
			b.save()
			b.answer(connector.VerdictUnhealthy, nil)
			b.takeOver()
		}, 1},
		"sent, takeover":                  {func(b *confirmationBed) { b.takeOver() }, 1},
		"sent, takeover, listed":          {func(b *confirmationBed) { b.takeOver(); b.list(true) }, 0},
		"sent, takeover, listed as ended": {func(b *confirmationBed) { b.takeOver(); b.listEnded() }, 0},
		"confirmed, stored, takeover":     {func(b *confirmationBed) { b.answer(connector.VerdictOK, nil); b.takeOver() }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newConfirmationBed(t, submitter.Step{Count: 1, Size: smallSize})
			tt.events(b)
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
