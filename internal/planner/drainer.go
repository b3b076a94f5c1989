package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

const (
	// defaultNotice is the time assumed until a draining worker shuts down if its entry gives none.
	defaultNotice = 1500 * time.Millisecond
	// stopTime is how long before the shutdown of its worker a run is stopped at the latest.
	stopTime = 300 * time.Millisecond
)

// drainNotice returns how much longer a draining worker stays at least, counted from when its entry
// was written.
func drainNotice(e connector.WorkerEntry) time.Duration {
	if e.MinRemaining != nil {
		return *e.MinRemaining
	}
	return defaultNotice
}

// evictFromDraining stops the runs of a draining worker that would not end before it shuts down, so
// that their tasks continue elsewhere. Long-running tasks are moved at once. Members of a gang
// stay, since the end of one would end them all.
func (p *Planner) evictFromDraining(w *worker) {
	if !w.entry.Draining {
		return
	}
	deadline := w.leavesAt.Add(-stopTime)
	for _, r := range w.runs {
		if r.phase != runActive || r.unwanted || r.task.group.step.Gang {
			continue
		}
		if r.task.group.step.LongRunning || p.now.Add(p.remainingTime(r)).After(deadline) {
			p.log.RunMoved(r.id, w.id, "worker drains")
			p.evict(r)
		}
	}
}

// remainingTime estimates how much longer a run takes, from its progress or else from the estimate
// of the caller.
func (p *Planner) remainingTime(r *run) time.Duration {
	ran := p.now.Sub(r.confirmedAt)
	if r.percent > 0 {
		return ran * time.Duration(fullProgress-r.percent) / time.Duration(r.percent)
	}
	return max(r.task.group.step.Estimate.Std()-ran, 0)
}
