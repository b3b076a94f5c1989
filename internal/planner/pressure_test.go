package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

func loadOf(l admitter.Load) admitter.Observation {
	for _, o := range l.Queues {
		if o.Queue == queue {
			return o
		}
	}
	return admitter.Observation{}
}

// TestLoadCountsWhatIsOwed checks what counts as owed to a queue while its jobs go on.
func TestLoadCountsWhatIsOwed(t *testing.T) {
	const estimate = identifier.Duration(time.Second)
	steps := []submitter.Step{
		{Count: 1, Size: small, Estimate: estimate},
		{Count: 3, Size: small, Estimate: 2 * estimate, After: []int{0}},
	}
	b := newBench(t)
	b.submit("00000000000000a1", steps...)
	b.submit("00000000000000a2", submitter.Step{Count: 5, Size: small, LongRunning: true})
	o := loadOf(b.p.Load())
	if o.Owed != 4 || o.Waiting != 1 || o.Steps != 2 {
		t.Errorf("owes %d tasks of %d waiting jobs with %.1f steps, want 4 of 1 with 2", o.Owed, o.Waiting, o.Steps)
	}
	whole := objectiveOf(b.p.jobs["00000000000000a1"], b.now).Sub(b.now)
	if o.Time != whole-2*time.Second || o.Slack != whole-3*time.Second {
		t.Errorf("time %v, slack %v of %v, want what is left beside the last step and the chain", o.Time, o.Slack, whole)
	}
	b.update(whole)
	if o := loadOf(b.p.Load()); o.Owed != 0 || o.Waiting != 0 {
		t.Errorf("owes %d tasks of %d waiting jobs that are late", o.Owed, o.Waiting)
	}
}

// TestLoadCountsClaimsUntilTheirStarts checks that a task counts as owed until its start is
// sent, and as begun from then on.
func TestLoadCountsClaimsUntilTheirStarts(t *testing.T) {
	b := newBench(t, workerEntry("w"))
	b.update(0)
	b.look("w", connector.HoldAnswer{})
	b.submit("00000000000000a1", submitter.Step{Count: 1, Size: small, Estimate: identifier.Duration(time.Second)})
	if o := loadOf(b.p.Load()); b.p.unsent != 1 || o.Owed != 1 || o.Waiting != 1 || o.Begun != 0 {
		t.Errorf("%d claims: owes %d of %d waiting jobs, %d begun, want 1 of 1 and none", b.p.unsent, o.Owed, o.Waiting, o.Begun)
	}
	b.save()
	if o := loadOf(b.p.Load()); o.Owed != 0 || o.Waiting != 0 || o.Begun != 1 {
		t.Errorf("owes %d of %d waiting jobs, %d begun, want none and 1", o.Owed, o.Waiting, o.Begun)
	}
}

// TestDelayIsTheMedianOfAnswers checks that slow workers and hosts do not count as a
// holder's delay.
func TestDelayIsTheMedianOfAnswers(t *testing.T) {
	tests := map[string]struct {
		answers []time.Duration
		least   time.Duration
		most    time.Duration
	}{
		"too few":         {make([]time.Duration, leastAnswers-1), 0, 0},
		"all in time":     {repeat(50*time.Millisecond, 100), 50 * time.Millisecond, 70 * time.Millisecond},
		"a few very late": {append(repeat(50*time.Millisecond, 100), repeat(time.Minute, 40)...), 50 * time.Millisecond, 70 * time.Millisecond},
		"most are late":   {append(repeat(50*time.Millisecond, 40), repeat(300*time.Millisecond, 100)...), 290 * time.Millisecond, 320 * time.Millisecond},
		"clock went back": {repeat(-time.Second, 100), 0, 20 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c pressure
			for _, d := range tt.answers {
				c.took(d)
			}
			if d := c.delay(); d < tt.least || d > tt.most {
				t.Errorf("delay %v, want %v to %v", d, tt.least, tt.most)
			}
			for range mostAsked {
				c.delay()
			}
			if d := c.delay(); d != 0 {
				t.Errorf("delay %v although nothing is answered any more", d)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}
