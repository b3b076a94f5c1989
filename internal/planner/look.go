package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// holdWait is how long a worker may wait for an end before it answers; the
	// lease is renewed at least this often.
	holdWait = time.Second
	// mixedWait is the same for a worker on which scavengers run beside tasks that
	// serve: a tail that is too long has to be noticed soon.
	mixedWait = 400 * time.Millisecond
	// missPause is the pause after a look without an answer, by the number of
	// those in a row.
	missPause = 150 * time.Millisecond
	// maxMissPause bounds it.
	maxMissPause = 900 * time.Millisecond
	// unsavedPause is the pause between looks at a worker whose ends are not yet
	// stored; the lease has to be renewed meanwhile.
	unsavedPause = 500 * time.Millisecond
	// awaitPause is the pause between looks at a worker while it is being stored that its
	// lease may be renewed; the first look after that follows at once.
	awaitPause = 200 * time.Millisecond
	// unreadPause is the pause between looks at a worker that lists an end which cannot be
	// read, and so answers at once. It is below lifeCertain, so that the ends before it are
	// acknowledged.
	unreadPause = 250 * time.Millisecond
	// lifeCertain is for how long after an answer the worker cannot have been
	// replaced by a new life of it. The numbers of ended runs begin anew with each
	// life, so that an acknowledgement must not reach the next one.
	lifeCertain = 300 * time.Millisecond
	// maxRenewMisses is after how many looks without an answer the lease is not
	// prolonged any more, so that it runs out.
	maxRenewMisses = 2
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
)

// pollWorkers looks at the workers whose turn it is.
func (p *Planner) pollWorkers() {
	for w := range p.unpolled {
		if !w.listed || p.now.Before(w.nextPoll) {
			continue
		}
		if w.synced && p.now.Sub(w.heardAt) < p.pollPause(w) {
			continue
		}
		p.sendHold(w)
	}
}

// pollPause returns the least time from an answer to the next look.
func (p *Planner) pollPause(w *worker) time.Duration {
	switch {
	case p.leases.RenewalPending(w.id):
		return awaitPause
	case w.unsavedEnds:
		return unsavedPause
	case w.unreadableEnd > 0:
		return unreadPause
	default:
		return 0
	}
}

func (p *Planner) sendHold(w *worker) {
	order := connector.HoldOrder{Epoch: p.epochOf(w)}
	sameLife := w.synced && w.missedPolls == 0 && p.now.Sub(w.heardAt) < lifeCertain
	if sameLife {
		order.Forget = w.forgettable()
	}
	order.LeaseUntil = p.leaseRenewal(w)
	if sameLife && !w.unsavedEnds && !w.inDoubt() && !p.leases.RenewalPending(w.id) {
		order.Wait = w.holdWait()
	}
	p.setPolling(w, true)
	p.emit(PollWorker{To: w.target(), Order: order})
}

// leaseRenewal returns up to when a look renews a worker's lease; nil if it does not. A
// worker that has not answered for some looks, or whose lease may not be renewed yet, gets
// what was asked for before: that may not have reached it, and its runs are waited for until
// then anyway.
func (p *Planner) leaseRenewal(w *worker) *connector.WorkerClock {
	switch {
	case w.clockAt.IsZero() || !w.synced:
		return nil
	case w.missedPolls < maxRenewMisses && p.mayRenew(w):
		until := p.leaseUntil(w)
		return &until
	case w.missedPolls < maxRenewMisses && p.now.Before(p.leases.RenewableUntil(w.id, p.now)):
		return p.renewalWithin(w, p.leases.RenewableUntil(w.id, p.now))
	case w.leaseAsked > w.clock+connector.WorkerClock(p.now.Sub(w.clockAt)):
		until := w.leaseAsked
		return &until
	default:
		return nil
	}
}

// renewalWithin returns the worker's time up to which an order sent now extends the lease, which
// has to be over by a time; nil if it would not.
func (p *Planner) renewalWithin(w *worker, end time.Time) *connector.WorkerClock {
	passed := p.now.Sub(w.clockAt)
	span := min(passed+p.settings.Lease, time.Duration(float64(end.Sub(w.clockAt))*(1-maxClockDrift)))
	if span <= passed {
		return nil
	}
	until := w.clock + connector.WorkerClock(span)
	w.renewAsked, w.leaseAsked = p.now, max(w.leaseAsked, until)
	return &until
}

// mayRenew reports whether a worker's lease may be renewed: a later holder would reckon with
// it, or there is nothing that it has to wait for.
func (p *Planner) mayRenew(w *worker) bool { return len(w.runs) == 0 || p.leases.RenewalAllowed(w.id) }

// setPolling notes whether a look at a worker is under way.
func (p *Planner) setPolling(w *worker, holding bool) {
	w.holding = holding
	if holding {
		delete(p.unpolled, w)
		return
	}
	p.unpolled[w] = struct{}{}
}

// holdWait returns how long the worker may wait for an end before it answers.
func (w *worker) holdWait() time.Duration {
	if w.serving > 0 && len(w.scavengersByImage) > 0 {
		return mixedWait
	}
	return holdWait
}

// inDoubt reports whether a run of the worker needs a look at once.
func (w *worker) inDoubt() bool {
	for _, r := range w.runs {
		if r.phase == runUnsure {
			return true
		}
	}
	return false
}

