package planner

import "time"

const (
	// stallTimeout is how long a run may show no progress; looks come at least every
	// second.
	stallTimeout = 1600 * time.Millisecond
	// stragglerFactor is how many times longer than its like a run may be expected to
	// take before it is tried elsewhere.
	stragglerFactor = 3
	// minDurationSamples is how many runs of a group tell how long its tasks take.
	minDurationSamples = 2
	// startupTimeout is how long a task that lasts may take until it is at work.
	startupTimeout = 3 * time.Second
	// fullProgress is the progress, in percent, of a task that lasts and is at work.
	fullProgress = 100
)

// recordDuration remembers how long a run of a group took.
func (g *taskGroup) recordDuration(d time.Duration) {
	g.durationSum += d
	g.durationCount++
}

// meanDuration returns how long tasks of a group usually take; ok is false while too
// few have ended.
func (g *taskGroup) meanDuration() (d time.Duration, ok bool) {
	if g.durationCount < minDurationSamples {
		return 0, false
	}
	return g.durationSum / time.Duration(g.durationCount), true
}

// isStraggler reports whether a run stands still or is far slower than its like.
func (p *Planner) isStraggler(r *run) bool {
	if r.phase != runActive || r.unwanted || r.pace < fullPace {
		return false
	}
	step := r.task.group.step
	if step.LongRunning {
		return r.percent < fullProgress && p.now.Sub(r.progressAt) > startupTimeout
	}
	if p.now.Sub(r.progressAt) > stallTimeout && r.percent < fullProgress {
		return true
	}
	like, ok := r.task.group.meanDuration()
	if !ok || r.percent <= 0 {
		return false
	}
	ran := p.now.Sub(r.confirmedAt)
	left := ran * time.Duration(fullProgress-r.percent) / time.Duration(r.percent)
	return left > stragglerFactor*like && ran > like
}

// handleStragglers gives tasks whose runs straggle on a worker another try
// elsewhere: beside the run where copies are allowed, otherwise in its place.
func (p *Planner) handleStragglers(w *worker) {
	for _, r := range w.runs {
		if !p.isStraggler(r) {
			continue
		}
		t := r.task
		switch {
		case t.group.step.Gang:
			// A member that ends breaks the whole gang.
		case t.group.step.Copies:
			p.startSpeculativeCopy(r)
		default:
			p.log.RunStraggles(r.id, w.id, r.percent, p.now.Sub(r.confirmedAt))
			p.recordFailure(w)
			t.failedOn = w.id
			p.evict(r)
		}
	}
}

// startSpeculativeCopy starts a second run of a task on another worker.
func (p *Planner) startSpeculativeCopy(r *run) {
	t := r.task
	if len(t.runs) > 1 || !p.directoryFresh() || p.claimLimitReached() {
		return
	}
	t.failedOn = r.worker.id
	w := p.bestWorker(t, p.demandOf(t, p.patience(t.group)))
	if w == nil || w == r.worker {
		return
	}
	p.log.RunStraggles(r.id, r.worker.id, r.percent, p.now.Sub(r.confirmedAt))
	p.recordFailure(r.worker)
	p.claim(t, w, t.attempt+1)
}
