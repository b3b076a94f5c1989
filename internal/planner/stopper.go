package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// stopQueue tracks the stops in flight and queues those beyond the window of orders, so that waves
// of cancellations and evictions do not delay each other and all other orders. Queued stops are
// sent before starts, the oldest first, since runs of cancelled jobs have to be gone within a
// bound. Starts and stops share a window because they share a processor and links: stops alone are
// too few to measure how many orders these can carry.
type stopQueue struct {
	// sent is when each stop in flight was sent.
	sent   map[workerRun]time.Time
	queued []*run
}

// stop sends a stop, or queues it if the window is full of stops. The run's room stays taken until
// its worker lists its end.
func (p *Planner) stop(r *run) {
	if r.phase == runActive {
		r.phase = runStopping
	}
	// A stop that is sent again while in flight takes no further slot.
	if _, again := p.stops.sent[workerRun{r.worker.id, r.id}]; again || !p.stopLimitReached() {
		p.sendStop(r)
		return
	}
	r.stopSent = false
	if !r.stopQueued {
		r.stopQueued = true
		p.stops.queued = append(p.stops.queued, r)
	}
}

// stopRetryDelay is how long after an answered stop a run that is still listed is stopped again. A
// run that the stop reached has ended by then, so that this one began after the stop.
const stopRetryDelay = time.Second

// needsStop reports whether to stop a run that is unwanted but still listed by its worker.
func (p *Planner) needsStop(r *run) bool {
	return !r.stopSent || !r.stoppedAt.IsZero() && p.now.Sub(r.stoppedAt) >= stopRetryDelay
}

// stopLimitReached reports whether stops fill the whole window, so that more have to wait.
func (p *Planner) stopLimitReached() bool { return len(p.stops.sent) >= p.orderWindow.Limit() }

// sendStop sends a stop. It counts as in flight once, even if it is sent again before its answer.
func (p *Planner) sendStop(r *run) {
	at := workerRun{r.worker.id, r.id}
	if _, again := p.stops.sent[at]; !again {
		p.orderWindow.Acquire()
	}
	p.stops.sent[at] = p.now
	r.stopSent, r.stoppedAt = true, time.Time{}
	p.emit(StopRun{To: r.worker.target(), Run: r.id, Epoch: p.epochOf(r.worker)})
}

// sendQueuedStops sends the queued stops for which the window has room.
func (p *Planner) sendQueuedStops() {
	n := 0
	for ; n < len(p.stops.queued) && !p.stopLimitReached(); n++ {
		r := p.stops.queued[n]
		r.stopQueued = false
		if r.worker.runs[r.id] == r && !r.stopSent {
			p.sendStop(r)
		}
	}
	p.stops.queued = p.stops.queued[n:]
}

// finishStop ends the count of a stop as in flight and feeds its response time to the window.
func (p *Planner) finishStop(e StopAnswered) {
	at := workerRun{e.Worker, e.Run}
	sent, ok := p.stops.sent[at]
	if !ok {
		return
	}
	delete(p.stops.sent, at)
	p.observeOrder(sent, e.Err == nil)
	p.orderWindow.Release()
}

// stopAnswered handles the answer to a stop, or its failure, and makes the worker due for a poll,
// which lists the end of the run.
func (p *Planner) stopAnswered(e StopAnswered) {
	p.finishStop(e)
	r := p.findRun(e.Worker, e.Run)
	if r == nil {
		return
	}
	r.stopSent = false
	w := r.worker
	if e.Err == nil {
		w.recordAnswer(p.now, e.Answer.Clock)
		if e.Answer.Verdict == connector.VerdictOK {
			r.stopSent, r.stoppedAt = true, p.now
		}
	}
	w.nextPoll = p.now
}
