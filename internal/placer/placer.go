// Package placer selects the worker for a task. A worker qualifies if its free processors,
// memory and accelerators all suffice; a strategy ranks the workers that qualify.
package placer

import (
	"github.com/balsamcove/balsamcove/internal/registrar"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Candidate is a worker with its total and its free resources.
type Candidate struct {
	Worker   identifier.Worker
	Capacity identifier.Size
	Free     identifier.Size
}

// Strategy reports whether a is better than b for a task of a size that fits on both.
type Strategy func(size identifier.Size, a, b Candidate) bool

// Strategies holds the registered strategies by name.
var Strategies registrar.Registry[Strategy]

// The names under which this package registers its strategies.
const (
	BestFit  = "bestFit"
	FirstFit = "firstFit"
	Spread   = "spread"
)

func init() {
	Strategies.Add(BestFit, bestFit)
	Strategies.Add(FirstFit, firstFit)
	Strategies.Add(Spread, spread)
}

// Choose returns the best candidate on which the size fits, or false if it fits on none.
func Choose(better Strategy, size identifier.Size, candidates []Candidate) (identifier.Worker, bool) {
	best := -1
	for i, c := range candidates {
		if !size.Fits(c.Free) {
			continue
		}
		if best < 0 || better(size, c, candidates[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return candidates[best].Worker, true
}

// bestFit prefers the worker with the least free resources after the placement, which keeps
// large free blocks for large tasks. Workers with accelerators are the last choice for tasks
// that need none.
func bestFit(size identifier.Size, a, b Candidate) bool {
	wastesA, wastesB := wastesAccelerators(size, a), wastesAccelerators(size, b)
	if wastesA != wastesB {
		return !wastesA
	}
	return freeShareAfter(size, a) < freeShareAfter(size, b)
}

// firstFit prefers the worker whose name sorts first.
func firstFit(_ identifier.Size, a, b Candidate) bool { return a.Worker < b.Worker }

// spread prefers the worker with the most free resources after the placement. Workers with
// accelerators are the last choice for tasks that need none.
func spread(size identifier.Size, a, b Candidate) bool {
	wastesA, wastesB := wastesAccelerators(size, a), wastesAccelerators(size, b)
	if wastesA != wastesB {
		return !wastesA
	}
	return freeShareAfter(size, a) > freeShareAfter(size, b)
}

// wastesAccelerators reports whether a task without need of accelerators would occupy a worker
// that has some.
func wastesAccelerators(size identifier.Size, c Candidate) bool {
	return size.Accelerators == 0 && c.Capacity.Accelerators > 0
}

// freeShareAfter returns the sum, over the three kinds of resources, of the fraction of the
// worker's capacity that is free after the placement.
func freeShareAfter(size identifier.Size, c Candidate) float64 {
	free := c.Free.Sub(size)
	return share(int64(free.Processors), int64(c.Capacity.Processors)) +
		share(int64(free.Memory), int64(c.Capacity.Memory)) +
		share(int64(free.Accelerators), int64(c.Capacity.Accelerators))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
