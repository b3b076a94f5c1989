package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

const (
	// tailLag is how long a scavenger that has ended still shows in tails.
	tailLag = 600 * time.Millisecond
	// usualSlack is assumed of a task that serves before it was observed.
	usualSlack estimator.Slack = 2
	// placeSlack is the expected slack from which a scavenger is placed beside a task
	// that serves. The load of a service may take 0.5 of slack within a second.
	placeSlack estimator.Slack = 1.35
	// roughSlack is by how much a single observed slack may be too low.
	roughSlack estimator.Slack = 0.25
	// caution multiplies expected losses: pressures vary by half within seconds.
	caution = 1.25
	// lateSlack is that for a scavenger whose patience is over, and lastPatience is
	// how long it waits before any place does.
	lateSlack  estimator.Slack = 1.1
	urgentWait                 = 20 * time.Second
	// harmfulPressure is the pressure from which a pair is kept apart while the
	// scavenger is patient: on a tenth of a worker it takes 0.4 of slack.
	harmfulPressure = 4
	// mildLoss is the expected loss of slack up to which a tail still tells how long
	// it would be without scavengers.
	mildLoss estimator.Slack = 0.4
)

// imagePair is a task that serves and a scavenger beside it.
type imagePair struct{ serving, scavenger identifier.Image }

// addScavengers adds the scavengers of a worker that were lately at work to a load.
func (w *worker) addScavengers(l estimator.Load, now time.Time) {
	for _, r := range w.runs {
		if step := r.task.group.step; step.Scavenger {
			addUse(l, step.Image, fraction(r.used, w.entry.Capacity.Processors))
		}
	}
	w.addDeparted(l, now)
}

// addUse adds a scavenger that was at work.
func addUse(l estimator.Load, image identifier.Image, used float64) {
	if used > 0 {
		l[image] += used
	}
}

// departure is a scavenger that ended so recently that tails still show it.
type departure struct {
	image   identifier.Image
	used    float64
	endedAt time.Time
}

// noteEnded remembers a scavenger that has ended.
func (w *worker) noteEnded(r *run, now time.Time) {
	if step := r.task.group.step; step.Scavenger && w.serving > 0 {
		w.departed = append(w.departed, departure{step.Image, fraction(r.used, w.entry.Capacity.Processors), now})
	}
}

// addDeparted adds the scavengers to a load that tails still show.
func (w *worker) addDeparted(l estimator.Load, now time.Time) {
	kept := w.departed[:0]
	for _, d := range w.departed {
		if now.Sub(d.endedAt) < tailLag {
			kept = append(kept, d)
			addUse(l, d.image, d.used)
		}
	}
	w.departed = kept
}

