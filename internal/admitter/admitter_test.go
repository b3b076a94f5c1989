package admitter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

var start = time.Unix(1000, 0)

// report is a job of two steps of 2.2 s with 20 tasks of 7 cores each: an objective of 7.6 s with queue.
func report() *submitter.Job {
	step := submitter.Step{Count: 20, Estimate: identifier.Duration(2200 * time.Millisecond), Size: identifier.Size{Processors: 7000}}
	second := step
	second.After = []int{0}
	return &submitter.Job{ID: "1", Steps: []submitter.Step{step, second}}
}

func queue(priority int) connector.QueueConfig {
	return connector.QueueConfig{Service: "portal", Priority: priority, Stretch: 1.5, Allowance: identifier.Duration(time.Second)}
}

// backlogOf returns the outlook of a service of 1,000 cores with work that takes the given times.
func backlogOf(seconds map[int]float64) Outlook {
	s := Service{Name: "portal", Processors: 1_000_000, Work: map[int]CoreTime{}}
	for p, n := range seconds {
		s.Work[p] = CoreTime(n * 1000 * float64(time.Second))
	}
	return Outlook{Services: []Service{s}}
}

// TestJobsThatCannotBeInTimeAreRefused plays a burst that leaves more work than three objectives take.
func TestJobsThatCannotBeInTimeAreRefused(t *testing.T) {
	lasting := report()
	lasting.Steps[0].LongRunning = true
	scheduled := report()
	scheduled.Schedule = &submitter.Schedule{Times: 2}
	tests := map[string]struct {
		job     *submitter.Job
		seconds map[int]float64
		age     time.Duration
		queue   connector.QueueConfig
		want    bool
	}{
		"no backlog":                   {report(), nil, 0, queue(2), true},
		"late but of use":              {report(), map[int]float64{2: 15}, 0, queue(2), true},
		"of no use any more":           {report(), map[int]float64{2: 30}, 0, queue(2), false},
		"less urgent work ahead":       {report(), map[int]float64{2: 30}, 0, queue(0), true},
		"more urgent work ahead":       {report(), map[int]float64{0: 30, 2: 3}, 0, queue(2), false},
		"share of the less urgent":     {report(), map[int]float64{0: 30, 2: 1}, 0, queue(2), true},
		"old outlook":                  {report(), map[int]float64{2: 30}, 2 * time.Second, queue(2), true},
		"other service":                {report(), map[int]float64{2: 30}, 0, connector.QueueConfig{Service: "other"}, true},
		"without an objective":         {&submitter.Job{}, map[int]float64{2: 1e9}, 0, connector.QueueConfig{Service: "portal"}, true},
		"more than can be counted":     {report(), map[int]float64{2: 1e6}, 0, queue(2), false},
		"long-running":                 {lasting, map[int]float64{2: 30}, 0, queue(2), true},
		"scheduled":                    {scheduled, map[int]float64{2: 30}, 0, queue(2), true},
		"holder of an earlier version": {report(), map[int]float64{}, 0, queue(2), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var a Admitter
			a.Observe(0, backlogOf(tt.seconds), start)
			wait, got := a.Judge(0, tt.job, tt.queue, start.Add(tt.age))
			if got != tt.want {
				t.Errorf("admitted: %v, want %v", got, tt.want)
			}
			if !got && (wait < minRetryAfter || wait > maxRetryAfter) {
				t.Errorf("wait %v", wait)
			}
		})
	}
}

// TestAdmission checks for any backlog that a class without work of its own is admitted, whatever more
// urgent classes have, that more work ahead never admits a job that less refuses, and that those refused
// first are not told to return after those refused later.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := rapid.MapOf(rapid.IntRange(0, 4), rapid.Float64Range(0, 200)).Draw(t, "seconds")
		priority := rapid.IntRange(0, 4).Draw(t, "priority")
		judge := func(seconds map[int]float64) bool {
			var a Admitter
			a.Observe(0, backlogOf(seconds), start)
			_, ok := a.Judge(0, report(), queue(priority), start)
			return ok
		}
		admitted := judge(seconds)
		more := map[int]float64{}
		for p, s := range seconds {
			more[p] = s + 1
		}
		if !admitted && judge(more) {
			t.Error("refused, but admitted with more work ahead")
		}
		delete(seconds, priority)
		if !judge(seconds) {
			t.Error("a class without work is refused")
		}
		var a Admitter
		a.Observe(0, backlogOf(map[int]float64{0: 40}), start)
		before := time.Duration(0)
		for n := range 50 {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			wait, ok := a.Judge(0, report(), queue(0), now)
			back := now.Add(wait).Sub(start)
			if ok || back < before {
				t.Fatalf("refusal %d: admitted %v, returns after %v, the one before after %v", n, ok, back, before)
			}
			before = back
		}
	})
}

// BenchmarkJudge judges a job by the outlook of a service with five classes.
func BenchmarkJudge(b *testing.B) {
	var a Admitter
	a.Observe(0, backlogOf(map[int]float64{0: 9, 1: 9, 2: 9, 3: 9, 4: 9}), start)
	job, q := report(), queue(2)
	for b.Loop() {
		a.Judge(0, job, q, start)
	}
}
