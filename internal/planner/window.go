package planner

import "time"

// lateStart is from when on the answer to a start counts as late: half of the time
// after which it counts as missing.
const lateStart = 200 * time.Millisecond

// startBegins counts a run whose start is to be sent. Under a burst, tasks beyond the
// window stay ready, the most urgent first in turn, instead of making the starts and
// renewals that are under way late.
func (p *Planner) startBegins(r *run) {
	r.underWay = true
	p.starts.Enter()
}

// startEnds counts a run out whose start is not under way any more.
func (p *Planner) startEnds(r *run) {
	if r.underWay {
		r.underWay = false
		p.starts.Leave()
	}
}

// observeStart learns from how long the answer to a start took.
func (p *Planner) observeStart(r *run, answered bool) {
	if took := p.now.Sub(r.sentAt); answered && took < lateStart {
		p.starts.InTime(r.sentAt)
		return
	}
	if p.starts.Late(p.now, r.sentAt) {
		p.log.StartsLimited(p.starts.Limit(), p.now.Sub(r.sentAt))
	}
}
