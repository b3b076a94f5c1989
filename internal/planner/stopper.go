package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

// stopQueue holds the stops beyond the window of orders. It answers waves of cancellations
// and evictions, which would make each other and all other orders late. They are sent
// before starts, the oldest first: runs of cancelled jobs have to be gone by a time. Starts
// and stops share a window, since the same processor and links carry them: a window of
// stops alone, which are few, would say little of what is carried.
type stopQueue struct {
	// sent tells when each stop that is under way was sent.
	sent   map[workerRun]time.Time
	queued []*run
}

// stop sends a stop, or holds it until it may be sent; the run's room stays taken until its
// end is listed.
func (p *Planner) stop(r *run) {
	if r.phase == runActive {
		r.phase = runStopping
	}
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

// stopRetryDelay is after how long a run that is still listed is stopped again: what was stopped
// has gone by then, so that its start was carried out after the stop.
const stopRetryDelay = time.Second

// needsStop reports whether a run that is not wanted, and listed, has to be told to stop.
func (p *Planner) needsStop(r *run) bool {
	return !r.stopSent || !r.stoppedAt.IsZero() && p.now.Sub(r.stoppedAt) >= stopRetryDelay
}

// stopLimitReached reports whether stops take all of the window, so that more have to wait.
func (p *Planner) stopLimitReached() bool { return len(p.stops.sent) >= p.orderWindow.Limit() }

func (p *Planner) sendStop(r *run) {
	at := workerRun{r.worker.id, r.id}
	if _, again := p.stops.sent[at]; !again {
		p.orderWindow.Acquire()
	}
	p.stops.sent[at] = p.now
	r.stopSent, r.stoppedAt = true, time.Time{}
	p.emit(StopRun{To: r.worker.target(), Run: r.id, Epoch: p.epochOf(r.worker)})
}

// sendQueuedStops sends the held stops for which there is room.
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

// finishStop counts a stop out and learns from how long its answer took.
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
