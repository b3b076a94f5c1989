package planner

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func (p *Planner) runAt(id identifier.Worker, run connector.RunID) *run {
	w, ok := p.workers[id]
	if !ok {
		return nil
	}
	return w.runs[run]
}

func (p *Planner) startAnswered(e StartAnswered) {
	r := p.runAt(e.Worker, e.Run)
	if r == nil || r.phase != runStarting {
		return
	}
	p.observeStart(r, e.Err == nil)
	if e.Err != nil {
		p.startUnanswered(r, e.Err)
		return
	}
	w := r.worker
	w.heard(p.now, e.Answer.Clock)
	switch e.Answer.Verdict {
	case connector.VerdictOK, connector.VerdictOld:
		w.renewedBy(e.Answer, p.now)
		// A run that is called old has ended; the next look brings its end.
		p.activated(r)
		if r.unwanted {
			p.stop(r)
		}
	case connector.VerdictFenced:
		p.startFenced(r, e.Epoch)
	case connector.VerdictOtherLife:
		p.workerReplaced(w)
	case connector.VerdictTicket:
		p.log.StartRefused(r.id, w.id, e.Answer.Verdict)
		p.ticketRefused(r)
	default:
		p.log.StartRefused(r.id, w.id, e.Answer.Verdict)
		p.startRefused(r)
	}
}

// activated notes that a run is at its worker.
func (p *Planner) activated(r *run) {
	r.phase, r.answered = runActive, p.now
	if !r.stalled {
		r.progress = p.now
	}
	p.startEnds(r)
	p.serviceResumed(r)
	p.restarted(r)
}

// restarted notes that a task whose last run was lost runs again.
func (p *Planner) restarted(r *run) {
	t := r.task
	if t.lostAt.IsZero() || r.unwanted {
		return
	}
	t.silence.Duration += p.now.Sub(t.lostAt)
	t.lostAt = time.Time{}
	p.log.TaskRestarted(r.id, r.worker.id, t.silence)
}

// startUnanswered repeats a start once; after that the worker's epoch is raised
// so that none of them can take effect any more. A start that never left this side is
// taken back at once instead.
func (p *Planner) startUnanswered(r *run, err error) {
	p.log.StartUnanswered(r.id, r.worker.id, r.tries, err)
	r.exposed = r.exposed || !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown)
	// The members of a gang share an attempt, so that one start is better sent again.
	if !r.exposed && (!r.task.group.step.Gang || r.tries >= maxStartTries) {
		p.takeBack(r)
		return
	}
	if r.tries < maxStartTries && !r.unwanted && p.usable(r.worker) && p.leases.RenewalAllowed(r.worker.id) && p.fresh() {
		p.sendStart(r)
		return
	}
	p.doubt(r)
}

// takeBack gives up a run that its worker has certainly not heard of. The task goes
// elsewhere if it can.
func (p *Planner) takeBack(r *run) {
	t := r.task
	t.failedOn, t.notBefore = r.worker.id, p.now.Add(notSentPause)
	p.forgetRun(r)
	p.requeue(t)
}

// doubt makes the next look at the worker decide about a run.
func (p *Planner) doubt(r *run) {
	r.phase = runUnsure
	p.startEnds(r)
	w := r.worker
	if identifier.Epoch(w.sequence) <= r.epoch&(1<<sequenceBits-1) {
		w.sequence++
	}
	w.nextHold = p.now
}

// startFenced handles a refusal for a lower epoch: either this holder raised it
// meanwhile, or another holder has taken over.
func (p *Planner) startFenced(r *run, sent identifier.Epoch) {
	if sent == p.epochOf(r.worker) {
		p.superseded()
		return
	}
	if r.tries > 1 {
		// An earlier start of the run may have come through.
		p.doubt(r)
		return
	}
	p.forgetRun(r)
	p.requeue(r.task)
}

// startRefused takes back a run that the worker certainly did not begin by this
// order.
func (p *Planner) startRefused(r *run) {
	if r.tries > 1 {
		p.doubt(r)
		return
	}
	p.failedAt(r.worker)
	p.forgetRun(r)
	p.requeue(r.task)
}

func (p *Planner) superseded() {
	p.emit(StepDown{Reason: "a worker has seen a higher epoch"})
}

// abandon stops a run that is not wanted any more.
func (p *Planner) abandon(r *run) {
	if r.unwanted {
		return
	}
	r.unwanted = true
	switch r.phase {
	case runActive, runStarting, runUnsure:
		p.stop(r)
	case runClaimed, runStopping:
	}
}

// evict stops a run whose task goes on elsewhere.
func (p *Planner) evict(r *run) {
	if r.phase == runActive && !r.unwanted {
		r.unwanted = true
		p.stop(r)
	}
}

// workerReplaced handles a worker whose address belongs to another one: it has
// ended, and its runs with it.
func (p *Planner) workerReplaced(w *worker) {
	p.log.WorkerChanged(w.id, "replaced")
	p.suspendLease(w)
	w.current = false
	p.doubted[w] = struct{}{}
	p.loseRuns(w)
}

// toldOfRuns reports whether a start was ever sent of a run that counts at the worker.
func (w *worker) toldOfRuns() bool {
	for _, r := range w.runs {
		if r.phase != runClaimed {
			return true
		}
	}
	return false
}

// loseRuns gives up all runs of a worker that have certainly ended there.
func (p *Planner) loseRuns(w *worker) {
	for _, r := range w.runs {
		if r.phase == runClaimed {
			continue
		}
		p.lose(r)
	}
}

// lose gives up one run that has certainly ended without a known outcome.
func (p *Planner) lose(r *run) {
	r.task.silence, r.task.lostAt = p.silenceOf(r.worker), p.now
	p.log.RunLost(r.id, r.worker.id, r.task.silence, p.renewalOf(r.worker))
	r.task.noteLost(r.id.Attempt)
	p.forgetRun(r)
	p.requeue(r.task)
}

// noteLost notes that a run was given up without a known outcome.
func (t *task) noteLost(a identifier.Attempt) {
	if t.lost == nil {
		t.lost = map[identifier.Attempt]struct{}{}
	}
	t.lost[a] = struct{}{}
}

// mayListEnds reports whether a worker has not yet had the time to list in this term what has
// ended there, so that its tasks may be done.
func (p *Planner) mayListEnds(w *worker) bool {
	if !w.heardAt.IsZero() {
		return false
	}
	return p.directory.WorkersSeen.IsZero() || w.listed && w.misses < renewMisses
}

// expireSilentWorkers gives up the runs of workers whose leases have certainly
// run out.
func (p *Planner) expireSilentWorkers() {
	for w := range p.doubted {
		if w.current && w.misses == 0 && w.listed {
			delete(p.doubted, w)
			continue
		}
		if p.now.Before(w.leaseEnd) || p.mayListEnds(w) {
			continue
		}
		if w.toldOfRuns() {
			p.log.WorkerChanged(w.id, "lease expired")
			p.loseRuns(w)
			w.sequence++
			w.current = false
		}
		if !w.listed && len(w.runs) == 0 {
			p.forgetWorker(w)
		}
	}
}
