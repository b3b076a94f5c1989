package planner

import (
	"math"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestInvalidTaskNamesAreIgnored checks that stored records and answers of workers which name tasks
// that do not exist do not crash the holder.
func TestInvalidTaskNamesAreIgnored(t *testing.T) {
	names := map[string]identifier.JobTask{
		"step below zero":            {Job: "a", Step: -1},
		"index below zero":           {Job: "a", Index: -1},
		"occurrence below zero":      {Job: "a", Occurrence: -1},
		"step beyond the last":       {Job: "a", Step: math.MaxInt},
		"index beyond the last":      {Job: "a", Index: math.MaxInt},
		"occurrence beyond the last": {Job: "a", Occurrence: math.MaxInt},
		"unknown job":                {Job: "zz"},
	}
	for name, taskName := range names {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.submit("a", submitter.Step{Count: 1, Size: smallSize})
			b.p.restore([]JobRecord{{ID: taskName.Job, State: StateRunning, Tasks: []TaskRecord{{
				Occurrence: taskName.Occurrence, Step: taskName.Step, Index: taskName.Index, Attempt: 1, Runs: []RunRecord{{Attempt: 1, Worker: "w"}},
			}}}})
			run := connector.RunID{Task: taskName, Attempt: 1}
			b.answerPoll("w", connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1,
				Active: []connector.ActiveRun{{Run: run}}, Ended: []connector.EndedRun{{Number: 1, Run: run, Reason: connector.EndDone}},
			})
			b.save()
			if len(b.starts()) != 1 {
				t.Errorf("%d starts of the valid task, want 1", len(b.starts()))
			}
		})
	}
}

// FuzzRestore checks that no stored job record crashes the holder that takes over.
func FuzzRestore(f *testing.F) {
	for _, rec := range []JobRecord{
		{ID: "a", State: StateRunning, Tasks: []TaskRecord{{Attempt: 1, Runs: []RunRecord{{Attempt: 1, Worker: "w"}}}}},
		{ID: "a", State: StateRunning, Tasks: []TaskRecord{{Step: 1, Index: 1, Attempt: 1, Done: true}, {Step: -1}, {Occurrence: 3}}},
		{ID: "a", State: StateCompleted, EndedAt: math.MaxInt64},
		{ID: "zz", State: "odd"},
		{ID: "a", State: StateRunning, Lost: []LostRecord{{Step: -1}, {Occurrence: 7, Attempts: []identifier.Attempt{1}}, {Index: 9}}},
		{ID: "a", State: StateRunning, FailedRuns: []FailedRunsRecord{{Step: -1}, {Occurrence: 7, Attempts: []identifier.Attempt{1}}, {Step: 9}, {Attempts: []identifier.Attempt{0, 4}}}},
	} {
		data, err := rec.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := DecodeJobRecord(data)
		if err != nil {
			return
		}
		b := newTestbed(t, workerEntry("w"))
		b.submit("a", submitter.Step{Count: 1, Size: smallSize}, submitter.Step{Count: 2, Size: smallSize, After: []int{0}})
		b.p.restore([]JobRecord{rec})
		b.update(time.Millisecond)
		b.save()
		b.update(time.Second)
	})
}

// TestLateCancellationKeepsStoredEnd checks that a job stored as ended keeps its state with the
// next holder, although it was cancelled afterwards.
func TestLateCancellationKeepsStoredEnd(t *testing.T) {
	for _, state := range []JobState{StateCompleted, StateFailed, StateCancelled} {
		t.Run(string(state), func(t *testing.T) {
			const id identifier.Job = "00000000000000aa"
			b := newTestbed(t)
			record := JobRecord{ID: id, State: state, EndedAt: identifier.UnixMillis(b.now.UnixMilli())}
			b.p.Inform(b.now,
				JobSubmitted{Job: submitter.Job{ID: id, Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: queueConfig},
				JobCancelled{ID: id}, JobsRestored{Records: []JobRecord{record}})
			if got, _ := b.p.State(id); got != state {
				t.Errorf("the next holder shows the job as %q, want %q", got, state)
			}
		})
	}
}

// TestCancellationDoesNotRevealUnstoredEnd checks that a completed job is not shown as ended before
// that is stored, even if it is cancelled meanwhile: a later holder would run it again.
func TestCancellationDoesNotRevealUnstoredEnd(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerPoll("w", connector.HoldAnswer{})
	s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
	b.confirmStart(s)
	b.p.setPolling(b.p.workers["w"], false)
	b.update(2 * time.Second)
	b.endRun(s, 1, connector.EndDone)
	b.update(0, JobCancelled{ID: s.Order.Run.Task.Job})
	if got, _ := b.p.State(s.Order.Run.Task.Job); got.Ended() {
		t.Errorf("the job is shown as %q before that is stored", got)
	}
	b.save()
	if got, _ := b.p.State(s.Order.Run.Task.Job); got != StateCompleted {
		t.Errorf("the job is shown as %q, want completed", got)
	}
}
