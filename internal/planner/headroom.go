package planner

import (
	"math"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// demandMemory is how fast a past demand is forgotten: after this time, it counts 1/e.
	demandMemory = 15 * time.Second
	// demandInterval is the time between two looks at the demand while no task waits.
	demandInterval = time.Second
	// maxHeadroom bounds the share of a service's processors that is kept free of serving tasks.
	maxHeadroom = 0.2
	// maxWithheld is how long a serving task leaves room to plain tasks. It is less than the 3 s after
	// which a task that could run counts as neglected.
	maxWithheld = 2 * time.Second
)

// headroom is the room of a service that serving tasks leave to plain tasks that run to completion.
// A serving task holds its room for minutes, so that plain tasks, which come in waves, would find
// only pieces too small for them. The room is counted in places for a plain task of the usual size:
// serving tasks may fill a worker as long as others have enough places.
type headroom struct {
	// demand is the highest recent demand of plain tasks for processors, whether they run or wait,
	// and taskSize the processors of one, on average.
	demand   float64
	taskSize float64
	// needed is the number of places to keep, and free the number that serving tasks leave now.
	needed, free int
}

// headrooms are the headrooms of all services.
type headrooms struct {
	byService map[identifier.Service]*headroom
	updatedAt time.Time
}

// serviceDemand is what the plain tasks that run to completion ask for in a service, and the
// processors of its usable workers.
type serviceDemand struct {
	processors, capacity identifier.Millicores
	tasks                int
}

// updateHeadrooms brings the headrooms up to date at the beginning of a pass.
func (p *Planner) updateHeadrooms() {
	if p.headrooms.byService == nil {
		p.headrooms.byService = map[identifier.Service]*headroom{}
	}
	decay := math.Exp(-float64(p.now.Sub(p.headrooms.updatedAt)) / float64(demandMemory))
	p.headrooms.updatedAt = p.now
	for service, d := range p.measureDemand() {
		h := p.headrooms.byService[service]
		if h == nil {
			h = &headroom{}
			p.headrooms.byService[service] = h
		}
		h.update(d, decay)
	}
	for _, w := range p.placementCache.usable {
		p.countPlaces(w, 1)
	}
}

// measureDemand returns the present demand of each service with usable workers.
func (p *Planner) measureDemand() map[identifier.Service]*serviceDemand {
	demands := map[identifier.Service]*serviceDemand{}
	for _, w := range p.placementCache.usable {
		d := demands[w.entry.Service]
		if d == nil {
			d = &serviceDemand{}
			demands[w.entry.Service] = d
		}
		d.capacity += w.entry.Capacity.Processors
		d.processors += w.plainCPU
		d.tasks += w.plain
	}
	for j := range p.waiting {
		d := demands[j.queue.Service]
		if d == nil {
			continue
		}
		for g := range j.groups() {
			if g.readyTasks > 0 && runsToCompletion(g) {
				d.processors += identifier.Millicores(g.readyTasks) * g.step.Size.Processors
				d.tasks += g.readyTasks
			}
		}
	}
	return demands
}

// noteDemand keeps the headrooms up to date while no task waits.
func (p *Planner) noteDemand() {
	if p.now.Sub(p.headrooms.updatedAt) >= demandInterval {
		p.beginPass()
		p.updateHeadrooms()
	}
}

// update takes the present demand; decay is the weight of the past one.
func (h *headroom) update(d *serviceDemand, decay float64) {
	h.demand = max(float64(d.processors), h.demand*decay)
	if d.tasks > 0 && d.processors > 0 {
		size := float64(d.processors) / float64(d.tasks)
		if h.taskSize == 0 {
			h.taskSize = size
		}
		h.taskSize = h.taskSize*decay + size*(1-decay)
	}
	h.needed, h.free = 0, 0
	if h.taskSize > 0 {
		h.needed = int(math.Round(min(h.demand, maxHeadroom*float64(d.capacity)) / h.taskSize))
	}
}

// countPlaces adds the places that serving tasks leave on a worker to those of its service if sign is 1,
// and subtracts them if -1.
func (p *Planner) countPlaces(w *worker, sign int) {
	if h := p.headrooms.byService[w.entry.Service]; h != nil && h.needed > 0 {
		h.free += sign * h.places(w.entry.Capacity.Processors-w.servingCPU)
	}
}

// places returns how many plain tasks fit into processors.
func (h *headroom) places(processors identifier.Millicores) int {
	return max(int(float64(processors)/h.taskSize), 0)
}

// cost returns how many places a serving task would take on a worker.
func (h *headroom) cost(w *worker, size identifier.Size) int {
	left := w.entry.Capacity.Processors - w.servingCPU
	return h.places(left) - h.places(left-size.Processors)
}

// withholdsFrom reports whether a serving task must leave the room of a worker to plain tasks.
func (p *Planner) withholdsFrom(w *worker, size identifier.Size) bool {
	h := p.headrooms.byService[w.entry.Service]
	if h == nil || h.needed == 0 {
		return false
	}
	cost := h.cost(w, size)
	return cost > 0 && h.free-cost < h.needed
}

// runsToCompletion reports whether the tasks of a group are plain and end by themselves.
func runsToCompletion(g *taskGroup) bool {
	return !g.step.LongRunning && loadKindOf(g.step) == loadPlain
}
