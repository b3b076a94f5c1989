package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
)

const (
	// usualNotice is the time left to a draining worker that does not tell.
	usualNotice = 1500 * time.Millisecond
	// moveTime is what a stop on a draining worker needs.
	moveTime = 300 * time.Millisecond
)

// notice returns how much longer a draining worker stays when its entry was written.
func notice(e connector.WorkerEntry) time.Duration {
	if e.MinRemaining != nil {
		return *e.MinRemaining
	}
	return usualNotice
}

// emptyDraining moves runs away from a draining worker that would not end before
// it leaves. Tasks that last move at once.
func (p *Planner) emptyDraining(w *worker) {
	if !w.entry.Draining {
		return
	}
	leaves := w.leavesAt.Add(-moveTime)
	for _, r := range w.runs {
		if r.phase != runActive || r.unwanted || r.task.group.step.Gang {
			continue
		}
		if r.task.group.step.LongRunning || p.now.Add(p.timeLeft(r)).After(leaves) {
			p.log.RunMoved(r.id, w.id, "worker drains")
			p.evict(r)
		}
	}
}

// timeLeft estimates how long a run still takes, by its progress or else by the
// caller's estimate.
func (p *Planner) timeLeft(r *run) time.Duration {
	ran := p.now.Sub(r.confirmedAt)
	if r.percent > 0 {
		return ran * time.Duration(fullProgress-r.percent) / time.Duration(r.percent)
	}
	return max(r.task.group.step.Estimate.Std()-ran, 0)
}
