package planner

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// findRun returns a run on a worker, or nil if either is not known.
func (p *Planner) findRun(id identifier.Worker, run connector.RunID) *run {
	w, ok := p.workers[id]
	if !ok {
		return nil
	}
	return w.runs[run]
}

// startAnswered handles the answer to a start, or its failure.
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
		p.recordGrant(w, r.leaseUntil, e.Answer.Clock)
		// VerdictStaleRun means that the run has ended already, or was stopped before it began. It counts
		// as active until the next poll tells.
		p.markActive(r)
		if e.Answer.Verdict == connector.VerdictOK {
			p.noteBegun(r)
		}
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
		if e.Answer.Verdict == connector.VerdictNoRoom {
			p.recordGrant(w, r.leaseUntil, e.Answer.Clock)
		}
		p.log.StartRefused(r.id, w.id, e.Answer.Verdict)
		p.startRefused(r, e.Answer.Verdict)
	}
}

// markActive records that a worker knows of a run.
func (p *Planner) markActive(r *run) {
	r.phase, r.confirmedAt = runActive, p.now
	if !r.stalled {
		r.progressAt = p.now
	}
	p.leaveWindow(r)
}

// noteRestart logs that a task whose last run was lost runs again.
func (p *Planner) noteRestart(r *run) {
	t := r.task
	if t.lostAt.IsZero() || r.unwanted {
		return
	}
	t.silence.Duration += p.now.Sub(t.lostAt)
	t.lostAt = time.Time{}
	p.log.TaskRestarted(r.id, r.worker.id, t.silence)
}

// startUnanswered handles a start without an answer. It is sent once more; if that stays unanswered
// too, the worker's epoch is raised so that neither can take effect. A start that certainly never
// left this host is dropped at once and its task placed again.
func (p *Planner) startUnanswered(r *run, err error) {
	p.log.StartUnanswered(r.id, r.worker.id, r.startTries, err)
	r.maybeDelivered = r.maybeDelivered || !errors.Is(err, connector.ErrNotSent) || errors.Is(err, connector.ErrUnknown)
	// The members of a gang share an attempt number. Dropping one start would restart all of them,
	// so it is sent again instead.
	if !r.maybeDelivered && (!r.task.group.step.Gang || r.startTries >= maxStartTries) {
		p.discardUnsentStart(r)
		return
	}
	if r.startTries < maxStartTries && p.reasonToWithdraw(r) == "" && p.leases.RenewalAllowed(r.worker.id) && p.directoryFresh() {
		p.sendStart(r)
		return
	}
	p.markUnsure(r)
}

// discardUnsentStart drops a run whose start has certainly not reached the worker. The task prefers
// another worker next time.
func (p *Planner) discardUnsentStart(r *run) {
	t := r.task
	t.failedOn, t.notBefore = r.worker.id, p.now.Add(notSentDelay)
	p.dropUnstarted(r)
}

// markUnsure leaves it to the next poll of the worker to tell whether a run is there. The poll
// carries a higher epoch than the start, so that a start arriving later is refused.
func (p *Planner) markUnsure(r *run) {
	r.phase = runUnsure
	p.leaveWindow(r)
	w := r.worker
	if identifier.Epoch(w.sequence) <= r.epoch&(1<<sequenceBits-1) {
		w.sequence++
	}
	w.nextPoll = p.now
}

// startFenced handles a start that was refused for its low epoch. If it carried the worker's
// current epoch, another holder has taken over; otherwise this holder has raised the epoch since.
func (p *Planner) startFenced(r *run, sent identifier.Epoch) {
	if sent == p.epochOf(r.worker) {
		p.stepDown()
		return
	}
	if r.startTries > 1 {
		// An earlier start of the run may have been carried out.
		p.markUnsure(r)
		return
	}
	p.dropUnstarted(r)
}

