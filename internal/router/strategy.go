package router

import (
	"math/rand/v2"

	"github.com/balsamcove/balsamcove/internal/registrar"
)

// Strategy chooses one of several minions and returns its index in loads, which holds the fraction
// of slots in use on each minion. loads is never empty.
type Strategy func(loads []float64) int

// Strategies is the registry of strategies by name.
var Strategies registrar.Registry[Strategy]

// The names of the built-in strategies.
const (
	LeastLoaded = "leastLoaded"
	Random      = "random"
	TwoChoices  = "twoChoices"
)

func init() {
	Strategies.Add(LeastLoaded, leastLoaded)
	Strategies.Add(Random, func(loads []float64) int { return rand.IntN(len(loads)) })
	Strategies.Add(TwoChoices, twoChoices)
}

// leastLoaded chooses the least loaded minion, with ties broken at random.
func leastLoaded(loads []float64) int {
	best, ties := 0, 1
	for i := 1; i < len(loads); i++ {
		switch {
		case loads[i] < loads[best]:
			best, ties = i, 1
		case loads[i] == loads[best]:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices chooses the less loaded of two random minions (power of two choices).
func twoChoices(loads []float64) int {
	a, b := rand.IntN(len(loads)), rand.IntN(len(loads))
	if loads[b] < loads[a] {
		return b
	}
	return a
}
