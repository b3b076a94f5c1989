package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// The placement of scavengers beside serving tasks. A scavenger is a best-effort task on processors
// that others leave unused. A serving task has a target for its tail latency; its slack is the
// target divided by the tail latency (see estimator.Slack).
const (
	// tailLag is how long an ended scavenger still affects reported tail latencies.
	tailLag = 600 * time.Millisecond
	// defaultSlack is assumed of a serving task whose slack was never observed.
	defaultSlack estimator.Slack = 2
	// minPlaceSlack is the least expected slack at which a scavenger is placed beside a serving
	// task. The load of a service may take 0.5 of slack within a second.
	minPlaceSlack estimator.Slack = 1.35
	// slackNoise is by how much a single observed slack may be too low.
	slackNoise estimator.Slack = 0.25
	// lossMargin multiplies expected losses of slack, since the interference varies by half within
	// seconds.
	lossMargin = 1.25
	// impatientSlack replaces minPlaceSlack once the patience of a scavenger is over, and
	// urgentWait is how long it waits before it is placed whatever the expected slack.
	impatientSlack estimator.Slack = 1.1
	urgentWait                     = 20 * time.Second
	// harmfulInterference is the interference from which a patient scavenger is kept apart from a
	// serving image. A scavenger on a tenth of a worker then takes 0.4 of slack.
	harmfulInterference = 4
	// mildLoss is the largest expected loss of slack at which the tail latency without scavengers
	// can still be derived from an observed one.
	mildLoss estimator.Slack = 0.4
)

// imagePair is a serving image and the image of a scavenger beside it.
type imagePair struct{ serving, scavenger identifier.Image }

// addScavengers adds the recent processor use of the worker's scavengers to a load, including those
// that ended a moment ago.
func (w *worker) addScavengers(l estimator.Load, now time.Time) {
	for _, r := range w.runs {
		if step := r.task.group.step; step.Scavenger {
			addUse(l, step.Image, fraction(r.used, w.entry.Capacity.Processors))
		}
	}
	w.addRecentScavengers(l, now)
}

// addUse adds a share of the worker's processors to a load, unless it is zero.
func addUse(l estimator.Load, image identifier.Image, used float64) {
	if used > 0 {
		l[image] += used
	}
}

// recentScavenger is a scavenger that ended so recently that reported tail latencies still include
// its effect.
type recentScavenger struct {
	image   identifier.Image
	used    float64
	endedAt time.Time
}

// recordEndedScavenger records an ended run in recentScavengers if it was a scavenger beside
// serving tasks.
func (w *worker) recordEndedScavenger(r *run, now time.Time) {
	if step := r.task.group.step; step.Scavenger && w.serving > 0 {
		w.recentScavengers = append(w.recentScavengers, recentScavenger{step.Image, fraction(r.used, w.entry.Capacity.Processors), now})
	}
}

// addRecentScavengers adds the scavengers that ended within tailLag to a load, and drops older
// ones.
func (w *worker) addRecentScavengers(l estimator.Load, now time.Time) {
	kept := w.recentScavengers[:0]
	for _, s := range w.recentScavengers {
		if now.Sub(s.endedAt) < tailLag {
			kept = append(kept, s)
			addUse(l, s.image, s.used)
		}
	}
	w.recentScavengers = kept
}

// countImage adds by, which is 1 or -1, to the number of runs of a step's image on a worker, and
// updates Planner.colocations if the image is new there or gone.
func (p *Planner) countImage(w *worker, step *submitter.Step, by int) {
	switch {
	case step.Serves():
		addCount(p.servingImages, step.Image, by)
		if addCount(w.servingByImage, step.Image, by) {
			p.updateServingImages(w, step.Image)
			for scavenger := range w.scavengersByImage {
				addCount(p.colocations, imagePair{step.Image, scavenger}, by)
			}
		}
	case step.Scavenger:
		if addCount(w.scavengersByImage, step.Image, by) {
			for serving := range w.servingByImage {
				addCount(p.colocations, imagePair{serving, step.Image}, by)
			}
		}
	}
}