// startRefused drops a run whose start the worker refused, unless an earlier start of the run may
// have been carried out.
func (p *Planner) startRefused(r *run, verdict connector.OrderVerdict) {
	if r.startTries > 1 {
		p.markUnsure(r)
		return
	}
	t := r.task
	if verdict == connector.VerdictUnhealthy || t.refusals == 0 {
		p.blame(r.worker, t)
	}
	t.failedOn = r.worker.id
	if t.refusals > 0 {
		t.notBefore = p.now.Add(backoff(t.refusals))
	}
	t.refusals++
	p.dropUnstarted(r)
}

// stepDown gives up the cell after a worker has refused the current epoch of its orders, since only
// a later holder can have sent a higher one.
func (p *Planner) stepDown() {
	p.emit(StepDown{Reason: "a worker has seen a higher epoch"})
}

// cancelRun stops a run that is no longer needed. A claim that is not sent yet is withdrawn later.
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

// evict stops an active run so that its task can run elsewhere, unless too many other tasks of its step are
// unavailable. It reports whether the run is being stopped.
func (p *Planner) evict(r *run) bool {
	if r.phase == runActive && !r.unwanted && r.task.mayBecomeUnavailable(r) {
		r.unwanted = true
		p.stop(r)
	}
	return r.unwanted
}

// mayBecomeUnavailable reports whether a run of the task may be stopped by the MaxUnavailable of its step. That is
// always so if the task is unavailable already, or will be as its worker drains.
func (t *task) mayBecomeUnavailable(r *run) bool {
	step := t.group.step
	if !step.LongRunning || step.MaxUnavailable == 0 || !r.inService() || r.worker.entry.Draining {
		return true
	}
	unavailable := 0
	for i := range t.group.tasks {
		if other := &t.group.tasks[i]; other != t && !slices.ContainsFunc(other.runs, (*run).inService) {
			unavailable++
		}
	}
	return unavailable < step.MaxUnavailable
}

// inService reports whether a run of a long-running task has finished starting and goes on.
func (r *run) inService() bool {
	return r.phase == runActive && !r.unwanted && r.percent >= fullProgress
}

// workerReplaced handles an answer by another worker at this worker's address: this one has exited,
// and its runs with it.
func (p *Planner) workerReplaced(w *worker) {
	p.log.WorkerChanged(w.id, "replaced")
	p.suspendLease(w)
	w.synced = false
	p.suspects[w] = struct{}{}
	p.markRunsLost(w)
}

// hasSentRuns reports whether the worker has a run for which a start was sent.
func (w *worker) hasSentRuns() bool {
	for _, r := range w.runs {
		if r.phase != runClaimed {
			return true
		}
	}
	return false
}

// markRunsLost gives up all runs of a worker on which they have certainly ended.
func (p *Planner) markRunsLost(w *worker) {
	for _, r := range w.runs {
		if r.phase == runClaimed {
			continue
		}
		p.markLost(r)
	}
}

// markLost gives up a run that has certainly ended with an unknown outcome. If this holder claimed it and
// never learned that it began, its task goes on waiting from before.
func (p *Planner) markLost(r *run) {
	silence := p.silenceOf(r.worker)
	p.log.RunLost(r.id, r.worker.id, silence, p.renewalOf(r.worker))
	r.task.addLostAttempt(r.id.Attempt)
	if r.begun || r.inherited {
		r.task.silence, r.task.lostAt = silence, p.now
	}
	if !r.begun && !r.readyAt.IsZero() {
		p.dropUnstarted(r)
		return
	}
	p.removeRun(r)
	p.requeue(r.task)
}

// addLostAttempt records an attempt that was given up with an unknown outcome.
func (t *task) addLostAttempt(a identifier.Attempt) {
	if t.lostAttempts == nil {
		t.lostAttempts = map[identifier.Attempt]struct{}{}
	}
	t.lostAttempts[a] = struct{}{}
}

// awaitsFirstList reports whether a worker that has not answered in this term yet may still do so.
// Its runs are not given up until then, since it may list them as ended and their tasks as done.
func (p *Planner) awaitsFirstList(w *worker) bool {
	if !w.heardAt.IsZero() {
		return false
	}
	return p.directory.WorkersReadAt.IsZero() || w.listed && w.missedPolls < maxRenewMisses
}

// expireSilentWorkers gives up the runs of workers whose leases have certainly expired.
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
