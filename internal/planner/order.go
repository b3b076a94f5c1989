package planner

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func (p *Planner) findRun(id identifier.Worker, run connector.RunID) *run {
	w, ok := p.workers[id]
	if !ok {
		return nil
	}
	return w.runs[run]
}

func (p *Planner) startAnswered(e StartAnswered) {
	r := p.findRun(e.Worker, e.Run)
	if r == nil || r.phase != runStarting {
		return
	}
	p.observeStart(r, e.Err == nil)
	if e.Err != nil {
		p.startUnanswered(r, e.Err)
		return
	}
	w := r.worker
	w.recordAnswer(p.now, e.Answer.Clock)
	switch e.Answer.Verdict {
	case connector.VerdictOK, connector.VerdictStaleRun:
		w.recordRenewal(e.Answer, p.now)
		// A run that is called old has ended; the next look brings its end.
		p.markActive(r)
		if r.unwanted {
			p.stop(r)
		}
	case connector.VerdictFenced:
		p.startFenced(r, e.Epoch)
	case connector.VerdictOtherIncarnation:
		p.workerReplaced(w)
	case connector.VerdictInvalidTicket:
		p.log.StartRefused(r.id, w.id, e.Answer.Verdict)
		p.ticketRefused(r)
	default:
		p.log.StartRefused(r.id, w.id, e.Answer.Verdict)
		p.startRefused(r)
	}
}

// markActive notes that a run is at its worker.
func (p *Planner) markActive(r *run) {
	r.phase, r.confirmedAt = runActive, p.now
	if !r.stalled {
		r.progressAt = p.now
	}
	p.leaveWindow(r)
	p.noteServiceResumed(r)
	p.noteRestart(r)
}

// noteRestart notes that a task whose last run was lost runs again.
func (p *Planner) noteRestart(r *run) {
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
	p.log.StartUnanswered(r.id, r.worker.id, r.startTries, err)
	r.maybeDelivered = r.maybeDelivered || !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown)
	// The members of a gang share an attempt, so that one start is better sent again.
	if !r.maybeDelivered && (!r.task.group.step.Gang || r.startTries >= maxStartTries) {
		p.discardUnsentStart(r)
		return
	}
	if r.startTries < maxStartTries && !r.unwanted && p.usable(r.worker) && p.leases.RenewalAllowed(r.worker.id) && p.directoryFresh() {
		p.sendStart(r)
		return
	}
	p.markUnsure(r)
}

// discardUnsentStart gives up a run that its worker has certainly not heard of. The task goes
// elsewhere if it can.
func (p *Planner) discardUnsentStart(r *run) {
	t := r.task
	t.failedOn, t.notBefore = r.worker.id, p.now.Add(notSentDelay)
	p.removeRun(r)
	p.requeue(t)
}

// markUnsure makes the next look at the worker decide about a run.
func (p *Planner) markUnsure(r *run) {
	r.phase = runUnsure
	p.leaveWindow(r)
	w := r.worker
	if identifier.Epoch(w.sequence) <= r.epoch&(1<<sequenceBits-1) {
		w.sequence++
	}
	w.nextPoll = p.now
}

// startFenced handles a refusal for a lower epoch: either this holder raised it
// meanwhile, or another holder has taken over.
func (p *Planner) startFenced(r *run, sent identifier.Epoch) {
	if sent == p.epochOf(r.worker) {
		p.stepDown()
		return
	}
	if r.startTries > 1 {
		// An earlier start of the run may have come through.
		p.markUnsure(r)
		return
	}
	p.removeRun(r)
	p.requeue(r.task)
}

// startRefused takes back a run that the worker certainly did not begin by this
// order.
func (p *Planner) startRefused(r *run) {
	if r.startTries > 1 {
		p.markUnsure(r)
		return
	}
	p.recordFailure(r.worker)
	p.removeRun(r)
	p.requeue(r.task)
}

func (p *Planner) stepDown() {
	p.emit(StepDown{Reason: "a worker has seen a higher epoch"})
}

// cancelRun stops a run that is not wanted any more.
func (p *Planner) cancelRun(r *run) {
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
	w.synced = false
	p.suspects[w] = struct{}{}
	p.markRunsLost(w)
}

// hasSentRuns reports whether a start was ever sent of a run that counts at the worker.
func (w *worker) hasSentRuns() bool {
	for _, r := range w.runs {
		if r.phase != runClaimed {
			return true
		}
	}
	return false
}

// markRunsLost gives up all runs of a worker that have certainly ended there.
func (p *Planner) markRunsLost(w *worker) {
	for _, r := range w.runs {
		if r.phase == runClaimed {
			continue
		}
		p.markLost(r)
	}
}

// markLost gives up one run that has certainly ended without a known outcome.
func (p *Planner) markLost(r *run) {
	r.task.silence, r.task.lostAt = p.silenceOf(r.worker), p.now
	p.log.RunLost(r.id, r.worker.id, r.task.silence, p.renewalOf(r.worker))
	r.task.addLostAttempt(r.id.Attempt)
	p.removeRun(r)
	p.requeue(r.task)
}

// addLostAttempt notes that a run was given up without a known outcome.
func (t *task) addLostAttempt(a identifier.Attempt) {
	if t.lostAttempts == nil {
		t.lostAttempts = map[identifier.Attempt]struct{}{}
	}
	t.lostAttempts[a] = struct{}{}
}

// awaitsFirstList reports whether a worker has not yet had the time to list in this term what has
// ended there, so that its tasks may be done.
func (p *Planner) awaitsFirstList(w *worker) bool {
	if !w.heardAt.IsZero() {
		return false
	}
	return p.directory.WorkersReadAt.IsZero() || w.listed && w.missedPolls < maxRenewMisses
}

// expireSilentWorkers gives up the runs of workers whose leases have certainly
// run out.
func (p *Planner) expireSilentWorkers() {
	for w := range p.suspects {
		if w.synced && w.missedPolls == 0 && w.listed {
			delete(p.suspects, w)
			continue
		}
		if p.now.Before(w.leaseEnd) || p.awaitsFirstList(w) {
			continue
		}
		if w.hasSentRuns() {
			p.log.WorkerChanged(w.id, "lease expired")
			p.markRunsLost(w)
			w.sequence++
			w.synced = false
		}
		if !w.listed && len(w.runs) == 0 {
			p.forgetWorker(w)
		}
	}
}
