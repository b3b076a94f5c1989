package planner

import "time"

const (
	// stallTimeout is how long a run may show no progress; polls come at least every second.
	stallTimeout = 1600 * time.Millisecond
	// stragglerFactor is how many times the mean duration of its group a run's estimated remaining
	// time may be before its task is tried elsewhere.
	stragglerFactor = 3
	// minDurationSamples is how many runs of a group have to succeed before their mean duration is
	// used.
	minDurationSamples = 2
	// startupTimeout is how long a long-running task may take to be in service.
	startupTimeout = 3 * time.Second
	// fullProgress is the progress, in percent, of a task that is done or, if it is long-running,
	// in service.
	fullProgress = 100
)

// recordDuration adds the duration of a successful run.
func (g *taskGroup) recordDuration(d time.Duration) {
	g.durationSum += d
	g.durationCount++
}

// meanDuration returns the mean duration of a group's runs; ok is false while too few have
// succeeded.
func (g *taskGroup) meanDuration() (d time.Duration, ok bool) {
	if g.durationCount < minDurationSamples {
		return 0, false
	}
	return g.durationSum / time.Duration(g.durationCount), true
}

// isStraggler reports whether a run makes no progress or is far slower than others of its group.
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
	mean, ok := r.task.group.meanDuration()
	if !ok || r.percent <= 0 {
		return false
	}
	ran := p.now.Sub(r.confirmedAt)
	left := ran * time.Duration(fullProgress-r.percent) / time.Duration(r.percent)
	return left > stragglerFactor*mean && ran > mean
}

// handleStragglers runs the tasks of a worker's stragglers again elsewhere: beside the straggler
// where the step allows copies, otherwise in its place.
func (p *Planner) handleStragglers(w *worker) {
	for _, r := range w.runs {
		if !p.isStraggler(r) {
			continue
		}
		t := r.task
		switch {
		case t.group.step.Gang:
			// Evicting one member would end the runs of all others.
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

// startSpeculativeCopy starts a second run of a straggler's task on another worker.
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
