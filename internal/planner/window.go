package planner

import "time"

// maxUnsentClaims is how many claims may wait for the store or for the window of orders: as many as
// are made in 0.25 s, the response time of a slow store, at 1,000 starts a second. If the window is
// larger, twice its limit applies.
const maxUnsentClaims = 256

// claimLimitReached reports whether no more tasks should be claimed. The others stay ready, so that
// in a burst the most urgent are still claimed first.
func (p *Planner) claimLimitReached() bool {
	return p.unsentClaims >= max(maxUnsentClaims, 2*p.orderWindow.Limit())
}

// addUnsentClaim counts a claim whose start is not sent yet.
func (p *Planner) addUnsentClaim(r *run) {
	r.unsent = true
	p.unsentClaims++
}

// dropUnsentClaim ends the count of a claim as unsent.
func (p *Planner) dropUnsentClaim(r *run) {
	if r.unsent {
		r.unsent = false
		p.unsentClaims--
	}
}

// enterWindow counts a run's start as in flight, once however often it is sent. In a burst, claims
// beyond the window wait instead of delaying the starts and lease renewals in flight.
func (p *Planner) enterWindow(r *run) {
	p.dropUnsentClaim(r)
	if !r.startInFlight {
		r.startInFlight = true
		p.orderWindow.Acquire()
	}
}

// leaveWindow ends the count of a run's start as in flight.
func (p *Planner) leaveWindow(r *run) {
	if r.startInFlight {
		r.startInFlight = false
		p.orderWindow.Release()
	}
}

// observeStart feeds the response time of a start to the window, and counts late starts.
func (p *Planner) observeStart(r *run, answered bool) {
	if p.observeOrder(r.startSentAt, answered) {
		p.counts.startsLate++
	}
}

// observeOrder feeds the response time of an order to the window, logs if that decreases the
// window, and reports whether the answer was late or missing.
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
