package planner

import (
	"math"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestOddNamesOfTasks checks that names of tasks which there are not, in stored records and
// in the answers of workers, end no holder.
func TestOddNamesOfTasks(t *testing.T) {
	names := map[string]identifier.JobTask{
		"step below zero":       {Job: "a", Step: -1},
		"index below zero":      {Job: "a", Index: -1},
		"occurrence below zero": {Job: "a", Occurrence: -1},
		"step beyond the last":  {Job: "a", Step: math.MaxInt},
		"index beyond the last": {Job: "a", Index: math.MaxInt},
		"later occurrence":      {Job: "a", Occurrence: math.MaxInt},
		"no such job":           {Job: "zz"},
	}
	for name, odd := range names {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.submit("a", submitter.Step{Count: 1, Size: smallSize})
			b.p.restore([]JobRecord{{ID: odd.Job, State: StateRunning, Tasks: []TaskRecord{{
				Occurrence: odd.Occurrence, Step: odd.Step, Index: odd.Index, Attempt: 1, Runs: []RunRecord{{Attempt: 1, Worker: "w"}},
			}}}})
			run := connector.RunID{Task: odd, Attempt: 1}
			b.answerPoll("w", connector.HoldAnswer{
				OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1,
				Active: []connector.ActiveRun{{Run: run}}, Ended: []connector.EndedRun{{Number: 1, Run: run, Reason: connector.EndDone}},
			})
			b.save()
			if len(b.starts()) != 1 {
				t.Errorf("%d starts of the task that there is, want 1", len(b.starts()))
			}
		})
	}
}

// FuzzRestore checks that no stored record of a job ends the holder that takes over.
func FuzzRestore(f *testing.F) {
	for _, rec := range []JobRecord{
		{ID: "a", State: StateRunning, Tasks: []TaskRecord{{Attempt: 1, Runs: []RunRecord{{Attempt: 1, Worker: "w"}}}}},
		{ID: "a", State: StateRunning, Tasks: []TaskRecord{{Step: 1, Index: 1, Attempt: 1, Done: true}, {Step: -1}, {Occurrence: 3}}},
		{ID: "a", State: StateCompleted, EndedAt: math.MaxInt64},
		{ID: "zz", State: "odd"},
		{ID: "a", State: StateRunning, Lost: []LostRecord{{Step: -1}, {Occurrence: 7, Attempts: []identifier.Attempt{1}}, {Index: 9}}},
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

// TestLateCancellationChangesNoEnd checks that a job which was stored as ended keeps its end
// at the next holder, although it was cancelled afterwards.
func TestLateCancellationChangesNoEnd(t *testing.T) {
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

// TestCancellationShowsNoEndThatIsNotStored checks that a job which has ended is not shown so
// before that is stored, although it is cancelled meanwhile: a later holder would run it again.
func TestCancellationShowsNoEndThatIsNotStored(t *testing.T) {
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
