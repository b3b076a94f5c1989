package router

import (
	"math/rand/v2"

	"github.com/balsamcove/balsamcove/internal/registrar"
)

// Strategy returns the index of the chosen candidate, given the share of slots
// in use of each. There is at least one candidate.
type Strategy func(loads []float64) int

// Strategies holds the registered strategies.
var Strategies registrar.Registry[Strategy]

// The names of the strategies of this package.
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

// leastLoaded picks the least loaded candidate, at random among equals.
func leastLoaded(loads []float64) int {
	best, equals := 0, 1
	for i := 1; i < len(loads); i++ {
		switch {
		case loads[i] < loads[best]:
			best, equals = i, 1
		case loads[i] == loads[best]:
			equals++
			if rand.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices picks the less loaded of two random candidates.
func twoChoices(loads []float64) int {
	a, b := rand.IntN(len(loads)), rand.IntN(len(loads))
	if loads[b] < loads[a] {
		return b
	}
	return a
}
