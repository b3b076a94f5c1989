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
	// renewMisses is after how many looks without an answer the lease is not
	// prolonged any more, so that it runs out.
	renewMisses = 2
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
)

// hold looks at the workers whose turn it is.
func (p *Planner) hold() {
	for w := range p.unpolled {
		if !w.listed || p.now.Before(w.nextHold) {
			continue
		}
		if w.current && p.now.Sub(w.heardAt) < p.lookPause(w) {
			continue
		}
		p.sendHold(w)
	}
}

// lookPause returns the least time from an answer to the next look.
func (p *Planner) lookPause(w *worker) time.Duration {
	switch {
	case p.leases.RenewalPending(w.id):
		return awaitPause
	case w.unsaved:
		return unsavedPause
	case w.unreadEnd > 0:
		return unreadPause
	default:
		return 0
	}
}

func (p *Planner) sendHold(w *worker) {
	order := connector.HoldOrder{Epoch: p.epochOf(w)}
	sameLife := w.current && w.misses == 0 && p.now.Sub(w.heardAt) < lifeCertain
	if sameLife {
		order.Forget = w.forgettable()
	}
	order.LeaseUntil = p.renewal(w)
	if sameLife && !w.unsaved && !w.inDoubt() && !p.leases.RenewalPending(w.id) {
		order.Wait = w.holdWait()
	}
	p.setHolding(w, true)
	p.emit(HoldWorker{To: w.target(), Order: order})
}

