package planner

import "time"

// maxUnsentClaims is how many claims may wait for the store or for the window of orders:
// those of 0.25 s, the answer of a slow store, at 1,000 starts a second. A window that is
// larger needs twice as many as it allows.
const maxUnsentClaims = 256

// claimLimitReached reports whether no more tasks should be claimed. Under a burst, tasks beyond
// that stay ready, the most urgent first in turn.
func (p *Planner) claimLimitReached() bool {
	return p.unsentClaims >= max(maxUnsentClaims, 2*p.orderWindow.Limit())
}

// addUnsentClaim counts a run whose start is not sent yet.
func (p *Planner) addUnsentClaim(r *run) {
	r.unsent = true
	p.unsentClaims++
}

func (p *Planner) dropUnsentClaim(r *run) {
	if r.unsent {
		r.unsent = false
		p.unsentClaims--
	}
}

// enterWindow counts a run whose start is sent. Under a burst, claims beyond the window
// wait instead of making the starts and renewals that are under way late.
func (p *Planner) enterWindow(r *run) {
	p.dropUnsentClaim(r)
	if !r.startInFlight {
		r.startInFlight = true
		p.orderWindow.Acquire()
	}
}

// leaveWindow counts a run out whose start is not under way any more.
func (p *Planner) leaveWindow(r *run) {
	if r.startInFlight {
		r.startInFlight = false
		p.orderWindow.Release()
	}
}

// observeStart learns from how long the answer to a start took.
func (p *Planner) observeStart(r *run, answered bool) {
	if p.observeOrder(r.startSentAt, answered) {
		p.counts.startsLate++
	}
}

// observeOrder learns from how long the answer to an order took, and reports whether it
// came late or not at all.
func (p *Planner) observeOrder(sent time.Time, answered bool) (late bool) {
	late, cut := true, false
	if answered {
		late, cut = p.orderWindow.OnAnswer(p.now, sent)
	} else {
		cut = p.orderWindow.OnTimeout(p.now, sent)
	}
	if cut {
		p.log.StartsLimited(p.orderWindow.Limit(), p.now.Sub(sent))
	}
	return late
}
