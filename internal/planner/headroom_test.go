package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestServingTasksLeavePlaces checks how many serving tasks start on two workers of 4 processors after
// plain tasks of half a processor each have run there.
func TestServingTasksLeavePlaces(t *testing.T) {
	serving := func(count int, processors identifier.Millicores) submitter.Step {
		return submitter.Step{Count: count, Size: identifier.Size{Processors: processors}, LongRunning: true, TailTarget: 1}
	}
	tests := map[string]struct {
		plain  int
		step   submitter.Step
		before func(b *testbed)
		after  time.Duration
		want   int
	}{
		"no demand":                  {0, serving(8, 1000), nil, 0, 8},
		"little demand":              {1, serving(8, 1000), nil, 0, 7},
		"demand above the bound":     {16, serving(8, 1000), nil, 0, 6},
		"a whole worker":             {4, serving(2, 4000), nil, 0, 1},
		"demand is forgotten":        {16, serving(8, 1000), func(b *testbed) { b.update(2 * time.Minute) }, 0, 8},
		"runs in part":               {16, serving(8, 1000), nil, 4 * time.Second, 6},
		"nothing of the job runs":    {16, serving(1, 4000), func(b *testbed) { b.submit("00000000000000bb", serving(1, 4000)) }, 0, 0},
		"nothing has run for long":   {16, serving(1, 4000), func(b *testbed) { b.submit("00000000000000bb", serving(1, 4000)) }, maxWithheld, 1},
		"tasks that end come anyway": {16, submitter.Step{Count: 16, Size: identifier.Size{Processors: 500}}, nil, 0, 16},
		"long-running, plain":        {16, submitter.Step{Count: 8, Size: smallSize, LongRunning: true}, nil, 0, 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, workerEntry("w"), workerEntry("x"))
			b.update(0)
			answer := func() {
				for _, id := range []identifier.Worker{"w", "x"} {
					b.answerNewPoll(id, connector.HoldAnswer{StartedAt: 1})
				}
			}
			answer()
			if tt.plain > 0 {
				b.submit("00000000000000aa", submitter.Step{Count: tt.plain, Size: identifier.Size{Processors: 500}})
				b.update(20 * time.Second)
				answer()
				b.update(0, JobCancelled{ID: "00000000000000aa"})
				b.update(0, BatchSaved{b.p.TakeBatch()})
			}
			if tt.before != nil {
				tt.before(b)
				answer()
			}
			b.submit("00000000000000cc", tt.step)
			b.update(tt.after)
			answer()
			if got := b.p.jobs["00000000000000cc"].runCount; got != tt.want {
				t.Errorf("%d tasks placed, want %d; headroom %+v", got, tt.want, b.p.headrooms.byService[service])
			}
		})
	}
}

// TestRestartsTakeKeptPlaces guards against serving tasks that stay out after a run because room is
// kept for plain tasks.
func TestRestartsTakeKeptPlaces(t *testing.T) {
	b := newTestbed(t, workerEntry("w"))
	b.update(0)
	b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 1}, StartedAt: 1})
	s := b.startOne(submitter.Step{Count: 1, Size: identifier.Size{Processors: 4000}, LongRunning: true, TailTarget: 1})
	b.confirmStart(s)
	b.submit("00000000000000bb", submitter.Step{Count: 4, Size: smallSize})
	b.update(20 * time.Second)
	b.update(0, JobCancelled{ID: "00000000000000bb"})
	b.answerNewPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: 2}, StartedAt: 1, Ended: []connector.EndedRun{{Number: 1, Run: s.Order.Run, Reason: connector.EndStopped}}})
	b.update(3 * time.Second)
	if h := b.p.headrooms.byService[service]; h.needed == 0 {
		t.Fatalf("no room is kept: %+v", h)
	}
	if n := len(b.p.lookupTask(s.Order.Run.Task).runs); n != 1 {
		t.Errorf("%d runs of the task that ran before, want 1", n)
	}
}

// TestPlacesAreWholeFromTheStart guards against places that count as a splinter of a task until the mean
// size has been learned.
func TestPlacesAreWholeFromTheStart(t *testing.T) {
	b := newTestbed(t, workerEntry("w"), workerEntry("x"))
	b.update(0)
	answer := func() {
		for _, id := range []identifier.Worker{"w", "x"} {
			b.answerNewPoll(id, connector.HoldAnswer{StartedAt: 1})
		}
	}
	for range 3 {
		b.update(time.Second)
		answer()
	}
	b.submit("00000000000000aa", submitter.Step{Count: 9, Size: identifier.Size{Processors: 1500}})
	if h := b.p.headrooms.byService[service]; h.taskSize != 1500 {
		t.Errorf("a place is for %v millicores, want 1500", h.taskSize)
	}
	b.update(0, JobCancelled{ID: "00000000000000aa"})
	b.update(0, BatchSaved{b.p.TakeBatch()})
	b.submit("00000000000000bb", submitter.Step{Count: 9, Size: identifier.Size{Memory: 1}})
	for range 120 {
		b.update(time.Second)
		answer()
	}
	if h := b.p.headrooms.byService[service]; h.taskSize < 100 {
		t.Errorf("tasks that ask for no processors have left %v millicores for a place", h.taskSize)
	}
}
