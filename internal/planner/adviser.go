package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxAsked is how many workers an adviser is asked about at a time, since it takes
	// time for each; the users count on 30 in their objectives.
	maxAsked = 30
	// maxQuestions bounds the questions under way, below the 32 at which the users'
	// adviser turns calls away.
	maxQuestions = 8
	// permitMargin is kept for the way of a start to its worker.
	permitMargin = 200 * time.Millisecond
	// advicePause is the pause after a question without an answer.
	advicePause = 250 * time.Millisecond
)

// permit is what an adviser said of a worker, in one life of it.
type permit struct {
	incarnation identifier.UnixMillis
	granted     bool
	ticket      string
	until       time.Time
}

// adviceState is what a step of an advised queue knows of the workers.
type adviceState struct {
	permits map[identifier.Worker]permit
	asking  bool
	retryAt time.Time
}

func (g *taskGroup) id() connector.StepID {
	return connector.StepID{Job: g.job.def.ID, Occurrence: g.occurrence, Step: g.index}
}

// permitted returns the ticket with which a group may run on a worker now; known is
// false if the adviser has to be asked about it.
func (p *Planner) permitted(g *taskGroup, w *worker) (ticket string, good, known bool) {
	said, ok := g.advice.permits[w.id]
	switch {
	case !ok || said.incarnation != w.incarnation:
		return "", false, false
	case !said.granted:
		return "", false, true
	case p.now.Add(permitMargin).After(said.until):
		return "", false, false
	default:
		return said.ticket, true, true
	}
}

// askAdvice asks about workers for tasks of a group that have found none.
func (p *Planner) askAdvice(g *taskGroup) {
	if !g.job.queue.Advised || g.readyTasks == 0 || g.advice.asking || p.now.Before(g.advice.retryAt) || p.pendingAdvice >= maxQuestions {
		return
	}
	workers := p.candidates(g)
	if len(workers) == 0 {
		return
	}
	g.advice.asking = true
	p.pendingAdvice++
	p.emit(AskAdvice{Step: g.id(), Workers: workers})
}

// candidates returns the best workers for a group of which the adviser was not asked.
func (p *Planner) candidates(g *taskGroup) []identifier.Worker {
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
	out := make([]identifier.Worker, 0, maxAsked)
	for _, c := range found[:min(len(found), maxAsked)] {
		out = append(out, c.id)
	}
	return out
}

// adviceAnswered takes an adviser's answer, or its failure, into account.
func (p *Planner) adviceAnswered(e AdviceAnswered) {
	p.pendingAdvice--
	g := p.groupOf(e.Step)
	if g == nil {
		return
	}
	g.advice.asking = false
	p.log.AdviceReceived(e.Step, len(e.Workers), len(e.Advice.Permits), e.Err)
	if e.Err != nil {
		g.advice.retryAt = p.now.Add(advicePause)
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
	for _, good := range e.Advice.Permits {
		if known, ok := g.advice.permits[good.Worker]; ok {
			known.granted, known.ticket, known.until = true, good.Ticket, e.AskedAt.Add(e.Advice.ValidFor)
			g.advice.permits[good.Worker] = known
		}
	}
}

func (p *Planner) groupOf(id connector.StepID) *taskGroup {
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

// ticketRefused forgets a permit that a worker did not accept, and places the task
// again. The worker is not to blame.
func (p *Planner) ticketRefused(r *run) {
	delete(r.task.group.advice.permits, r.worker.id)
	if r.startTries > 1 {
		p.markUnsure(r)
		return
	}
	p.removeRun(r)
	p.requeue(r.task)
}
