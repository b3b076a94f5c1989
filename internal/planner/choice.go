package planner

import (
	"container/heap"
)

// choice holds the places for tasks of a step that are alike, the best first. It
// answers steps of many tasks on many workers: each worker is looked at once a step,
// and after a claim only the one that was claimed.
type choice struct {
	demand demand
	quiet  float64
	places places
}

// place is a worker and how good it is.
type place struct {
	worker *worker
	score  float64
}

// places is a heap of places, the best on top.
type places []place

func (l places) Len() int { return len(l) }

func (l places) Less(i, k int) bool {
	if l[i].score != l[k].score {
		return l[i].score > l[k].score
	}
	return l[i].worker.id < l[k].worker.id
}

func (l places) Swap(i, k int) { l[i], l[k] = l[k], l[i] }

// Push implements heap.Interface.
func (l *places) Push(x any) { *l = append(*l, x.(place)) }

// Pop implements heap.Interface.
func (l *places) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

const (
	// enoughPlaces and placesPerTask are how many places a choice compares, at least
	// and for each task that waits. All workers are only looked at where few have
	// room, so that a choice does not grow with them.
	enoughPlaces  = 128
	placesPerTask = 4
)

// newChoice finds the places for tasks like one of a step, on the workers that were usable
// when the pass began.
func (p *Planner) newChoice(t *task, d demand) *choice {
	c := &choice{demand: d}
	if d.kind == loadScavenger {
		c.quiet = p.needOfQuiet(t.group.step.Image)
	}
	enough := enoughPlaces + placesPerTask*t.group.ready
	if d.kind == loadServing || t.group.step.DataRack != "" {
		// Images that serve are packed, and data are in one rack.
		enough = len(p.full.usable)
	}
	for i := 0; i < len(p.full.usable) && len(c.places) < enough; i++ {
		p.next++
		w := p.full.usable[p.next%len(p.full.usable)]
		if w.entry.Service == d.service && p.obstacleAtUsable(t, w, d) == obstacleNone {
			c.places = append(c.places, place{w, p.score(t.group.step, w, d.kind, c.quiet)})
		}
	}
	heap.Init(&c.places)
	return c
}

// bestPlace returns the best place for a task, or nil: one where it has failed only if
// there is no other.
func (p *Planner) bestPlace(t *task, c *choice) *worker {
	best := p.top(t, c)
	if best == nil || best.id != t.failedOn {
		return best
	}
	failed := heap.Pop(&c.places)
	other := p.top(t, c)
	heap.Push(&c.places, failed)
	if other == nil {
		return best
	}
	return other
}

// top returns the best of the places that are left. One whose score has changed since
// it was found goes back to where it belongs.
func (p *Planner) top(t *task, c *choice) *worker {
	for len(c.places) > 0 {
		top := &c.places[0]
		if p.obstacleTo(t, top.worker, c.demand) != obstacleNone {
			heap.Pop(&c.places)
			continue
		}
		score := p.score(t.group.step, top.worker, c.demand.kind, c.quiet)
		if score >= top.score {
			return top.worker
		}
		top.score = score
		heap.Fix(&c.places, 0)
	}
	return nil
}
