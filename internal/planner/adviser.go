package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxWorkersAsked is how many workers a question to the adviser covers, unless more are needed.
	// The users' objectives assume 30. The adviser accepts maxWorkersNamed.
	maxWorkersAsked = 30
	maxWorkersNamed = 100
	// permitMargin is the least time that a permit must be valid for, so that the start reaches its
	// worker.
	permitMargin = 200 * time.Millisecond
	// adviceRetryPause is the pause after a question that was not answered, and the first one of a
	// step whose answers are of no use. maxAdviceBackoff bounds the latter.
	adviceRetryPause = 250 * time.Millisecond
	maxAdviceBackoff = 4 * time.Second
)

// permit is the adviser's verdict on a worker, in one incarnation of it.
type permit struct {
	incarnation identifier.UnixMillis
	granted     bool
	ticket      string
	until       time.Time
}

// adviceState is what a step of an advised queue knows from the adviser.
type adviceState struct {
	permits map[identifier.Worker]permit
	retryAt time.Time
	// useless counts the answers in a row that permitted no start, and uselessAt is when the last came.
	useless   int
	uselessAt time.Time
}

// backOff delays the next question of a step after an answer that was of no use, but for the first
// one, so that it does not keep other steps from asking.
func (s *adviceState) backOff(now time.Time) {
	if now.Sub(s.uselessAt) > 2*maxAdviceBackoff {
		s.useless = 0
	}
	if s.useless > 0 {
		s.retryAt = now.Add(min(adviceRetryPause<<min(s.useless-1, 16), maxAdviceBackoff))
	}
	s.useless++
	s.uselessAt = now
}

// id returns the id of the step, by which events refer to it.
func (g *taskGroup) id() connector.StepID {
	return connector.StepID{Job: g.job.def.ID, Occurrence: g.occurrence, Step: g.index}
}

// permitted returns the ticket with which a group may run on a worker now; granted is false if the
// adviser ruled the worker out, and known is false if the adviser has to be asked.
func (p *Planner) permitted(g *taskGroup, w *worker) (ticket string, granted, known bool) {
	verdict, ok := g.advice.permits[w.id]
	switch {
	case !ok || verdict.incarnation != w.incarnation:
		return "", false, false
	case !verdict.granted:
		return "", false, true
	case p.now.Add(permitMargin).After(verdict.until):
		return "", false, false
	default:
		return verdict.ticket, true, true
	}
}

// askAdvice asks the adviser about more workers if a group has ready tasks for which no worker with
// a permit has room. It is called in the order of service, so that the next free call goes to the
// first job that still needs one.
func (p *Planner) askAdvice(g *taskGroup) {
	if !g.job.queue.Advised || g.readyTasks == 0 || p.now.Before(g.advice.retryAt) || !p.quotaAdmits(g.job, g.step.Size, g.placedTogether()) {
		return
	}
	if p.adviceWanted || p.adviceLine.awaits(g.id()) {
		return
	}
	hasRoom := p.adviceLine.hasRoom(p.now, callDuration(g.job.queue.Advice, 1))
	if !hasRoom && !p.adviceLine.shared() {
		return
	}
	workers := p.adviceCandidates(g)
	if len(workers) == 0 {
		return
	}
	if !p.adviceLine.takeTurn(p.asker, hasRoom) {
		p.adviceWanted = true
		return
	}
	number := p.adviceLine.add(p.now, p.asker, g.id(), callDuration(g.job.queue.Advice, len(workers)))
	p.emit(AskAdvice{Call: number, Step: g.id(), Workers: workers, Timeout: maxAdviceWait})
}

// LeaveAdviser ends the wait for the adviser's answers. It is called once at the end of a term.
func (p *Planner) LeaveAdviser() { p.adviceLine.leave(p.asker) }

