package estimator

import (
	"slices"
	"time"
)

const (
	// observationTTL is how long an observation counts as current. The load of a service
	// changes by a tenth within that time on the users' sites.
	observationTTL = 1200 * time.Millisecond
	// baselineTTL is how long the last baseline is used without newer observations.
	baselineTTL = 4 * time.Second
)

// Baseline tracks the slack that the tasks of a serving step have without scavengers. They
// share their load, so that tasks without scavengers on their worker show how much slack the
// others would have. The zero value has no observations.
type Baseline struct {
	recent []observation
	// sorted is a buffer for the median, reused between calls.
	sorted    []Slack
	value     Slack
	updatedAt time.Time
}

// observation is the slack of one task without scavengers.
type observation struct {
	task  int
	slack Slack
	at    time.Time
}

// Observe records the slack of a task, given by its index in the step, with the effect of
// scavengers already removed. It replaces the task's previous observation.
func (b *Baseline) Observe(now time.Time, task int, slack Slack) {
	b.recent = slices.DeleteFunc(b.recent, func(o observation) bool {
		return o.task == task || now.Sub(o.at) > observationTTL
	})
	b.recent = append(b.recent, observation{task, slack, now})
	b.value, b.updatedAt = b.median(), now
}

// median returns the upper median, which a single outlier does not distort.
func (b *Baseline) median() Slack {
	b.sorted = b.sorted[:0]
	for _, o := range b.recent {
		b.sorted = append(b.sorted, o.slack)
	}
	slices.Sort(b.sorted)
	return b.sorted[len(b.sorted)/2]
}

// Slack returns the current slack without scavengers. Fresh is false if the last observation
// is older than observationTTL, and ok is false if it is older than baselineTTL or missing.
func (b *Baseline) Slack(now time.Time) (slack Slack, fresh, ok bool) {
	age := now.Sub(b.updatedAt)
	return b.value, age <= observationTTL, b.value > 0 && age <= baselineTTL
}