// renewal returns up to when a look renews a worker's lease; nil if it does not. A
// worker that has not answered for some looks, or whose lease may not be renewed yet, gets
// what was asked for before: that may not have reached it, and its runs are waited for until
// then anyway.
func (p *Planner) renewal(w *worker) *connector.WorkerClock {
	switch {
	case w.clockAt.IsZero() || !w.current:
		return nil
	case w.misses < renewMisses && p.mayRenew(w):
		until := p.leaseUntil(w)
		return &until
	case w.misses < renewMisses && p.now.Before(p.leases.RenewableUntil(w.id, p.now)):
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

// setHolding notes whether a look at a worker is under way.
func (p *Planner) setHolding(w *worker, holding bool) {
	w.holding = holding
	if holding {
		delete(p.unpolled, w)
		return
	}
	p.unpolled[w] = struct{}{}
}

// holdWait returns how long the worker may wait for an end before it answers.
func (w *worker) holdWait() time.Duration {
	if w.serving > 0 && len(w.scavengersBy) > 0 {
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

func (p *Planner) holdAnswered(e HoldAnswered) {
	w, ok := p.workers[e.Worker]
	if !ok {
		return
	}
	p.setHolding(w, false)
	w.nextHold = p.now
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
	case connector.VerdictOtherLife:
		p.workerReplaced(w)
		w.nextHold = p.now.Add(maxMissPause)
	default:
		p.holdUnanswered(w, nil)
	}
}

func (p *Planner) holdUnanswered(w *worker, err error) {
	w.misses++
	p.suspects[w] = struct{}{}
	if w.misses >= renewMisses {
		p.suspendLease(w)
	}
	w.nextHold = p.now.Add(min(time.Duration(w.misses)*missPause, maxMissPause))
	if w.misses == 1 {
		p.log.WorkerSilent(w.id, p.now.Sub(latest(w.heardAt, p.termStart)), err)
	}
}

// looked compares what a worker says it runs with what is believed.
func (p *Planner) looked(w *worker, e HoldAnswered) {
	if w.misses > 0 {
		p.log.WorkerChanged(w.id, "answers again")
	}
	p.counts.looks++
	p.counts.listedRuns += len(e.Answer.Active)
	w.heard(p.now, e.Answer.Clock)
	if e.Order.LeaseUntil != nil {
		w.renewedBy(e.Answer.OrderAnswer, p.now)
	}
	w.current = true
	if w.born != e.Answer.Born {
		if w.born != 0 {
			p.log.WorkerChanged(w.id, "restarted")
			// Orders to the life before may still be carried out late; the next look fences
			// them off.
			w.sequence++
		}
		w.born, w.seen, w.forget, w.unreadEnd, w.leaseAsked = e.Answer.Born, 0, 0, 0, 0
	}
	for _, ended := range e.Answer.Ended {
		p.handleEnd(w, ended)
	}
	if len(e.Answer.Active) > 0 && !p.now.Before(w.leaseEnd) {
		p.noteUnknownLease(w)
	}
	for _, a := range e.Answer.Active {
		if !a.Run.IsUnread() {
			p.active(w, a)
		}
	}
	w.unreadEnd = firstUnreadEnd(e)
	if len(e.Answer.Ended) < maxListedEnds && !e.Answer.HasUnread() {
		p.findMissing(w, e)
	}
	if len(w.runs) > 0 {
		p.leases.Resume(w.id)
	}
	p.observeTails(w)
	p.noteStalls(w)
	p.relieveStragglers(w)
	p.noteSuffering(w)
	p.emptyDraining(w)
}

// forgettable returns up to which end the worker may forget its ends: all that are stored,
// but none that could not be read.
func (w *worker) forgettable() identifier.EndNumber {
	if w.unreadEnd > 0 {
		return min(w.forget, w.unreadEnd-1)
	}
	return w.forget
}

// firstUnreadEnd returns the least number that the first end of an answer which could not be
// read may have, or zero. A full list counts as read: the ends that follow would never be listed otherwise.
func firstUnreadEnd(e HoldAnswered) identifier.EndNumber {
	if len(e.Answer.Ended) >= maxListedEnds {
		return 0
	}
	before := e.Order.Forget
	for _, end := range e.Answer.Ended {
		if end.Run.IsUnread() {
			return before + 1
		}
		before = end.Number
	}
	return 0
}

// active handles a run that the worker says it runs.
func (p *Planner) active(w *worker, a connector.ActiveRun) {
	r := w.runs[a.Run]
	if r == nil {
		p.stray(w, a)
		return
	}
	r.listedIn = p.counts.looks
	p.noteLife(w, r)
	if r.phase == runStarting || r.phase == runUnsure {
		p.markActive(r)
	}
	if a.Percent != r.percent {
		r.percent, r.progress = a.Percent, p.now
	}
	if a.Checkpoint != "" {
		r.task.checkpoint = a.Checkpoint
	}
	r.tail, r.used = a.Tail, a.Used
	if r.unwanted && p.needsStop(r) {
		p.stop(r)
	}
}

// noteLife notes in which life of its worker a run is listed. A start to an earlier life asks
// for a lease by that life's clock, so that a later one may grant the longest there is.
func (p *Planner) noteLife(w *worker, r *run) {
	if r.born != 0 && r.born != w.born {
		p.noteUnknownLease(w)
	}
	r.born = w.born
}

// stray handles a run that nobody here has claimed: it is adopted to take its
// room until its end, and stopped.
func (p *Planner) stray(w *worker, a connector.ActiveRun) {
	p.log.StrayRun(a.Run, w.id)
	p.noteUnknownLease(w)
	p.emit(StopRun{To: w.target(), Run: a.Run, Epoch: p.epochOf(w)})
	t := p.taskOf(a.Run.Task)
	if t == nil {
		return
	}
	r := &run{
		id: a.Run, task: t, size: t.group.step.Size, phase: runStopping, answered: p.now, started: p.now,
		unwanted: true, stopSent: true, pace: fullPace, progress: p.now, listedIn: p.counts.looks, born: w.born,
	}
	p.reserve(w, r)
	t.runs = append(t.runs, r)
	t.group.job.runCount++
	if t.phase == taskReady {
		p.setPhase(t, taskPlaced)
	}
}

func (p *Planner) taskOf(name identifier.JobTask) *task {
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
func (p *Planner) findMissing(w *worker, e HoldAnswered) {
	for _, r := range w.runs {
		if r.listedIn == p.counts.looks {
			continue
		}
		switch r.phase {
		case runActive, runStopping:
			if r.answered.Before(e.SentAt) {
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
