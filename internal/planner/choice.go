package planner

import (
	"container/heap"
)

// candidateSet holds the workers for the tasks of a step that have the same demand, the best first.
// It keeps large steps in large cells cheap: each worker is scored once per step, and after a claim
// only the claimed worker is scored again.
type candidateSet struct {
	demand        demand
	isolationNeed float64
	candidates    candidateHeap
}

// candidate is a worker with its score for a task.
type candidate struct {
	worker *worker
	score  float64
}

// candidateHeap is a heap.Interface with the best candidate on top.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(i, k int) bool {
	if h[i].score != h[k].score {
		return h[i].score > h[k].score
	}
	return h[i].worker.id < h[k].worker.id
}

func (h candidateHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	// A candidateSet is filled up to minCandidates, plus candidatesPerTask for each ready task. All
	// workers are only examined where few have room, so that the cost of a set does not grow with
	// the cell.
	minCandidates     = 128
	candidatesPerTask = 4
)

// newCandidateSet finds candidates for tasks like t among the workers that were usable when the
// pass began.
func (p *Planner) newCandidateSet(t *task, d demand) *candidateSet {
	c := &candidateSet{demand: d}
	if d.kind == loadScavenger {
		c.isolationNeed = p.isolationNeed(t.group.step.Image)
	}
	limit := minCandidates + candidatesPerTask*t.group.readyTasks
	if d.kind == loadServing || t.group.step.DataRack != "" {
		// Serving images are packed, and data is in one rack: examine all workers.
		limit = len(p.placementCache.usable)
	}
	for i := 0; i < len(p.placementCache.usable) && len(c.candidates) < limit; i++ {
		p.nextWorker++
		w := p.placementCache.usable[p.nextWorker%len(p.placementCache.usable)]
		if w.entry.Service == d.service && p.taskObstacle(t, w, d) == obstacleNone {
			c.candidates = append(c.candidates, candidate{w, p.score(t.group.step, w, d.kind, c.isolationNeed)})
		}
	}
	heap.Init(&c.candidates)
	return c
}

// bestCandidate returns the best worker for a task, or nil. The one on which the task last failed
// is returned only if there is no other.
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

// topCandidate returns the best candidate that still qualifies. One whose score has dropped since
// it was computed is moved to its new position.
func (p *Planner) topCandidate(t *task, c *candidateSet) *worker {
	for len(c.candidates) > 0 {
		top := &c.candidates[0]
		if p.placementObstacle(t, top.worker, c.demand) != obstacleNone {
			heap.Pop(&c.candidates)
			continue
		}
		score := p.score(t.group.step, top.worker, c.demand.kind, c.isolationNeed)
		if score >= top.score {
			return top.worker
		}
		top.score = score
		heap.Fix(&c.candidates, 0)
	}
	return nil
}
