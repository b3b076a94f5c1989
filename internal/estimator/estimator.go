// Package estimator learns, per pair of container images, how much a scavenger (a best-effort
// task on spare capacity) raises the tail latency of a serving task on the same worker, and
// how high the tail latency is without scavengers.
package estimator

import (
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// PriorInterference is assumed for a pair without observations. It lies between the
	// interference of most pairs (0 to 1.5) and that of harmful ones (5 to 25) on the users'
	// sites.
	PriorInterference = 2.5
	// minSamples is the number of observations from which an estimate is trusted. Earlier ones
	// may attribute to a scavenger the interference of another one on the same worker.
	minSamples = 6
	// initialSamples is the number of observations of a pair that use initialLearningRate.
	initialSamples = 2
	// learningRate is the fraction of the prediction error by which an observation corrects
	// the estimates. alarmLearningRate replaces it when more slack than expected was lost, by
	// more than alarmThreshold.
	learningRate      = 0.25
	alarmLearningRate = 0.6
	alarmThreshold    = 0.4
	// initialLearningRate replaces both for the first initialSamples observations of a pair.
	initialLearningRate = 0.8
	// maxInterference is the upper bound of an estimate.
	maxInterference = 40.0
	// relativeNoise is the measurement error of a slack as a fraction of it, 0.04, divided by the
	// usual interference of a harmful pair, 4, to express it as CPU use. It damps the updates of
	// scavengers that use little CPU.
	relativeNoise = 0.04 / 4
	// minUse is the share of a worker's processors that a scavenger must use for its estimate
	// to be updated.
	minUse = 0.02
	// minUpdateInterval is the minimum time between two updates of a pair: reported tail
	// latencies cover the last half second, so that closer ones repeat the same samples.
	minUpdateInterval = 250 * time.Millisecond
)

// Slack is the target tail latency divided by the measured one; below 1 the target is missed.
// The inverse of a queue's waiting time falls linearly with the load, so that a scavenger is
// modelled as taking a fixed amount of slack, independent of how much there is.
type Slack float64

// SlackOf returns the slack of a measured tail latency.
func SlackOf(target, tail time.Duration) Slack { return Slack(target) / Slack(max(tail, 1)) }

// Interference is the slack that a scavenger takes per whole worker that it uses: at an
// interference of 5, a scavenger that uses a tenth of a worker's processors takes 0.5.
type Interference float64

// Load is the CPU use of the scavengers on a worker by image, each as a fraction of the
// worker's processors.
type Load map[identifier.Image]float64

// pair holds the images of a serving task and of a scavenger on the same worker.
type pair struct{ serving, scavenger identifier.Image }

// estimate is the learned interference of a pair.
type estimate struct {
	interference Interference
	samples      int
	updatedAt    time.Time
}

// uncertainty returns the weight, from 0 to 1, with which a prediction error is attributed to
// the pair. It falls as the pair is observed more often.
func (e estimate) uncertainty() float64 { return 1 / float64(1+min(e.samples, maxSamples)) }

// maxSamples is the number of observations after which the uncertainty stops falling, so that
// estimates keep following changes.
const maxSamples = 3

// Estimator learns the interference of pairs of images. It predicts an observed slack as the
// slack without scavengers minus the sum of interference times CPU use over the scavengers,
// and corrects the estimates by the prediction error as a normalised least mean squares filter
// (Widrow and Hoff, Adaptive Switching Circuits, 1960). Steps are weighted by the uncertainty
// of each pair, and are larger upwards than downwards. It is not safe for concurrent use.
type Estimator struct{ pairs map[pair]estimate }

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{map[pair]estimate{}} }

// Interference returns the estimate for a pair of images, or PriorInterference for a pair
// without observations.
func (e *Estimator) Interference(serving, scavenger identifier.Image) Interference {
	if est, ok := e.pairs[pair{serving, scavenger}]; ok {
		return est.interference
	}
	return PriorInterference
}

// Known reports whether a pair has been observed often enough for its estimate to be trusted.
func (e *Estimator) Known(serving, scavenger identifier.Image) bool {
	return e.pairs[pair{serving, scavenger}].samples >= minSamples
}

// ExpectedLoss returns the slack that a serving image is expected to lose to a load of
// scavengers.
func (e *Estimator) ExpectedLoss(serving identifier.Image, l Load) Slack {
	sum := Slack(0)
	for image, use := range l {
		sum += Slack(float64(e.Interference(serving, image)) * use)
	}
	return sum
}

// Learn updates the estimates of a serving image with the slack that was observed under a load
// of scavengers and the slack that it would have had without them.
func (e *Estimator) Learn(now time.Time, serving identifier.Image, without, observed Slack, l Load) {
	// The residual is the loss of slack that was observed, beyond the one that was expected.
	residual := float64(without - observed - e.ExpectedLoss(serving, l))
	noise := relativeNoise * float64(without)
	norm := noise * noise
	for image, use := range l {
		norm += e.estimateOf(serving, image).uncertainty() * use * use
	}
	next := make(map[pair]estimate, len(l))
	for image, use := range l {
		est := e.estimateOf(serving, image)
		if use < minUse || now.Sub(est.updatedAt) < minUpdateInterval {
			continue
		}
		step := learningRateFor(residual, est) * est.uncertainty() * use * residual / norm
		est.interference = min(max(est.interference+Interference(step), 0), maxInterference)
		est.updatedAt = now
		est.samples++
		next[pair{serving, image}] = est
	}
	for pair, est := range next {
		e.pairs[pair] = est
	}
}

// learningRateFor returns the fraction of the prediction error by which an estimate is
// corrected.
func learningRateFor(residual float64, est estimate) float64 {
	switch {
	case est.samples < initialSamples:
		return initialLearningRate
	case residual > alarmThreshold:
		return alarmLearningRate
	default:
		return learningRate
	}
}

func (e *Estimator) estimateOf(serving, scavenger identifier.Image) estimate {
	if est, ok := e.pairs[pair{serving, scavenger}]; ok {
		return est
	}
	return estimate{interference: PriorInterference}
}

// Set replaces the estimate of a pair and marks it as known.
func (e *Estimator) Set(serving, scavenger identifier.Image, i Interference) {
	e.pairs[pair{serving, scavenger}] = estimate{interference: min(max(i, 0), maxInterference), samples: minSamples}
}

// Record is the stored form of an estimate, from which the next holder of the cell restores it.
type Record struct {
	_            struct{} `cbor:",toarray"`
	Serving      identifier.Image
	Scavenger    identifier.Image
	Interference float64
	Samples      int
}

// Records returns all estimates in their stored form, in no particular order.
func (e *Estimator) Records() []Record {
	out := make([]Record, 0, len(e.pairs))
	for pair, est := range e.pairs {
		out = append(out, Record{
			Serving: pair.serving, Scavenger: pair.scavenger, Interference: float64(est.interference), Samples: est.samples,
		})
	}
	return out
}

// Restore adds the estimates that an earlier holder of the cell has stored.
func (e *Estimator) Restore(records []Record) {
	for _, r := range records {
		e.pairs[pair{r.Serving, r.Scavenger}] = estimate{interference: Interference(r.Interference), samples: r.Samples}
	}
}

// CountAbove returns the number of pairs whose interference is above a bound.
func (e *Estimator) CountAbove(bound Interference) int {
	n := 0
	for _, est := range e.pairs {
		if est.interference > bound {
			n++
		}
	}
	return n
}
