package estimator

import (
	"slices"
	"time"
)

const (
	// baselineAge is how long an observation tells how long tails are now: the load
	// of a service changes by a tenth within that time on the users' sites.
	baselineAge = 1200 * time.Millisecond
	// staleAge is how long the last baseline stands in for a newer one.
	staleAge = 4 * time.Second
)

// Baseline is the slack of a service without scavengers. Its tasks share their
// users, so that those without scavengers beside them tell how much slack the
// others would have. The zero value knows nothing.
type Baseline struct {
	seen []observation
	// sorted are their slacks, kept for the next time.
	sorted []Slack
	last   Slack
	lastAt time.Time
}

// observation is the slack of one task without scavengers.
type observation struct {
	task  int
	slack Slack
	at    time.Time
}

// Observe notes the slack of a task, by its index, without what scavengers take.
func (b *Baseline) Observe(now time.Time, task int, slack Slack) {
	b.seen = slices.DeleteFunc(b.seen, func(o observation) bool {
		return o.task == task || now.Sub(o.at) > baselineAge
	})
	b.seen = append(b.seen, observation{task, slack, now})
	b.last, b.lastAt = b.median(), now
}

// median returns the upper median, which a single long tail does not change.
func (b *Baseline) median() Slack {
	b.sorted = b.sorted[:0]
	for _, o := range b.seen {
		b.sorted = append(b.sorted, o.slack)
	}
	slices.Sort(b.sorted)
	return b.sorted[len(b.sorted)/2]
}

// Slack returns the present slack without scavengers; fresh is false if it was not
// observed lately, and ok if it is not known at all.
func (b *Baseline) Slack(now time.Time) (slack Slack, fresh, ok bool) {
	age := now.Sub(b.lastAt)
	return b.last, age <= baselineAge, b.last > 0 && age <= staleAge
}