// servingImage is a serving image with its index in the lists of pair estimates.
type servingImage struct {
	image identifier.Image
	index int
}

// updateServingImages adds an image to the worker's servingImages, or removes it with its last run.
func (p *Planner) updateServingImages(w *worker, image identifier.Image) {
	w.remainingSlacks = nil
	if w.servingByImage[image] == 0 {
		w.servingImages = slices.DeleteFunc(w.servingImages, func(s servingImage) bool { return s.image == image })
		return
	}
	index, ok := p.servingIndex[image]
	if !ok {
		index = len(p.servingIndex)
		p.servingIndex[image] = index
	}
	w.servingImages = append(w.servingImages, servingImage{image, index})
}

// pairEstimate caches, for one scheduling pass, what the estimator knows of a scavenger beside a
// serving image.
type pairEstimate struct {
	// loaded is set once the entry is filled.
	loaded bool
	// interference is the estimate used for placement, which is optimistic for an unknown pair.
	interference estimator.Interference
	// known is set if the pair was observed often enough to trust the estimate, harmful if it was
	// and the estimate is at least harmfulInterference.
	known, harmful bool
}

// estimatesOf returns the cached estimates of a scavenger, indexed by servingImage.index. The cache
// is valid for one pass, which needs the same pairs for hundreds of workers.
func (p *Planner) estimatesOf(scavenger identifier.Image) []pairEstimate {
	estimates := p.pairEstimates[scavenger]
	if missing := len(p.servingIndex) - len(estimates); missing > 0 {
		// Images may start to serve within a pass.
		estimates = append(estimates, make([]pairEstimate, missing)...)
		p.pairEstimates[scavenger] = estimates
	}
	return estimates
}

// estimateOf returns the estimate of a scavenger beside a serving image, from estimates, which is
// the result of estimatesOf for the scavenger. It fills the entry if that is not loaded yet.
func (p *Planner) estimateOf(s servingImage, scavenger identifier.Image, estimates []pairEstimate) pairEstimate {
	e := &estimates[s.index]
	if e.loaded {
		return *e
	}
	interference, known := p.estimator.Interference(s.image, scavenger), p.estimator.Known(s.image, scavenger)
	*e = pairEstimate{loaded: true, interference: interference, known: known, harmful: known && interference >= harmfulInterference}
	if !known {
		// The first observations may overestimate the interference. The estimate is capped until
		// the pair is known: otherwise it might never be placed again, and so never become known.
		e.interference = min(interference, estimator.PriorInterference)
	}
	return *e
}

// addCount changes a count, drops the key at zero, and reports whether the key was added or
// dropped.
func addCount[K comparable](counts map[K]int, key K, by int) bool {
	before := counts[key]
	after := before + by
	if after == 0 {
		delete(counts, key)
	} else {
		counts[key] = after
	}
	return (before == 0) != (after == 0)
}

// countOthers counts the images on a worker other than the given one.
func countOthers(images map[identifier.Image]int, image identifier.Image) int {
	n := len(images)
	if images[image] > 0 {
		n--
	}
	return n
}

// baselineSlack returns the slack of a serving image on the worker without scavengers, as of the
// last poll.
func (w *worker) baselineSlack(serving identifier.Image) estimator.Slack {
	if slack, ok := w.baselineSlacks[serving]; ok {
		return slack
	}
	return defaultSlack
}

// expectedSlack returns the lowest slack expected on a worker if a scavenger with an image joins
// it, and uses the given share of its processors.
func (p *Planner) expectedSlack(w *worker, scavenger identifier.Image, use float64) estimator.Slack {
	if w.remainingSlacks == nil {
		w.remainingSlacks = p.remainingSlacks(w)
	}
	estimates := p.estimatesOf(scavenger)
	least := ampleSlack
	for i, serving := range w.servingImages {
		loss := estimator.Slack(use * float64(p.estimateOf(serving, scavenger, estimates).interference))
		least = min(least, w.remainingSlacks[i]-lossMargin*loss)
	}
	return least
}