// reviewAdvice gives up the questions whose answers are lost or of no use, and has those asked again whose answers
// are late.
func (p *Planner) reviewAdvice() {
	useless := func(id connector.StepID) bool {
		g := p.lookupGroup(id)
		return g == nil || g.job.state.Ended()
	}
	ended, late := p.adviceLine.review(p.now, p.asker, useless)
	for _, c := range ended {
		p.emit(CancelAdvice{Call: c.number})
		if !useless(c.step) {
			p.log.AdviceUnanswered(c.step, p.now.Sub(c.sentAt), p.adviceLine.slownessNow(), true)
		}
	}
	for _, c := range late {
		p.log.AdviceUnanswered(c.step, p.now.Sub(c.sentAt), p.adviceLine.slownessNow(), false)
	}
}

// adviceCandidates returns the best workers for a group among those that only lack a permit. Those
// that the adviser has permitted before come first, since it does not change its mind.
func (p *Planner) adviceCandidates(g *taskGroup) []identifier.Worker {
	t := g.firstReady()
	d := p.demandOf(t, p.patience(t.group))
	// The answer may come when no room is withheld from the task any more.
	d.neglected = true
	type candidate struct {
		id    identifier.Worker
		known bool
		score float64
	}
	var found []candidate
	for _, w := range p.workers {
		if _, _, known := p.permitted(g, w); !known && p.placementObstacle(t, w, d) == obstaclePermit {
			verdict, ok := g.advice.permits[w.id]
			found = append(found, candidate{w.id, ok && verdict.incarnation == w.incarnation, p.score(g.step, w, d.kind, 0)})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.known != b.known {
			if a.known {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	n := workersToAsk(g.job.queue.Advice, g.readyTasks, p.adviceLine.permittedShare(g.job.queue.Name))
	out := make([]identifier.Worker, 0, n)
	for _, c := range found[:min(len(found), n)] {
		out = append(out, c.id)
	}
	return out
}

// adviceAnswered handles the answer to a question to the adviser, or its failure.
func (p *Planner) adviceAnswered(e AdviceAnswered) {
	if !p.adviceLine.answered(p.now, e.Call, e.Err) {
		return
	}
	g := p.lookupGroup(e.Step)
	if g == nil {
		return
	}
	p.log.AdviceReceived(e.Step, len(e.Workers), len(e.Advice.Permits), e.Err)
	if e.Err != nil {
		g.advice.retryAt = p.now.Add(adviceRetryPause)
		if errors.Is(e.Err, connector.ErrRefused) {
			g.advice.backOff(p.now)
		}
		return
	}
	p.adviceLine.observePermits(g.job.queue.Name, len(e.Workers), len(e.Advice.Permits))
	if g.advice.permits == nil {
		g.advice.permits = map[identifier.Worker]permit{}
	}
	for _, id := range e.Workers {
		if w, ok := p.workers[id]; ok {
			g.advice.permits[id] = permit{incarnation: w.incarnation}
		}
	}
	// The permits were issued at some time since the question. If the answer took longer than they are
	// valid for, only the time of the answer leaves a chance to use them.
	issuedAt := e.AskedAt
	if p.now.Sub(e.AskedAt)+permitMargin >= e.Advice.ValidFor {
		issuedAt = p.now
	}
	until := issuedAt.Add(e.Advice.ValidFor)
	for _, granted := range e.Advice.Permits {
		if known, ok := g.advice.permits[granted.Worker]; ok {
			known.granted, known.ticket, known.until = true, granted.Ticket, until
			g.advice.permits[granted.Worker] = known
		}
	}
	if len(e.Advice.Permits) > 0 && p.now.Add(permitMargin).After(until) {
		g.advice.backOff(p.now)
	}
}

// lookupGroup returns the step with an id, or nil.
func (p *Planner) lookupGroup(id connector.StepID) *taskGroup {
	j, ok := p.jobs[id.Job]
	if !ok {
		return nil
	}
	groups := j.occurrences[id.Occurrence]
	if id.Step >= len(groups) {
		return nil
	}
	return groups[id.Step]
}

// ticketRefused drops a permit that a worker did not accept and places the task again. This does
// not count as a failure of the worker.
func (p *Planner) ticketRefused(r *run) {
	delete(r.task.group.advice.permits, r.worker.id)
	r.task.group.advice.backOff(p.now)
	if r.startTries > 1 {
		p.markUnsure(r)
		return
	}
	p.dropUnstarted(r)
}
