package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// stallTimeout is how long a run may show no progress; polls come at least every second.
	stallTimeout = 1600 * time.Millisecond
	// stragglerFactor is how many times the mean duration of its group a run's estimated remaining
	// time may be before its task is tried elsewhere.
	stragglerFactor = 3
	// minDurationSamples is how many runs of a group have to succeed before their mean duration is
	// used.
	minDurationSamples = 2
	// maxSlowEvictions is how often a task is evicted because it is slower than others. If it is slow
	// on another worker too, it takes longer than they do.
	maxSlowEvictions = 2
	// stallPercent is how many percent of its estimated duration a run may take without progress,
	// if that is longer than stallTimeout.
	stallPercent = 2
	// maxTimeoutShift bounds the doublings of a timeout.
	maxTimeoutShift = 16
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

// isStalled reports whether a run makes no progress, or does not get into service if it is
// long-running. How long that is allowed doubles with each eviction of its task.
func (p *Planner) isStalled(r *run) bool {
	if r.percent >= fullProgress {
		return false
	}
	step := r.task.group.step
	timeout := startupTimeout
	if !step.LongRunning {
		// The progress of a task that takes minutes changes rarely.
		timeout = max(stallTimeout, stallPercent*step.Estimate.Std()/fullProgress)
	}
	return p.now.Sub(r.progressAt) > timeout<<min(r.task.evictions, maxTimeoutShift)
}

// isSlow reports whether a run is far slower than others of its group.
func (p *Planner) isSlow(r *run) bool {
	mean, ok := r.task.group.meanDuration()
	if !ok || r.percent <= 0 || r.task.group.step.LongRunning {
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
		if r.phase != runActive || r.unwanted || r.pace < fullPace {
			continue
		}
		t := r.task
		if t.group.step.LongRunning && r.percent >= fullProgress && t.evictions > 0 {
			t.evictions = 0
			p.markDirty(t.group.job)
		}
		stalled := p.isStalled(r)
		if !stalled && !p.isSlow(r) {
			continue
		}
		switch {
		case t.group.step.Gang:
			// Evicting one member would end the runs of all others.
		case t.group.step.Copies:
			p.startSpeculativeCopy(r)
		case stalled || t.evictions < maxSlowEvictions && p.hasAlternative(r):
			p.evictStraggler(r)
		}
	}
}

// hasAlternative reports whether the task of a run could run on another worker now.
func (p *Planner) hasAlternative(r *run) bool {
	t := r.task
	d := p.demandOf(t, p.patience(t.group))
	return slices.ContainsFunc(p.workerList, func(w *worker) bool {
		return w != r.worker && p.placementObstacle(t, w, d) == obstacleNone
	})
}

// evictStraggler stops a run without progress or far slower than others, so that its task can run
// elsewhere. The worker is blamed once for the tasks of a step, since these may just be long.
func (p *Planner) evictStraggler(r *run) {
	t, w := r.task, r.worker
	p.log.RunStraggles(r.id, w.id, r.percent, p.now.Sub(r.confirmedAt))
	if _, blamed := t.group.blamed[w.id]; !blamed {
		if t.group.blamed == nil {
			t.group.blamed = map[identifier.Worker]struct{}{}
		}
		t.group.blamed[w.id] = struct{}{}
		p.blame(w, t)
	}
	t.failedOn = w.id
	r.evicted = true
	p.evict(r)
}

// startSpeculativeCopy starts a second run of a straggler's task on another worker.
func (p *Planner) startSpeculativeCopy(r *run) {
	t := r.task
	if len(t.runs) > 1 || !p.directoryFresh() || p.claimLimitReached() || !p.quotaAdmits(t.group.job, t.group.step.Size, 1) {
		return
	}
	t.failedOn = r.worker.id
	w := p.bestWorker(t, p.demandOf(t, p.patience(t.group)))
	if w == nil || w == r.worker || !t.group.job.hasRecordRoom(w.id, 1) {
		return
	}
	p.log.RunStraggles(r.id, r.worker.id, r.percent, p.now.Sub(r.confirmedAt))
	p.blame(r.worker, t)
	p.claim(t, w, t.attempt+1)
}
