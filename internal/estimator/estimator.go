// Package estimator learns which scavengers lengthen the tail latency of which
// tasks that serve, by the images of both, and how long tails are without them.
package estimator

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// PriorInterference is the pressure that is assumed before anything was seen:
	// between that of most pairs (0 to 1.5) and of the harmful ones (5 to 25) on the
	// users' sites.
	PriorInterference = 2.5
	// knownAfter is how many observations make a pair known. The first ones may blame
	// a scavenger for what another one beside it did.
	knownAfter = 6
	// firstSeen is how many observations move an estimate most.
	firstSeen = 2
	// gain is the part of a surprise by which an observation moves the estimates;
	// gainAlarm is that of a loss of slack which is greater than expected by alarm.
	gain      = 0.25
	gainAlarm = 0.6
	alarm     = 0.4
	// gainFirst replaces gain for the first observations of a pair.
	gainFirst = 0.8
	// mostPressure bounds an estimate.
	mostPressure = 40.0
	// roughness is the error of an observed slack, as a part of it, at the usual
	// pressure of a harmful pair: what it says of weak scavengers counts less.
	roughness = 0.04 / 4
	// leastUse is the share of a worker from which a scavenger can be judged.
	leastUse = 0.02
	// judgePause is the least time between two observations of a pair that are
	// taken into account, since reported tails cover half a second.
	judgePause = 250 * time.Millisecond
)

// Slack is the target of a tail divided by the tail: below 1 the tail is too long.
// As with the waiting time of a queue, whose inverse falls linearly with the load,
// each scavenger takes a fixed amount of slack, however much there is.
type Slack float64

// SlackOf returns the slack of a tail.
func SlackOf(target, tail time.Duration) Slack { return Slack(target) / Slack(max(tail, 1)) }

// Interference is the slack that a scavenger takes for each whole worker that it uses:
// at a pressure of 5 a scavenger on a tenth of a worker takes 0.5.
type Interference float64

// Load is the use of a worker's processors by scavengers of each image, as shares
// of the whole.
type Load map[identifier.Image]float64

// pair is a task that serves and a scavenger beside it.
type pair struct{ serving, scavenger identifier.Image }

// estimate is what is believed of a pair.
type estimate struct {
	pressure Interference
	seen     int
	judged   time.Time
}

// uncertainty weighs how much of a surprise is put down to a pair.
func (e estimate) uncertainty() float64 { return 1 / float64(1+min(e.seen, mostSeen)) }

// mostSeen bounds how certain an estimate becomes.
const mostSeen = 3

// Estimator learns the pressures of pairs of images. An observed slack is explained
// as the slack without scavengers less the sum of pressure times use; what is left
// over moves the estimates of those beside it, as a normalised least mean squares
// filter (Widrow and Hoff, Adaptive Switching Circuits, 1960) whose steps are
// weighed by uncertainty and larger upwards than downwards.
type Estimator struct{ pairs map[pair]estimate }

// New returns an estimator that knows nothing yet.
func New() *Estimator { return &Estimator{map[pair]estimate{}} }

// Interference returns what a scavenger is expected to do to a serving image.
func (e *Estimator) Interference(serving, scavenger identifier.Image) Interference {
	if known, ok := e.pairs[pair{serving, scavenger}]; ok {
		return known.pressure
	}
	return PriorInterference
}

// Known reports whether a pair has been observed often enough to be trusted.
func (e *Estimator) Known(serving, scavenger identifier.Image) bool {
	return e.pairs[pair{serving, scavenger}].seen >= knownAfter
}

// ExpectedLoss returns the slack that a load is expected to take from a serving image.
func (e *Estimator) ExpectedLoss(serving identifier.Image, l Load) Slack {
	sum := Slack(0)
	for image, use := range l {
		sum += Slack(float64(e.Interference(serving, image)) * use)
	}
	return sum
}

// Learn takes into account the slack that was observed of a serving image beside a
// load, and that it would have had without it.
func (e *Estimator) Learn(now time.Time, serving identifier.Image, without, observed Slack, l Load) {
	surprise := float64(without - observed - e.ExpectedLoss(serving, l))
	rough := roughness * float64(without)
	weights := rough * rough
	for image, use := range l {
		weights += e.of(serving, image).uncertainty() * use * use
	}
	next := make(map[pair]estimate, len(l))
	for image, use := range l {
		known := e.of(serving, image)
		if use < leastUse || now.Sub(known.judged) < judgePause {
			continue
		}
		step := gainOf(surprise, known) * known.uncertainty() * use * surprise / weights
		known.pressure = min(max(known.pressure+Interference(step), 0), mostPressure)
		known.judged = now
		known.seen++
		next[pair{serving, image}] = known
	}
	for pair, known := range next {
		e.pairs[pair] = known
	}
}

// gainOf returns the part of a surprise by which an estimate moves.
func gainOf(surprise float64, known estimate) float64 {
	switch {
	case known.seen < firstSeen:
		return gainFirst
	case surprise > alarm:
		return gainAlarm
	default:
		return gain
	}
}

func (e *Estimator) of(serving, scavenger identifier.Image) estimate {
	if known, ok := e.pairs[pair{serving, scavenger}]; ok {
		return known
	}
	return estimate{pressure: PriorInterference}
}

// Set replaces what is believed of a pair, which is then known.
func (e *Estimator) Set(serving, scavenger identifier.Image, p Interference) {
	e.pairs[pair{serving, scavenger}] = estimate{pressure: min(max(p, 0), mostPressure), seen: knownAfter}
}

// Record is a learned estimate as it is stored for the next holder.
type Record struct {
	_         struct{} `cbor:",toarray"`
	Serving   identifier.Image
	Scavenger identifier.Image
	Pressure  float64
	Seen      int
}

// Records returns the estimates as they are stored.
func (e *Estimator) Records() []Record {
	out := make([]Record, 0, len(e.pairs))
	for pair, known := range e.pairs {
		out = append(out, Record{
			Serving: pair.serving, Scavenger: pair.scavenger, Pressure: float64(known.pressure), Seen: known.seen,
		})
	}
	return out
}

// Restore takes over the estimates of an earlier holder.
func (e *Estimator) Restore(records []Record) {
	for _, r := range records {
		e.pairs[pair{r.Serving, r.Scavenger}] = estimate{pressure: Interference(r.Pressure), seen: r.Seen}
	}
}

// CountAbove returns how many pairs have a pressure above a bound.
func (e *Estimator) CountAbove(bound Interference) int {
	n := 0
	for _, known := range e.pairs {
		if known.pressure > bound {
			n++
		}
	}
	return n
}
