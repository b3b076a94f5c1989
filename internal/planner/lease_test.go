package planner

import (
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestLeasesByOldClockReadingsEndInTime guards against a lease that lasts longer than successors wait
// for it. It is requested by a reading of the worker's clock that has run slow since then.
func TestLeasesByOldClockReadingsEndInTime(t *testing.T) {
	for name, age := range map[string]time.Duration{"new": 0, "a long poll old": time.Second, "a late poll old": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			const rate, clock = 1 - maxClockDrift, connector.WorkerClock(time.Minute)
			b := newTestbed(t, workerEntry("w"))
			b.update(0)
			b.answerPoll("w", connector.HoldAnswer{OrderAnswer: connector.OrderAnswer{Clock: clock}, StartedAt: 1})
			heard := b.now
			b.update(age)
			s := b.startOne(submitter.Step{Count: 1, Size: smallSize})
			end := heard.Add(time.Duration(float64(s.Order.LeaseUntil-clock) / rate))
			if latest := b.now.Add(bySlowClock(b.p.settings.Lease)); end.After(latest.Add(time.Microsecond)) {
				t.Errorf("lease ends %v later than successors wait for it", end.Sub(latest))
			}
		})
	}
}

// TestSlowTakeoversWaitForInheritedLeases guards against a wait that is shortened by whatever passes
// between the time of a decision and its reading of the uptime, in the takeover or a later pass.
func TestSlowTakeoversWaitForInheritedLeases(t *testing.T) {
	const left = 4 * time.Second
	for name, delay := range map[string]time.Duration{"at once": 0, "5 ms": 5 * time.Millisecond, "500 ms": 500 * time.Millisecond} {
		for pass, known := range map[string]bool{"takeover": true, "later pass": false} {
			t.Run(name+", "+pass, func(t *testing.T) {
				b := newTestbed(t)
				began, uptime := b.now, time.Duration(0)
				state := renewer.State{Leases: map[identifier.Worker]renewer.Lease{"w": {Epoch: 1, Expires: renewer.Time(left)}}}
				state.Terms = []renewer.Term{{Epoch: 1}}
				state = state.BeginTerm(2, "", renewer.ClockEstimate{})
				b.p = New(2, b.now, b.p.settings, WithLeases(state, func(now time.Time) renewer.Reading {
					uptime = now.Sub(began) + delay
					return renewer.Reading{Now: now, Earliest: uptime - delay, Latest: uptime}
				}, 0))
				if !known {
					b.update(time.Second)
				}
				b.p.Inform(b.now,
					JobSubmitted{Job: submitter.Job{ID: "aa", Queue: queue, Steps: []submitter.Step{{Count: 1, Size: smallSize}}}, Queue: queueConfig},
					JobsRestored{Records: []JobRecord{{ID: "aa", State: StateRunning, Tasks: []TaskRecord{{Attempt: 1, Runs: []RunRecord{{Attempt: 1, Worker: "w"}}}}}}})
				if end := b.p.workers["w"].leaseEnd; end.Before(began.Add(left)) {
					t.Errorf("lease counts as expired %v early", began.Add(left).Sub(end))
				}
			})
		}
	}
}
