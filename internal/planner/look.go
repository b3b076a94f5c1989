package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// longPollWait is how long a worker may hold back its answer to a poll until a run ends. Each
	// poll renews the lease, so that this also bounds the time between renewals.
	longPollWait = time.Second
	// mixedPollWait replaces longPollWait for a worker that runs scavengers beside serving tasks,
	// so that a tail latency above its target is noticed soon.
	mixedPollWait = 400 * time.Millisecond
	// missedPollPause is the pause after an unanswered poll; it is multiplied by the number of
	// unanswered polls in a row.
	missedPollPause = 150 * time.Millisecond
	// maxMissedPollPause bounds that product.
	maxMissedPollPause = 900 * time.Millisecond
	// unsavedPause is the pause between polls while ends that the worker listed are not stored. The
	// lease has to be renewed meanwhile, and the worker lists the same ends again.
	unsavedPause = 500 * time.Millisecond
	// leasePendingPause is the pause between polls while the permission to renew the lease of the
	// worker is being stored. The next poll is sent as soon as it is stored.
	leasePendingPause = 200 * time.Millisecond
	// unreadablePause is the pause between polls of a worker that lists an end which cannot be
	// decoded, since it answers at once. It is below sameIncarnationTime, so that the ends before
	// that one are still acknowledged.
	unreadablePause = 250 * time.Millisecond
	// sameIncarnationTime is for how long after an answer to a poll the worker cannot have been replaced by a
	// new incarnation. Ended runs are numbered from one again after a restart, so that an
	// acknowledgement must not reach the next incarnation.
	sameIncarnationTime = 300 * time.Millisecond
	// maxRenewMisses is the number of unanswered polls in a row after which the lease is no longer
	// extended, so that it runs out.
	maxRenewMisses = 2
	// maxListedEnds is how many ended runs a worker lists in one answer.
	maxListedEnds = 500
)

// pollWorkers polls the workers that are due.
func (p *Planner) pollWorkers() {
	for w := range p.unpolled {
		if !w.listed || p.now.Before(w.nextPoll) {
			continue
		}
		if w.synced && p.now.Sub(w.heardAt) < p.pollPause(w) {
			continue
		}
		p.sendPoll(w)
	}
}

// pollPause returns the least time between an answer of a worker and the next poll.
func (p *Planner) pollPause(w *worker) time.Duration {
	switch {
	case p.leases.RenewalPending(w.id):
		return leasePendingPause
	case w.unsavedEnds:
		return unsavedPause
	case w.unreadableEnd > 0:
		return unreadablePause
	default:
		return 0
	}
}

// sendPoll polls a worker: the order renews its lease, acknowledges stored ends and asks for its
// runs. It acknowledges ends only if the same incarnation certainly receives it, and asks for a
// delayed answer only if nothing needs an answer at once.
func (p *Planner) sendPoll(w *worker) {
	order := connector.HoldOrder{Epoch: p.epochOf(w)}
	sameIncarnation := w.synced && w.missedPolls == 0 && p.now.Sub(w.polledAt) < sameIncarnationTime
	if sameIncarnation {
		order.Forget = w.ackableEnd()
	}
	order.LeaseUntil = p.leaseRenewal(w)
	if sameIncarnation && !w.unsavedEnds && !w.hasUnsureRun() && !p.leases.RenewalPending(w.id) {
		order.Wait = w.pollWait()
	}
	p.setPolling(w, true)
	p.emit(PollWorker{To: w.target(), Order: order})
}

// leaseRenewal returns up to when a poll extends the lease of a worker, by the worker's clock; nil
// if it does not. While the permission to renew the lease is not stored yet, the lease is extended
// only up to the end that later holders wait for anyway. If that is not possible either, the end
// requested before is sent again: the worker may not have received it, and its runs are waited for
// until then. After a missed poll the worker may have restarted, and would take a time of its former
// clock for the longest lease. Its next answer tells; until then the lease is only reserved.
func (p *Planner) leaseRenewal(w *worker) *connector.WorkerClock {
	switch {
	case w.clockAt.IsZero() || !w.synced:
		return nil
	case w.missedPolls > 0:
		if w.missedPolls < maxRenewMisses && p.mayRenew(w) {
			p.reserveLease(w)
		}
		return nil
	case p.mayRenew(w):
		until := p.leaseUntil(w)
		return &until
	case p.now.Before(p.leases.RenewableUntil(w.id)):
		return p.leaseRenewalWithin(w, p.leases.RenewableUntil(w.id))
	case w.requestedLease > w.clock+connector.WorkerClock(p.now.Sub(w.clockAt)):
		until := w.requestedLease
		return &until
	default:
		return nil
	}
}