// remainingSlacks returns the slack that each of the worker's servingImages is expected to have if
// its scavengers use all that they were promised. The result holds until the next poll of the
// worker or the next change of its runs.
func (p *Planner) remainingSlacks(w *worker) []estimator.Slack {
	slacks := make([]estimator.Slack, len(w.servingImages))
	for i, serving := range w.servingImages {
		slacks[i] = w.baselineSlack(serving.image) - lossMargin*p.estimator.ExpectedLoss(serving.image, w.scavengerShares)
	}
	return slacks
}

// ampleSlack is the slack of a worker without serving tasks; it never limits a scavenger.
const ampleSlack estimator.Slack = 4

// interferenceObstacle returns the reason why a scavenger must not be placed beside the serving
// tasks of a worker, or obstacleNone. A patient scavenger waits for a worker on which it harms no
// serving task.
func (p *Planner) interferenceObstacle(w *worker, step *submitter.Step, d demand) obstacle {
	if w.serving == 0 || d.starved {
		return obstacleNone
	}
	if p.tailsHigh(w) {
		return obstacleTailHigh
	}
	slack := p.expectedSlack(w, step.Image, fraction(step.Size.Processors, w.entry.Capacity.Processors))
	switch {
	case d.urgent:
		return obstacleNone
	case !d.patient && slack < impatientSlack, d.patient && slack < minPlaceSlack:
		return obstacleSlack
	case d.patient && !p.mayExplore(w, step.Image):
		return obstacleExploring
	case d.patient && p.harmsOn(w, step.Image):
		return obstacleHarmful
	default:
		return obstacleNone
	}
}

// tailsHigh reports whether tail latencies on a worker are above their targets, or were until a
// moment ago.
func (p *Planner) tailsHigh(w *worker) bool {
	return w.serving > 0 && (p.now.Before(w.scavengersBarredUntil) || w.slack < targetSlack)
}

// harmsOn reports whether a scavenger image is known to harm a serving image on the worker.
func (p *Planner) harmsOn(w *worker, scavenger identifier.Image) bool {
	estimates := p.estimatesOf(scavenger)
	return slices.ContainsFunc(w.servingImages, func(s servingImage) bool { return p.estimateOf(s, scavenger, estimates).harmful })
}

// mayExplore reports whether a scavenger may be placed on a worker although its effect on some of
// the serving images there is not known. Each unknown pair is tried on one worker at a time, which
// is enough to learn from.
func (p *Planner) mayExplore(w *worker, scavenger identifier.Image) bool {
	estimates := p.estimatesOf(scavenger)
	for _, serving := range w.servingImages {
		if !p.estimateOf(serving, scavenger, estimates).known && p.colocations[imagePair{serving.image, scavenger}] > 0 {
			return false
		}
	}
	return true
}

// isolationNeed returns, from 0 to 1, how much a scavenger image should prefer workers without
// serving tasks: its mean interference with all images that serve at present.
func (p *Planner) isolationNeed(scavenger identifier.Image) float64 {
	if len(p.servingImages) == 0 {
		return 0
	}
	sum := 0.0
	for serving := range p.servingImages {
		sum += min(float64(p.estimator.Interference(serving, scavenger))/(2*harmfulInterference), 1)
	}
	return sum / float64(len(p.servingImages))
}

// expectedLoss returns how much slack the scavengers on a worker are expected to take from a
// serving image, at most 1.
func (p *Planner) expectedLoss(w *worker, serving identifier.Image) float64 {
	return min(float64(p.estimator.ExpectedLoss(serving, w.scavengerShares)), 1)
}

// observeTails updates the estimates from the tail latencies that a worker reported, and slows its
// scavengers down as needed to keep these within their targets.
func (p *Planner) observeTails(w *worker) {
	w.remainingSlacks = nil
	if w.serving == 0 {
		w.slack = ampleSlack
		p.restorePaces(w)
		return
	}
	load := p.scratchLoad
	clear(load)
	w.addScavengers(load, p.now)
	p.observeBaselines(w, load)
	p.learnInterference(w, load)
	p.adjustPaces(w)
}

