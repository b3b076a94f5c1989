package planner

import (
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// maxNearSlots bounds the forecast of a rack. A task that stands further back in line runs
	// elsewhere.
	maxNearSlots = 64
	// maxIdleNearWait is how long a job with nothing running waits for its rack beside free room. It
	// is a third of the 3 s after which a job that could run counts as neglected.
	maxIdleNearWait = time.Second
)

// rackDemand identifies tasks that wait for the same room in a rack.
type rackDemand struct {
	service identifier.Service
	rack    identifier.Rack
	size    identifier.Size
	label   identifier.Label
}

// rackForecast is when a rack is expected to have room for tasks of one size: a delay for each of
// the next tasks, in order. next is the first that no task of the present pass waits for.
type rackForecast struct {
	delays []time.Duration
	next   int
}

// release is the expected end of a run, and what it gives back.
type release struct {
	after time.Duration
	size  identifier.Size
}

// waitsForDataRack reports whether a task that may run on w now waits for a worker near its data
// instead. Waiting pays while the forecast delay, and the time waited so far, are shorter than what
// the task saves by running near its data. A job that meets its objective on w does not stake that
// on the forecast: it waits only as long as it can still fall back to such a worker.
func (p *Planner) waitsForDataRack(t *task, w *worker) bool {
	step := t.group.step
	if p.settings.RemoteFactor <= 1 || step.DataRack == "" || w.entry.Rack == step.DataRack || step.LongRunning || step.Scavenger || step.MaxPerWorker > 0 || t.group.job.queue.Advised {
		return false
	}
	saving := time.Duration((p.settings.RemoteFactor - 1) * float64(t.group.expectedDuration()))
	waited := p.now.Sub(t.readyAt)
	if waited >= saving || t.group.job.runCount == 0 && waited >= maxIdleNearWait {
		return false
	}
	forecast := p.rackForecast(rackDemand{t.group.job.queue.Service, step.DataRack, step.Size, step.Label})
	if forecast.next >= len(forecast.delays) {
		return false
	}
	delay := forecast.delays[forecast.next]
	if delay >= saving {
		return false
	}
	if spare := p.timeToSpare(t.group.job) - saving; spare >= 0 && spare < delay {
		return false
	}
	forecast.next++
	return true
}

// expectedDuration returns how long a run of a group takes near its data: the mean of those that have
// succeeded, or the estimate.
func (g *taskGroup) expectedDuration() time.Duration {
	if mean, ok := g.meanDuration(); ok {
		return mean
	}
	return g.step.Estimate.Std()
}

// rackForecast returns the forecast for a demand in the present pass.
func (p *Planner) rackForecast(d rackDemand) *rackForecast {
	if f, ok := p.rackForecasts[d]; ok {
		return f
	}
	f := &rackForecast{}
	for _, w := range p.placementCache.usable {
		if w.entry.Service == d.service && w.entry.Rack == d.rack && (d.label == "" || slices.Contains(w.entry.Labels, d.label)) {
			f.delays = append(f.delays, p.slotDelays(w, d.size)...)
		}
	}
	slices.Sort(f.delays)
	f.delays = f.delays[:min(len(f.delays), maxNearSlots)]
	p.rackForecasts[d] = f
	return f
}

// slotDelays returns when a worker is expected to have room for a size, once for each task that fits,
// as its present runs end.
func (p *Planner) slotDelays(w *worker, size identifier.Size) []time.Duration {
	if size.IsZero() {
		return nil
	}
	releases := make([]release, 0, len(w.runs))
	for _, r := range w.runs {
		if after, ends := p.expectedEnd(r); ends {
			releases = append(releases, release{after, reservedSize(r)})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return int(a.after - b.after) })
	var delays []time.Duration
	room := w.room()
	for _, next := range releases {
		room = room.Add(next.size)
		for size.Fits(room) && len(delays) < maxNearSlots {
			room = room.Sub(size)
			delays = append(delays, next.after)
		}
	}
	return delays
}

// minToldPercent is the progress from which it tells how long a run takes.
const minToldPercent = 10

// expectedEnd returns after what time a run is expected to end, by its last reported progress or by its
// estimate; ends is false for a long-running one. One that has outlasted that is taken to be half done.
func (p *Planner) expectedEnd(r *run) (after time.Duration, ends bool) {
	step := r.task.group.step
	if step.LongRunning {
		return 0, false
	}
	ran, expected := time.Duration(0), r.task.group.expectedDuration()
	if !r.confirmedAt.IsZero() {
		ran = p.now.Sub(r.confirmedAt)
	}
	switch {
	case r.percent >= minToldPercent && r.percent < fullProgress && r.progressAt.After(r.confirmedAt):
		expected = r.progressAt.Sub(r.confirmedAt) * fullProgress / time.Duration(r.percent)
	case step.DataRack != "" && r.worker.entry.Rack != step.DataRack:
		expected = time.Duration(p.settings.RemoteFactor * float64(expected))
	}
	if left := expected - ran; left > 0 {
		return left, true
	}
	return ran, true
}

// reservedSize returns what a run reserves on its worker.
func reservedSize(r *run) identifier.Size {
	size := r.size
	if r.task.group.step.Scavenger {
		size.Processors = 0
	}
	return size
}