// leaseRenewalWithin returns the worker's time up to which an order sent now extends a lease that
// has to be over by end; nil if it would not extend it.
func (p *Planner) leaseRenewalWithin(w *worker, end time.Time) *connector.WorkerClock {
	elapsed := p.now.Sub(w.clockAt)
	span := leastAdvance(min(elapsed+bySlowClock(p.settings.Lease), end.Sub(w.clockAt)))
	if span <= elapsed {
		return nil
	}
	until := w.clock + connector.WorkerClock(span)
	w.renewalSentAt, w.requestedLease = p.now, max(w.requestedLease, until)
	return &until
}

// mayRenew reports whether the lease of a worker may be renewed for its full duration: either
// the worker has no runs, or it is stored that later holders have to wait for the lease.
func (p *Planner) mayRenew(w *worker) bool { return len(w.runs) == 0 || p.leases.RenewalAllowed(w.id) }

// setPolling records whether a poll of a worker is in flight.
func (p *Planner) setPolling(w *worker, polling bool) {
	w.polling = polling
	if polling {
		delete(p.unpolled, w)
		return
	}
	p.unpolled[w] = struct{}{}
}

// pollWait returns how long a worker may hold back its answer to a poll.
func (w *worker) pollWait() time.Duration {
	if w.serving > 0 && len(w.scavengersByImage) > 0 {
		return mixedPollWait
	}
	return longPollWait
}

// hasUnsureRun reports whether the worker has a run in runUnsure, which only an immediate answer
// resolves.
func (w *worker) hasUnsureRun() bool {
	for _, r := range w.runs {
		if r.phase == runUnsure {
			return true
		}
	}
	return false
}

// pollAnswered handles the answer to a poll, or its failure.
func (p *Planner) pollAnswered(e PollAnswered) {
	w, ok := p.workers[e.Worker]
	if !ok {
		return
	}
	if w.base > 0 && e.Order.Epoch>>sequenceBits != w.base+p.epoch {
		// The poll is of an earlier time at which this cell held the worker.
		return
	}
	p.setPolling(w, false)
	w.nextPoll = p.now
	if e.Err != nil {
		p.pollFailed(w, e.Err)
		return
	}
	switch e.Answer.Verdict {
	case connector.VerdictOK:
		p.reconcile(w, e)
	case connector.VerdictFenced:
		// The refusal of an epoch that this holder has raised since says nothing of other holders.
		if e.Order.Epoch == p.epochOf(w) {
			p.stepDown()
		}
	case connector.VerdictOtherIncarnation:
		p.workerReplaced(w)
		w.nextPoll = p.now.Add(maxMissedPollPause)
	default:
		p.pollFailed(w, nil)
	}
}

// pollFailed counts an unanswered poll. From maxRenewMisses on the lease is left to run out.
func (p *Planner) pollFailed(w *worker, err error) {
	w.missedPolls++
	p.suspects[w] = struct{}{}
	if w.missedPolls >= maxRenewMisses {
		p.suspendLease(w)
	}
	w.nextPoll = p.now.Add(min(time.Duration(w.missedPolls)*missedPollPause, maxMissedPollPause))
	if w.missedPolls == 1 {
		p.log.WorkerSilent(w.id, p.now.Sub(later(w.heardAt, p.termStart)), err)
	}
}

// reconcile updates the planner's view of a worker with what the worker reported.
func (p *Planner) reconcile(w *worker, e PollAnswered) {
	if w.missedPolls > 0 {
		p.log.WorkerChanged(w.id, "answers again")
	}
	p.counts.polls++
	p.counts.listedRuns += len(e.Answer.Active)
	w.recordAnswer(p.now, e.Answer.Clock)
	w.polledAt = p.now
	if e.Order.LeaseUntil != nil {
		w.recordRenewal(e.Answer.OrderAnswer, p.now)
		p.recordGrant(w, *e.Order.LeaseUntil, e.Answer.Clock)
	}
	w.synced = true
	if w.incarnation != e.Answer.StartedAt {
		if w.incarnation != 0 {
			p.log.WorkerChanged(w.id, "restarted")
			// Orders sent to the previous incarnation may still be carried out late. The next poll
			// fences them off with a higher epoch.
			w.sequence++
		}
		w.incarnation, w.lastEnd, w.storedEnd, w.unreadableEnd, w.requestedLease = e.Answer.StartedAt, 0, 0, 0, 0
	}
	for _, ended := range e.Answer.Ended {
		p.handleEnd(w, ended)
	}
	if len(e.Answer.Active) > 0 && !p.now.Before(w.leaseEnd) {
		p.assumeLongestLease(w)
	}
	for _, a := range e.Answer.Active {
		if !a.Run.IsUnknown() {
			p.runListed(w, a)
		}
	}
	w.unreadableEnd = firstUnreadableEnd(e)
	w.listsRuns = len(e.Answer.Active) > 0 || e.Answer.HasUnknownRuns() || len(e.Answer.Ended) >= maxListedEnds
	if len(e.Answer.Ended) < maxListedEnds && !e.Answer.HasUnknownRuns() {
		p.loseMissingRuns(w, e)
	}
	if len(w.runs) > 0 {
		p.leases.Resume(w.id)
	}
	p.observeTails(w)
	p.updateStalls(w)
	p.handleStragglers(w)
	p.updateTailHigh(w)
	p.evictFromDraining(w)
}

