package planner

import (
	"container/heap"
)

// candidateSet holds the places for tasks of a step that are alike, the best first. It
// answers steps of many tasks on many workers: each worker is looked at once a step,
// and after a claim only the one that was claimed.
type candidateSet struct {
	demand     demand
	quietNeed  float64
	candidates candidateHeap
}

// candidate is a worker and how good it is.
type candidate struct {
	worker *worker
	score  float64
}

// candidateHeap is a heap of places, the best on top.
type candidateHeap []candidate

func (l candidateHeap) Len() int { return len(l) }

func (l candidateHeap) Less(i, k int) bool {
	if l[i].score != l[k].score {
		return l[i].score > l[k].score
	}
	return l[i].worker.id < l[k].worker.id
}

func (l candidateHeap) Swap(i, k int) { l[i], l[k] = l[k], l[i] }

// Push implements heap.Interface.
func (l *candidateHeap) Push(x any) { *l = append(*l, x.(candidate)) }

// Pop implements heap.Interface.
func (l *candidateHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

const (
	// minCandidates and placesPerTask are how many places a choice compares, at least
	// and for each task that waits. All workers are only looked at where few have
	// room, so that a choice does not grow with them.
	minCandidates     = 128
	candidatesPerTask = 4
)

// newCandidateSet finds the places for tasks like one of a step, on the workers that were usable
// when the pass began.
func (p *Planner) newCandidateSet(t *task, d demand) *candidateSet {
	c := &candidateSet{demand: d}
	if d.kind == loadScavenger {
		c.quietNeed = p.isolationNeed(t.group.step.Image)
	}
	enough := minCandidates + candidatesPerTask*t.group.readyTasks
	if d.kind == loadServing || t.group.step.DataRack != "" {
		// Images that serve are packed, and data are in one rack.
		enough = len(p.cache.usable)
	}
	for i := 0; i < len(p.cache.usable) && len(c.candidates) < enough; i++ {
		p.nextWorker++
		w := p.cache.usable[p.nextWorker%len(p.cache.usable)]
		if w.entry.Service == d.service && p.taskObstacle(t, w, d) == obstacleNone {
			c.candidates = append(c.candidates, candidate{w, p.score(t.group.step, w, d.kind, c.quietNeed)})
		}
	}
	heap.Init(&c.candidates)
	return c
}

// bestCandidate returns the best place for a task, or nil: one where it has failed only if
// there is no other.
func (p *Planner) bestCandidate(t *task, c *candidateSet) *worker {
	best := p.topCandidate(t, c)
	if best == nil || best.id != t.failedOn {
		return best
	}
	failed := heap.Pop(&c.candidates)
	other := p.topCandidate(t, c)
	heap.Push(&c.candidates, failed)
	if other == nil {
		return best
	}
	return other
}

// topCandidate returns the best of the places that are left. One whose score has changed since
// it was found goes back to where it belongs.
func (p *Planner) topCandidate(t *task, c *candidateSet) *worker {
	for len(c.candidates) > 0 {
		top := &c.candidates[0]
		if p.placementObstacle(t, top.worker, c.demand) != obstacleNone {
			heap.Pop(&c.candidates)
			continue
		}
		score := p.score(t.group.step, top.worker, c.demand.kind, c.quietNeed)
		if score >= top.score {
			return top.worker
		}
		top.score = score
		heap.Fix(&c.candidates, 0)
	}
	return nil
}
