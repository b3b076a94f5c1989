// Package placer decides on which worker a task is placed. A worker qualifies
// only if the task fits in all three dimensions; strategies choose among those
// that qualify.
package placer

import (
	"github.com/balsamcove/balsamcove/internal/registrar"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Candidate is a worker with the room that is left on it.
type Candidate struct {
	Worker   identifier.Worker
	Capacity identifier.Size
	Free     identifier.Size
}

// Strategy reports whether a is a better place than b for a task of a size
// that fits on both.
type Strategy func(size identifier.Size, a, b Candidate) bool

// Strategies holds the registered strategies.
var Strategies registrar.Registry[Strategy]

// The names of the strategies of this package.
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

// Choose returns the best candidate on which the size fits.
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

// bestFit prefers the worker with the least room left afterwards, so that large
// rooms stay whole. A worker with accelerators is kept for those who need them.
func bestFit(size identifier.Size, a, b Candidate) bool {
	wasteA, wasteB := wasted(size, a), wasted(size, b)
	if wasteA != wasteB {
		return !wasteA
	}
	return left(size, a) < left(size, b)
}

func firstFit(_ identifier.Size, a, b Candidate) bool { return a.Worker < b.Worker }

// spread prefers the worker with the most room left afterwards.
func spread(size identifier.Size, a, b Candidate) bool {
	wasteA, wasteB := wasted(size, a), wasted(size, b)
	if wasteA != wasteB {
		return !wasteA
	}
	return left(size, a) > left(size, b)
}

// wasted reports whether accelerators of the worker would go unused.
func wasted(size identifier.Size, c Candidate) bool {
	return size.Accelerators == 0 && c.Capacity.Accelerators > 0
}

// left returns the summed shares of the worker that stay free afterwards.
func left(size identifier.Size, c Candidate) float64 {
	room := c.Free.Sub(size)
	return share(int64(room.Processors), int64(c.Capacity.Processors)) +
		share(int64(room.Memory), int64(c.Capacity.Memory)) +
		share(int64(room.Accelerators), int64(c.Capacity.Accelerators))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
