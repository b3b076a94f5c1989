package planner

import (
	"slices"
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
	log   *logRecorder
	start StartRun
}

func newConfirmationBed(t *testing.T, steps ...submitter.Step) *confirmationBed {
	t.Helper()
	b := &confirmationBed{testbed: newTestbed(t, workerEntry("w")), log: &logRecorder{}}
	b.p.log = b.log
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
	a := connector.HoldAnswer{}
	if listed {
		a.Active = []connector.ActiveRun{{Run: b.start.Order.Run}}
	}
	b.report(a)
}

// listEnded has the worker list the run of the last start as failed.
func (b *confirmationBed) listEnded() {
	b.report(connector.HoldAnswer{Ended: []connector.EndedRun{{Number: 1, Run: b.start.Order.Run, Reason: connector.EndFailed}}})
}

// report brings the worker's answer to a poll.
func (b *confirmationBed) report(a connector.HoldAnswer) {
	a.Verdict, a.StartedAt = connector.VerdictOK, 1
	b.update(time.Millisecond, PollAnswered{Worker: "w", Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers["w"])}, SentAt: b.now, Answer: a})
}

// restart starts the task again, which failed starts may delay.
func (b *confirmationBed) restart() {
	b.t.Helper()
	for range 100 {
		b.update(100 * time.Millisecond)
		b.list(false)
		b.save()
		if starts := b.starts(); len(starts) == 1 {
			b.start = starts[0]
			return
		}
	}
	b.t.Fatal("the task is not started again")
}

// takeOver stores the state, and lets a new holder go on from it.
func (b *confirmationBed) takeOver() {
	b.save()
	b.replaceHolder()
	b.p.log = b.log
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

// TestTasksThatNeverBeganAreNotRestarted guards against long-running tasks whose start was only sent being
// treated, logged and stored as tasks that run again after an outage.
func TestTasksThatNeverBeganAreNotRestarted(t *testing.T) {
	tests := map[string]struct {
		events func(*confirmationBed)
		// restart is whether the next run is one of a task that has run before.
		restart bool
	}{
		"refused":                 {func(b *confirmationBed) { b.answer(connector.VerdictUnhealthy, nil) }, false},
		"refused, takeover":       {func(b *confirmationBed) { b.answer(connector.VerdictUnhealthy, nil); b.takeOver() }, false},
		"not sent":                {func(b *confirmationBed) { b.answer("", errUnsent) }, false},
		"stopped before it began": {func(b *confirmationBed) { b.answer(connector.VerdictStaleRun, nil); b.list(false) }, false},
		"unanswered, not there":   {func(b *confirmationBed) { b.answer("", errNoAnswer); b.answer("", errNoAnswer); b.list(false) }, false},
		"begun, gone":             {func(b *confirmationBed) { b.answer(connector.VerdictOK, nil); b.list(false) }, true},
		"begun, gone, takeover":   {func(b *confirmationBed) { b.answer(connector.VerdictOK, nil); b.list(false); b.takeOver() }, true},
		"listed, gone":            {func(b *confirmationBed) { b.answer("", errNoAnswer); b.list(true); b.list(false) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newConfirmationBed(t, longRunningStep)
			first := b.start.Order.Run.Task
			tt.events(b)
			if task := b.p.lookupTask(first); b.p.demandOf(task, 0).restart != tt.restart {
				t.Errorf("placed as a restart: %t", !tt.restart)
			}
			b.restart()
			b.answer(connector.VerdictOK, nil)
			if got := len(b.log.resumed) > 0; got != tt.restart && !strings.Contains(name, "takeover") {
				t.Errorf("logged as running again: %t", got)
			}
			if got := len(b.log.restarted) > 0; got != tt.restart && !strings.Contains(name, "takeover") {
				t.Errorf("logged as lost and restarted: %t", got)
			}
		})
	}
}

// TestRecordsOfEarlierReleasesCountNoSentStarts guards against a job counting as begun after an update since
// the earlier release, which stored jobs as running once a start was sent, held the cell.
func TestRecordsOfEarlierReleasesCountNoSentStarts(t *testing.T) {
	const job identifier.Job = "00000000000000aa"
	tests := map[string]struct {
		change func(*JobRecord)
		listed bool
		want   int
	}{
		"start sent":         {func(*JobRecord) {}, false, 1},
		"start sent, listed": {func(*JobRecord) {}, true, 0},
		"a task is done":     {func(r *JobRecord) { r.Tasks[0].Done, r.Tasks[0].Runs = true, nil }, false, 0},
		"a run has failed":   {func(r *JobRecord) { r.Tasks[0].Failures, r.Tasks[0].Runs = 1, nil }, false, 0},
		"a checkpoint":       {func(r *JobRecord) { r.Tasks[0].Checkpoint = "c" }, false, 0},
		"begun":              {func(r *JobRecord) { r.Begun = true }, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newConfirmationBed(t, submitter.Step{Count: 1, Size: smallSize}, submitter.Step{Count: 1, Size: smallSize, After: []int{0}})
			rec := recordOf(b.p.jobs[job])
			rec.State, rec.Begun = StateRunning, false
			rec.Tasks = slices.Clone(rec.Tasks)
			tt.change(&rec)
			def := b.p.jobs[job].def
			b.replaceHolder()
			b.p = New(epoch+1, b.now, b.p.settings)
			b.update(0, JobSubmitted{Job: def, Queue: queueConfig}, JobsRestored{[]JobRecord{rec}})
			if tt.listed {
				b.list(true)
			}
			if got := b.p.UnstartedJobs(queue); got != tt.want {
				t.Errorf("%d jobs wait, want %d", got, tt.want)
			}
		})
	}
}