// ackableEnd returns the highest end number that the worker may forget: all up to it are stored,
// and none of them failed to decode.
func (w *worker) ackableEnd() identifier.EndNumber {
	if w.unreadableEnd > 0 {
		return min(w.storedEnd, w.unreadableEnd-1)
	}
	return w.storedEnd
}

// firstUnreadableEnd returns the lowest number that the first undecodable end of an answer may
// have, or zero. It returns zero for a full list, since otherwise the worker would never get to
// list the ends that follow.
func firstUnreadableEnd(e PollAnswered) identifier.EndNumber {
	if len(e.Answer.Ended) >= maxListedEnds {
		return 0
	}
	lastRead := e.Order.Forget
	for _, end := range e.Answer.Ended {
		if end.Run.IsUnknown() {
			return lastRead + 1
		}
		lastRead = end.Number
	}
	return 0
}

// runListed handles a run that the worker lists as active.
func (p *Planner) runListed(w *worker, a connector.ActiveRun) {
	r := w.runs[a.Run]
	if r == nil {
		p.adoptUnclaimed(w, a)
		return
	}
	r.listedIn = p.counts.polls
	p.recordIncarnation(w, r)
	if r.phase == runStarting || r.phase == runUnsure {
		p.markActive(r)
	}
	p.noteBegun(r)
	if a.Percent != r.percent {
		r.percent, r.progressAt = a.Percent, p.now
	}
	if a.Checkpoint != "" {
		r.task.checkpoint = a.Checkpoint
	}
	r.tail, r.used = a.TailLatency, a.CPUUsed
	if r.unwanted && p.needsStop(r) {
		p.stop(r)
	}
}

// recordIncarnation records which incarnation of its worker listed a run. The start asked for a
// lease by the clock of the earlier incarnation, so that the later one may have granted up to the
// longest lease.
func (p *Planner) recordIncarnation(w *worker, r *run) {
	if r.incarnation != 0 && r.incarnation != w.incarnation {
		p.assumeLongestLease(w)
	}
	r.incarnation = w.incarnation
}

// adoptUnclaimed handles a listed run that this holder has no claim for. It is stopped, and takes
// up capacity until its end is listed.
func (p *Planner) adoptUnclaimed(w *worker, a connector.ActiveRun) {
	p.log.UnclaimedRun(a.Run, w.id)
	p.assumeLongestLease(w)
	p.emit(StopRun{To: w.target(), Run: a.Run, Epoch: p.epochOf(w)})
	t := p.lookupTask(a.Run.Task)
	if t == nil {
		return
	}
	p.noteTaskBegun(t)
	r := &run{
		id: a.Run, task: t, size: t.group.step.Size, phase: runStopping, begun: true, confirmedAt: p.now, startedAt: p.now,
		unwanted: true, stopSent: true, pace: fullPace, progressAt: p.now, listedIn: p.counts.polls, incarnation: w.incarnation,
	}
	p.reserve(w, r)
	p.addRun(r)
	if t.phase == taskReady {
		p.setPhase(t, taskPlaced)
	}
}

// lookupTask returns the task with a name, or nil. Names come from workers and stored records, and
// may be out of range.
func (p *Planner) lookupTask(name identifier.JobTask) *task {
	j, ok := p.jobs[name.Job]
	if !ok {
		return nil
	}
	groups := j.occurrences[name.Occurrence]
	if min(name.Step, name.Index) < 0 || name.Step >= len(groups) || name.Index >= len(groups[name.Step].tasks) {
		return nil
	}
	return &groups[name.Step].tasks[name.Index]
}

// loseMissingRuns gives up the runs that a worker should have listed but did not. It must only be
// called if all rows of the answer were decoded.
func (p *Planner) loseMissingRuns(w *worker, e PollAnswered) {
	for _, r := range w.runs {
		if r.listedIn == p.counts.polls {
			continue
		}
		switch r.phase {
		case runActive, runStopping:
			if r.confirmedAt.Before(e.SentAt) {
				p.markLost(r)
			}
		case runUnsure:
			if e.Order.Epoch > r.epoch {
				p.markLost(r)
			}
		case runClaimed, runStarting:
		}
	}
}
