package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxWorkersAsked is how many workers one question to the adviser covers, since it takes time
	// for each. The users' objectives assume 30.
	maxWorkersAsked = 30
	// maxQuestions bounds the questions in flight. The users' adviser rejects calls from 32 on.
	maxQuestions = 8
	// permitMargin is the least time that a permit must be valid for, so that the start reaches its
	// worker.
	permitMargin = 200 * time.Millisecond
	// adviceRetryPause is the pause after a question that was not answered.
	adviceRetryPause = 250 * time.Millisecond
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
	permits  map[identifier.Worker]permit
	inFlight bool
	retryAt  time.Time
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
// a permit has room.
func (p *Planner) askAdvice(g *taskGroup) {
	if !g.job.queue.Advised || g.readyTasks == 0 || g.advice.inFlight || p.now.Before(g.advice.retryAt) || p.pendingAdvice >= maxQuestions {
		return
	}
	workers := p.adviceCandidates(g)
	if len(workers) == 0 {
		return
	}
	g.advice.inFlight = true
	p.pendingAdvice++
	p.emit(AskAdvice{Step: g.id(), Workers: workers})
}

// adviceCandidates returns the best workers for a group among those that only lack a permit, at
// most maxWorkersAsked.
func (p *Planner) adviceCandidates(g *taskGroup) []identifier.Worker {
	t := g.firstReady()
	d := p.demandOf(t, p.patience(t.group))
	type candidate struct {
		id    identifier.Worker
		score float64
	}
	var found []candidate
	for _, w := range p.workers {
		if _, _, known := p.permitted(g, w); !known && p.placementObstacle(t, w, d) == obstaclePermit {
			found = append(found, candidate{w.id, p.score(g.step, w, d.kind, 0)})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]identifier.Worker, 0, maxWorkersAsked)
	for _, c := range found[:min(len(found), maxWorkersAsked)] {
		out = append(out, c.id)
	}
	return out
}

// adviceAnswered handles the answer to a question to the adviser, or its failure.
func (p *Planner) adviceAnswered(e AdviceAnswered) {
	p.pendingAdvice--
	g := p.lookupGroup(e.Step)
	if g == nil {
		return
	}
	g.advice.inFlight = false
	p.log.AdviceReceived(e.Step, len(e.Workers), len(e.Advice.Permits), e.Err)
	if e.Err != nil {
		g.advice.retryAt = p.now.Add(adviceRetryPause)
		return
	}
	if g.advice.permits == nil {
		g.advice.permits = map[identifier.Worker]permit{}
	}
	for _, id := range e.Workers {
		if w, ok := p.workers[id]; ok {
			g.advice.permits[id] = permit{incarnation: w.incarnation}
		}
	}
	for _, granted := range e.Advice.Permits {
		if known, ok := g.advice.permits[granted.Worker]; ok {
			known.granted, known.ticket, known.until = true, granted.Ticket, e.AskedAt.Add(e.Advice.ValidFor)
			g.advice.permits[granted.Worker] = known
		}
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
	if r.startTries > 1 {
		p.markUnsure(r)
		return
	}
	p.dropUnstarted(r)
}