func (p *Planner) pollAnswered(e PollAnswered) {
	w, ok := p.workers[e.Worker]
	if !ok {
		return
	}
	p.setPolling(w, false)
	w.nextPoll = p.now
	if e.Err != nil {
		p.holdUnanswered(w, e.Err)
		return
	}
	switch e.Answer.Verdict {
	case connector.VerdictOK:
		p.looked(w, e)
	case connector.VerdictFenced:
		if e.Order.Epoch == p.epochOf(w) {
			p.stepDown()
		}
	case connector.VerdictOtherIncarnation:
		p.workerReplaced(w)
		w.nextPoll = p.now.Add(maxMissPause)
	default:
		p.holdUnanswered(w, nil)
	}
}

func (p *Planner) holdUnanswered(w *worker, err error) {
	w.missedPolls++
	p.suspects[w] = struct{}{}
	if w.missedPolls >= maxRenewMisses {
		p.suspendLease(w)
	}
	w.nextPoll = p.now.Add(min(time.Duration(w.missedPolls)*missPause, maxMissPause))
	if w.missedPolls == 1 {
		p.log.WorkerSilent(w.id, p.now.Sub(later(w.heardAt, p.termStart)), err)
	}
}

// looked compares what a worker says it runs with what is believed.
func (p *Planner) looked(w *worker, e PollAnswered) {
	if w.missedPolls > 0 {
		p.log.WorkerChanged(w.id, "answers again")
	}
	p.counts.polls++
	p.counts.listedRuns += len(e.Answer.Active)
	w.recordAnswer(p.now, e.Answer.Clock)
	if e.Order.LeaseUntil != nil {
		w.recordRenewal(e.Answer.OrderAnswer, p.now)
	}
	w.synced = true
	if w.incarnation != e.Answer.StartedAt {
		if w.incarnation != 0 {
			p.log.WorkerChanged(w.id, "restarted")
			// Orders to the life before may still be carried out late; the next look fences
			// them off.
			w.sequence++
		}
		w.incarnation, w.lastEnd, w.storedEnd, w.unreadableEnd, w.leaseAsked = e.Answer.StartedAt, 0, 0, 0, 0
	}
	for _, ended := range e.Answer.Ended {
		p.handleEnd(w, ended)
	}
	if len(e.Answer.Active) > 0 && !p.now.Before(w.leaseEnd) {
		p.noteUnknownLease(w)
	}
	for _, a := range e.Answer.Active {
		if !a.Run.IsUnknown() {
			p.runListed(w, a)
		}
	}
	w.unreadableEnd = firstUnreadEnd(e)
	if len(e.Answer.Ended) < maxListedEnds && !e.Answer.HasUnknownRuns() {
		p.findMissing(w, e)
	}
	if len(w.runs) > 0 {
		p.leases.Resume(w.id)
	}
	p.observeTails(w)
	p.noteStalls(w)
	p.handleStragglers(w)
	p.noteSuffering(w)
	p.emptyDraining(w)
}

// forgettable returns up to which end the worker may forget its ends: all that are stored,
// but none that could not be read.
func (w *worker) forgettable() identifier.EndNumber {
	if w.unreadableEnd > 0 {
		return min(w.storedEnd, w.unreadableEnd-1)
	}
	return w.storedEnd
}

// firstUnreadEnd returns the least number that the first end of an answer which could not be
// read may have, or zero. A full list counts as read: the ends that follow would never be listed otherwise.
func firstUnreadEnd(e PollAnswered) identifier.EndNumber {
	if len(e.Answer.Ended) >= maxListedEnds {
		return 0
	}
	before := e.Order.Forget
	for _, end := range e.Answer.Ended {
		if end.Run.IsUnknown() {
			return before + 1
		}
		before = end.Number
	}
	return 0
}

// runListed handles a run that the worker says it runs.
func (p *Planner) runListed(w *worker, a connector.ActiveRun) {
	r := w.runs[a.Run]
	if r == nil {
		p.adoptUnclaimed(w, a)
		return
	}
	r.listedIn = p.counts.polls
	p.noteLife(w, r)
	if r.phase == runStarting || r.phase == runUnsure {
		p.markActive(r)
	}
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

// noteLife notes in which life of its worker a run is listed. A start to an earlier life asks
// for a lease by that life's clock, so that a later one may grant the longest there is.
func (p *Planner) noteLife(w *worker, r *run) {
	if r.incarnation != 0 && r.incarnation != w.incarnation {
		p.noteUnknownLease(w)
	}
	r.incarnation = w.incarnation
}

// adoptUnclaimed handles a run that nobody here has claimed: it is adopted to take its
// room until its end, and stopped.
func (p *Planner) adoptUnclaimed(w *worker, a connector.ActiveRun) {
	p.log.UnclaimedRun(a.Run, w.id)
	p.noteUnknownLease(w)
	p.emit(StopRun{To: w.target(), Run: a.Run, Epoch: p.epochOf(w)})
	t := p.lookupTask(a.Run.Task)
	if t == nil {
		return
	}
	r := &run{
		id: a.Run, task: t, size: t.group.step.Size, phase: runStopping, confirmedAt: p.now, startedAt: p.now,
		unwanted: true, stopSent: true, pace: fullPace, progressAt: p.now, listedIn: p.counts.polls, incarnation: w.incarnation,
	}
	p.reserve(w, r)
	t.runs = append(t.runs, r)
	t.group.job.runCount++
	if t.phase == taskReady {
		p.setPhase(t, taskPlaced)
	}
}

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

// findMissing gives up runs that the worker should have listed. All rows of its answer were
// read.
func (p *Planner) findMissing(w *worker, e PollAnswered) {
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