// countImage counts a run of a step in or out at a worker.
func (p *Planner) countImage(w *worker, step *submitter.Step, by int) {
	switch {
	case step.Serves():
		addCount(p.servingImages, step.Image, by)
		if addCount(w.servingByImage, step.Image, by) {
			p.servingChanged(w, step.Image)
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

// servingImage is an image that serves, with its number in the planner's beliefs.
type servingImage struct {
	image  identifier.Image
	number int
}

// servingChanged keeps the list of images that serve on a worker.
func (p *Planner) servingChanged(w *worker, image identifier.Image) {
	w.slacksLeft = nil
	if w.servingByImage[image] == 0 {
		w.servingList = slices.DeleteFunc(w.servingList, func(s servingImage) bool { return s.image == image })
		return
	}
	number, ok := p.servingIndex[image]
	if !ok {
		number = len(p.servingIndex)
		p.servingIndex[image] = number
	}
	w.servingList = append(w.servingList, servingImage{image, number})
}

// pairEstimate is what is believed of a pair for the choice of a place.
type pairEstimate struct {
	asked          bool
	supposed       estimator.Interference
	known, harmful bool
}

// beliefsOf returns what is believed of a scavenger beside each image that serves, by the
// numbers of these. It is as new as the pass: a choice asks for the same pairs at hundreds
// of workers.
func (p *Planner) beliefsOf(scavenger identifier.Image) []pairEstimate {
	beliefs := p.pairEstimates[scavenger]
	if missing := len(p.servingIndex) - len(beliefs); missing > 0 {
		// Images may begin to serve within a pass.
		beliefs = append(beliefs, make([]pairEstimate, missing)...)
		p.pairEstimates[scavenger] = beliefs
	}
	return beliefs
}

// beliefOf returns what is believed of a pair; beliefs are those of the scavenger.
func (p *Planner) beliefOf(s servingImage, scavenger identifier.Image, beliefs []pairEstimate) pairEstimate {
	b := &beliefs[s.number]
	if b.asked {
		return *b
	}
	pressure, known := p.estimator.Interference(s.image, scavenger), p.estimator.Known(s.image, scavenger)
	*b = pairEstimate{asked: true, supposed: pressure, known: known, harmful: known && pressure >= harmfulPressure}
	if !known {
		// A pair that is not known gets the benefit of the doubt, so that it becomes known.
		b.supposed = min(pressure, estimator.PriorInterference)
	}
	return *b
}

// addCount changes a count and reports whether the key came or went.
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

// countOthers counts the images that differ from one.
func countOthers(images map[identifier.Image]int, image identifier.Image) int {
	n := len(images)
	if images[image] > 0 {
		n--
	}
	return n
}

// baseSlack returns the slack of a serving image on a worker without scavengers,
// as the last look at the worker told.
func (w *worker) baseSlack(serving identifier.Image) estimator.Slack {
	if slack, ok := w.baseSlacks[serving]; ok {
		return slack
	}
	return usualSlack
}

// expectedSlack returns the least slack that is expected on a worker if a scavenger
// of an image joins with a share of its processors.
func (p *Planner) expectedSlack(w *worker, scavenger identifier.Image, use float64) estimator.Slack {
	if w.slacksLeft == nil {
		w.slacksLeft = p.slacksLeft(w)
	}
	beliefs := p.beliefsOf(scavenger)
	least := ampleSlack
	for i, serving := range w.servingList {
		loss := estimator.Slack(use * float64(p.beliefOf(serving, scavenger, beliefs).supposed))
		least = min(least, w.slacksLeft[i]-caution*loss)
	}
	return least
}

// slacksLeft returns the slack that the scavengers on a worker, at what they were
// promised, are expected to leave to each image of its servingList. It is as new as the
// last look at the worker, or the last change of its runs.
func (p *Planner) slacksLeft(w *worker) []estimator.Slack {
	left := make([]estimator.Slack, len(w.servingList))
	for i, serving := range w.servingList {
		left[i] = w.baseSlack(serving.image) - caution*p.estimator.ExpectedLoss(serving.image, w.scavengerShares)
	}
	return left
}

// ampleSlack is that of a worker without tasks that serve.
const ampleSlack estimator.Slack = 4

// interferenceObstacle says why a scavenger may not be placed on a worker beside tasks that
// serve, if anything does; one that is patient waits for a place where it harms none.
func (p *Planner) interferenceObstacle(w *worker, step *submitter.Step, d demand) obstacle {
	if w.serving == 0 || d.starved {
		return obstacleNone
	}
	if p.tailsHigh(w) {
		return obstacleSuffers
	}
	slack := p.expectedSlack(w, step.Image, fraction(step.Size.Processors, w.entry.Capacity.Processors))
	switch {
	case d.urgent:
		return obstacleNone
	case !d.patient && slack < lateSlack, d.patient && slack < placeSlack:
		return obstacleSlack
	case d.patient && !p.explores(w, step.Image):
		return obstacleUnknown
	case d.patient && p.harmsOn(w, step.Image):
		return obstacleHarmful
	default:
		return obstacleNone
	}
}

// tailsHigh reports whether tails on a worker are too long, or were until just now.
func (p *Planner) tailsHigh(w *worker) bool {
	return w.serving > 0 && (p.now.Before(w.quietUntil) || w.slack < evictSlack)
}

// harmsOn reports whether a scavenger is known to harm an image that serves on a
// worker.
func (p *Planner) harmsOn(w *worker, scavenger identifier.Image) bool {
	beliefs := p.beliefsOf(scavenger)
	return slices.ContainsFunc(w.servingList, func(s servingImage) bool { return p.beliefOf(s, scavenger, beliefs).harmful })
}

// explores reports whether a scavenger makes no pair that is not known stand in a
// second place: what one place tells is enough.
func (p *Planner) explores(w *worker, scavenger identifier.Image) bool {
	beliefs := p.beliefsOf(scavenger)
	for _, serving := range w.servingList {
		if !p.beliefOf(serving, scavenger, beliefs).known && p.colocations[imagePair{serving.image, scavenger}] > 0 {
			return false
		}
	}
	return true
}

// isolationNeed returns, from 0 to 1, how much a scavenger needs workers without
// tasks that serve: the mean of its pressures on the images that serve now.
func (p *Planner) isolationNeed(scavenger identifier.Image) float64 {
	if len(p.servingImages) == 0 {
		return 0
	}
	sum := 0.0
	for serving := range p.servingImages {
		sum += min(float64(p.estimator.Interference(serving, scavenger))/(2*harmfulPressure), 1)
	}
	return sum / float64(len(p.servingImages))
}

// expectedLoss returns the slack that the scavengers on a worker are expected to take
// from a serving image, up to 1.
func (p *Planner) expectedLoss(w *worker, serving identifier.Image) float64 {
	return min(float64(p.estimator.ExpectedLoss(serving, w.scavengerShares)), 1)
}

// observeTails learns from the tails on a worker, and keeps them below their
// targets.
func (p *Planner) observeTails(w *worker) {
	w.slacksLeft = nil
	if w.serving == 0 {
		w.slack = ampleSlack
		p.letGo(w)
		return
	}
	load := p.scratchLoad
	clear(load)
	w.addScavengers(load, p.now)
	p.observeBaselines(w, load)
	p.learnPressures(w, load)
	p.regulate(w)
}

// observeBaselines notes the tails that scavengers do not lengthen, or so little
// that the expectation corrects it.
func (p *Planner) observeBaselines(w *worker, load estimator.Load) {
	w.slack = ampleSlack
	clear(w.baseSlacks)
	for _, r := range w.runs {
		if !r.showsTail() {
			continue
		}
		g := r.task.group
		w.slack = min(w.slack, r.slack())
		own := r.slack() + p.estimator.ExpectedLoss(g.step.Image, load)
		if p.isMild(g.step.Image, load) {
			g.baseline.Observe(p.now, r.task.index, own)
		}
		if base, _, ok := g.baseline.Slack(p.now); ok {
			own = min(own+roughSlack, base)
		}
		w.baseSlacks[g.step.Image] = min(own, w.knownSlack(g.step.Image))
	}
}

// knownSlack returns the slack of a serving image that this look has told so far.
func (w *worker) knownSlack(serving identifier.Image) estimator.Slack {
	if slack, ok := w.baseSlacks[serving]; ok {
		return slack
	}
	return ampleSlack
}

// showsTail reports whether a run serves and its tail is known.
func (r *run) showsTail() bool {
	return r.phase == runActive && r.task.group.step.Serves() && r.percent >= fullProgress && r.tail > 0
}

// slack returns that of a run which shows its tail.
func (r *run) slack() estimator.Slack {
	return estimator.SlackOf(r.task.group.step.TailTarget.Std(), r.tail)
}

// isMild reports whether a load is known to take little slack from a serving image.
func (p *Planner) isMild(serving identifier.Image, load estimator.Load) bool {
	return p.isKnown(serving, load) && p.estimator.ExpectedLoss(serving, load) <= mildLoss
}

// isKnown reports whether it is known what each scavenger of a load does to a serving image.
func (p *Planner) isKnown(serving identifier.Image, load estimator.Load) bool {
	for scavenger := range load {
		if !p.estimator.Known(serving, scavenger) {
			return false
		}
	}
	return true
}

// slackPair is the slack of a task that serves without scavengers and with them.
type slackPair struct{ without, observed estimator.Slack }

// learnPressures compares the tails on a worker with those without scavengers. The
// lower median of the loss over the tasks of an image leaves out those that are
// long by chance.
func (p *Planner) learnPressures(w *worker, load estimator.Load) {
	if len(load) == 0 {
		return
	}
	seen := map[identifier.Image][]slackPair{}
	for _, r := range w.runs {
		if !r.showsTail() {
			continue
		}
		if without, ok := p.slackWithout(r); ok {
			image := r.task.group.step.Image
			seen[image] = append(seen[image], slackPair{without, r.slack()})
		}
	}
	for image, list := range seen {
		slices.SortFunc(list, func(a, b slackPair) int { return cmp.Compare(a.without-a.observed, b.without-b.observed) })
		m := list[(len(list)-1)/2]
		if p.isKnown(image, load) {
			p.scavengerSummary.observe(p.estimator.ExpectedLoss(image, load), m.without-m.observed)
		}
		p.estimator.Learn(p.now, image, m.without, m.observed, load)
	}
}

// slackWithout returns the slack that a run would have without scavengers. A
// baseline that is not fresh only serves for tails above their targets.
func (p *Planner) slackWithout(r *run) (slack estimator.Slack, ok bool) {
	base, fresh, known := r.task.group.baseline.Slack(p.now)
	if !fresh && r.slack() >= 1 {
		return 0, false
	}
	if !known {
		base = usualSlack
	}
	return base, true
}