// observeBaselines records the slack of each serving task without scavengers. It does so only where
// scavengers take no slack, or so little that adding the expected loss corrects for it.
func (p *Planner) observeBaselines(w *worker, load estimator.Load) {
	w.slack = ampleSlack
	clear(w.baselineSlacks)
	for _, r := range w.runs {
		if !r.showsTail() {
			continue
		}
		g := r.task.group
		w.slack = min(w.slack, r.slack())
		baseline := r.slack() + p.estimator.ExpectedLoss(g.step.Image, load)
		if p.isMild(g.step.Image, load) {
			g.baseline.Observe(p.now, r.task.index, baseline)
		}
		if base, _, ok := g.baseline.Slack(p.now); ok {
			// The step's baseline is more exact than this observation, unless the task is worse off
			// than the noise of an observation explains.
			baseline = min(baseline+slackNoise, base)
		}
		w.baselineSlacks[g.step.Image] = min(baseline, w.observedBaseline(g.step.Image))
	}
}

// observedBaseline returns the lowest slack recorded for a serving image so far during this poll.
func (w *worker) observedBaseline(serving identifier.Image) estimator.Slack {
	if slack, ok := w.baselineSlacks[serving]; ok {
		return slack
	}
	return ampleSlack
}

// showsTail reports whether a run serves, is fully started and has reported its tail latency.
func (r *run) showsTail() bool {
	return r.phase == runActive && r.task.group.step.Serves() && r.percent >= fullProgress && r.tail > 0
}

// slack returns the slack of a run for which showsTail holds.
func (r *run) slack() estimator.Slack {
	return estimator.SlackOf(r.task.group.step.TailTarget.Std(), r.tail)
}

// isMild reports whether a load is known to take little slack from a serving image.
func (p *Planner) isMild(serving identifier.Image, load estimator.Load) bool {
	return p.isKnown(serving, load) && p.estimator.ExpectedLoss(serving, load) <= mildLoss
}

// isKnown reports whether the effect of each scavenger of a load on a serving image is known.
func (p *Planner) isKnown(serving identifier.Image, load estimator.Load) bool {
	for scavenger := range load {
		if !p.estimator.Known(serving, scavenger) {
			return false
		}
	}
	return true
}

// slackPair is the slack of a serving task without scavengers and the slack observed beside them.
type slackPair struct{ without, observed estimator.Slack }

// learnInterference teaches the estimator by how much the scavengers on a worker lower the slack of
// its serving tasks. Of the tasks of one image it uses the one with the median loss, the lower of
// the two middle ones if their number is even, so that tail latencies which are long by chance do
// not count.
func (p *Planner) learnInterference(w *worker, load estimator.Load) {
	if len(load) == 0 {
		return
	}
	byImage := map[identifier.Image][]slackPair{}
	for _, r := range w.runs {
		if !r.showsTail() {
			continue
		}
		if without, ok := p.slackWithout(r); ok {
			image := r.task.group.step.Image
			byImage[image] = append(byImage[image], slackPair{without, r.slack()})
		}
	}
	for image, pairs := range byImage {
		slices.SortFunc(pairs, func(a, b slackPair) int { return cmp.Compare(a.without-a.observed, b.without-b.observed) })
		median := pairs[(len(pairs)-1)/2]
		if p.isKnown(image, load) {
			p.scavengerSummary.observe(p.estimator.ExpectedLoss(image, load), median.without-median.observed)
		}
		p.estimator.Learn(p.now, image, median.without, median.observed, load)
	}
}

// slackWithout returns the slack that a run would have without scavengers; ok is false if it is not
// certain enough to learn from. For a tail latency above its target, a baseline that is not fresh,
// or defaultSlack if there is none, is certain enough.
func (p *Planner) slackWithout(r *run) (slack estimator.Slack, ok bool) {
	base, fresh, known := r.task.group.baseline.Slack(p.now)
	if !fresh && r.slack() >= 1 {
		return 0, false
	}
	if !known {
		base = defaultSlack
	}
	return base, true
}
