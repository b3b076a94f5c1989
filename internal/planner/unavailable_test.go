package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestEvictionsKeepTasksAvailable checks that no more long-running tasks of a step are stopped at once than its
// MaxUnavailable allows, that those which may not be stopped are paused, and that stops go on as others return.
func TestEvictionsKeepTasksAvailable(t *testing.T) {
	tests := map[string]struct {
		maxUnavailable int
		// starting is the number of tasks that have not finished starting.
		starting int
		drains   bool
		want     int
	}{
		"no limit":                       {0, 0, false, 4},
		"one":                            {1, 0, false, 1},
		"two":                            {2, 0, false, 2},
		"one, another is starting":       {1, 1, false, 1},
		"two, one is starting":           {2, 1, false, 2},
		"one, the worker leaves anyway":  {1, 0, true, 4},
		"four, of which all are allowed": {4, 0, false, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{})
			b.submit("00000000000000aa", submitter.Step{
				Count: 4, Size: identifier.Size{Processors: 500, Memory: 100}, LongRunning: true, Scavenger: true, Image: "f", MaxUnavailable: tt.maxUnavailable,
			})
			b.save()
			for _, s := range b.starts() {
				b.confirmStart(s)
			}
			w := b.p.workers["w"]
			for _, r := range w.runs {
				if r.percent = fullProgress; r.id.Task.Index < tt.starting {
					r.percent = 10
				}
			}
			w.entry.Draining = tt.drains
			b.p.evictScavengers(w, "serving")
			stopping, paused := 0, 0
			for _, r := range w.runs {
				if r.pace == 0 {
					paused++
				}
				if r.unwanted {
					stopping++
				}
			}
			if stopping != tt.want && tt.starting == 0 || stopping > tt.want || paused != 4 {
				t.Errorf("%d runs are stopped and %d paused, want %d and 4", stopping, paused, tt.want)
			}
		})
	}
}

// TestFailureOfAnUnneededRunDoesNotCount checks that a run which fails after a copy of it was done does not use up
// the last attempt of its job.
func TestFailureOfAnUnneededRunDoesNotCount(t *testing.T) {
	b := newTestbed(t, workerEntry("w"), workerEntry("v"))
	b.update(0)
	for _, id := range []identifier.Worker{"w", "v"} {
		b.update(0, PollAnswered{Worker: id, Order: connector.HoldOrder{Epoch: b.p.epochOf(b.p.workers[id])}, SentAt: b.now, Answer: connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}}})
	}
	config := queueConfig
	config.MaxAttempts = 1
	b.dir.Queues[queue] = config
	const job identifier.Job = "00000000000000aa"
	b.submit(job, submitter.Step{Count: 1, Size: smallSize, Copies: true}, submitter.Step{Count: 1, Size: smallSize, After: []int{0}})
	b.save()
	s := b.starts()[0]
	b.confirmStart(s)
	b.p.startSpeculativeCopy(b.p.workers[s.To.ID].runs[s.Order.Run])
	b.save()
	b.save()
	end := func(r *run, how connector.RunEnd) {
		b.update(time.Millisecond, PollAnswered{Worker: r.worker.id, Order: connector.HoldOrder{Epoch: b.p.epochOf(r.worker)}, SentAt: b.now, Answer: connector.HoldAnswer{
			OrderAnswer: connector.OrderAnswer{Verdict: connector.VerdictOK}, Ended: []connector.EndedRun{{Number: 1, Run: r.id, Reason: how}},
		}})
	}
	runs := append([]*run(nil), b.p.jobs[job].occurrences[0][0].tasks[0].runs...)
	if len(runs) != 2 {
		t.Fatalf("%d runs, want the first one and a copy", len(runs))
	}
	end(runs[1], connector.EndDone)
	end(runs[0], connector.EndFailed)
	if state := b.p.jobs[job].state; state.Ended() {
		t.Errorf("the job is %s, want it to go on with its second step", state)
	}
}

// TestRestartedWorkersAreTakenForTheSmallest checks that a worker which comes back under its id, maybe smaller, gets
// no more than the smallest worker of its service has room for until its entry and its answers are of the same
// incarnation, and nothing that needs a label.
func TestRestartedWorkersAreTakenForTheSmallest(t *testing.T) {
	plain := submitter.Step{Count: 1, Size: smallSize}
	labelled := submitter.Step{Count: 1, Size: smallSize, Label: "gold"}
	tests := map[string]struct {
		entry, answer identifier.UnixMillis
		// smallest is the processors of another worker, which is draining; none if zero.
		smallest identifier.Millicores
		step     submitter.Step
		want     int
	}{
		"same":                       {7, 7, 500, plain, 1},
		"entry is older":             {7, 8, 500, plain, 0},
		"answer is older":            {8, 7, 500, plain, 0},
		"entry does not tell":        {0, 7, 500, plain, 1},
		"answer does not tell it":    {7, 0, 500, plain, 1},
		"fits the smallest":          {7, 8, 1000, plain, 1},
		"none is smaller":            {7, 8, 0, plain, 1},
		"needs a label":              {7, 8, 0, labelled, 0},
		"label by the present entry": {8, 8, 0, labelled, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := workerEntry("w")
			e.StartedAt, e.Labels = tt.entry, []identifier.Label{"gold"}
			b := newTestbed(t, e)
			if tt.smallest > 0 {
				small := workerEntry("small")
				small.Capacity.Processors, small.Draining = tt.smallest, true
				b.dir.Workers["small"] = small
			}
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{StartedAt: tt.answer})
			b.submit("00000000000000aa", tt.step)
			b.save()
			if n := len(b.starts()); n != tt.want {
				t.Fatalf("%d starts, want %d", n, tt.want)
			}
			e.StartedAt = max(tt.answer, tt.entry)
			b.dir.Workers["w"] = e
			b.update(50 * time.Millisecond)
			b.answerNewPoll("w", connector.HoldAnswer{StartedAt: e.StartedAt})
			b.save()
			if n := b.p.counts.starts; n != 1 {
				t.Errorf("%d starts once both are the same, want 1", n)
			}
		})
	}
}
