package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

const (
	// fullPace is the pace of a run that nobody slowed down, in percent.
	fullPace = 100
	// paceStep is the resolution of paces, in percent.
	paceStep = 10
	// leastPace is the pace, in percent, below which a scavenger is evicted.
	leastPace = 20
	// unknownPace is that of a run which an earlier holder may have slowed down.
	unknownPace = -1
	// paceSlack is the expected slack below which scavengers are slowed down;
	// raiseSlack is that from which they are let go again.
	paceSlack  estimator.Slack = 1.15
	raiseSlack estimator.Slack = 1.3
	// evictSlack is the observed slack below which no scavenger joins a worker and
	// those there are slowed down whatever is expected.
	evictSlack estimator.Slack = 1
	// calmSlack is the observed slack from which a worker no longer counts as one
	// whose tails are too long; observations are rough.
	calmSlack estimator.Slack = 1.15
	// longSuffering is how long a tail may stay above its target before every
	// scavenger beside it is evicted; a stop and the lag of reports take about
	// 1.5 s more, and a tail that stays too long for 4 s counts as harm.
	longSuffering = 1600 * time.Millisecond
	// quietTime is how long no scavenger is placed on a worker afterwards.
	quietTime = 1500 * time.Millisecond
)

// regulate slows the scavengers on a worker down as far as its tails need it, those
// of the greatest pressure first, and lets them go again.
func (p *Planner) regulate(w *worker) {
	if len(w.scavengersByImage) == 0 {
		w.sufferingSince = time.Time{}
		return
	}
	serving, loss := p.tightest(w)
	if p.suffersLong(w) {
		p.evictScavengers(w, serving)
		return
	}
	expected := w.baseSlack(serving) - loss
	switch {
	case expected < paceSlack:
		p.slowDown(w, serving, paceSlack-expected)
	case w.slack < evictSlack:
		p.slowDown(w, serving, loss/2)
	case expected >= raiseSlack:
		p.letGo(w)
	}
}

// suffersLong reports whether a tail on a worker has been above its target for too
// long.
func (p *Planner) suffersLong(w *worker) bool {
	if w.slack >= calmSlack {
		w.sufferingSince = time.Time{}
	}
	if w.slack >= evictSlack {
		return false
	}
	if w.sufferingSince.IsZero() {
		w.sufferingSince = p.now
	}
	return p.now.Sub(w.sufferingSince) > longSuffering
}

// tightest returns the serving image on a worker that is expected to have the least
// slack with all scavengers at full pace, and how much these take.
func (p *Planner) tightest(w *worker) (serving identifier.Image, loss estimator.Slack) {
	least := estimator.Slack(0)
	for image := range w.servingByImage {
		l := caution * p.estimator.ExpectedLoss(image, w.scavengerShares)
		slack := w.baseSlack(image) - l
		if serving == "" || slack < least || slack == least && image < serving {
			least, serving, loss = slack, image, l
		}
	}
	return serving, loss
}

// slowDown gives slack back to a serving image by slowing a worker's scavengers.
func (p *Planner) slowDown(w *worker, serving identifier.Image, lacking estimator.Slack) {
	for _, image := range p.byPressure(w, serving) {
		part := caution * p.estimator.ExpectedLoss(serving, estimator.Load{image: w.scavengerShares[image]})
		if part <= 0 || lacking <= 0 {
			p.paceImage(w, image, serving, fullPace)
			continue
		}
		left := int(max(1-lacking/part, 0)*fullPace) / paceStep * paceStep
		if left < leastPace && p.estimator.Interference(serving, image) < harmfulPressure {
			left = leastPace
		}
		lacking -= part
		p.paceImage(w, image, serving, left)
	}
}

// byPressure returns the scavenger images on a worker, those of the greatest
// pressure on a serving image first.
func (p *Planner) byPressure(w *worker, serving identifier.Image) []identifier.Image {
	images := make([]identifier.Image, 0, len(w.scavengersByImage))
	for image := range w.scavengersByImage {
		images = append(images, image)
	}
	slices.SortFunc(images, func(a, b identifier.Image) int {
		return cmp.Or(cmp.Compare(p.estimator.Interference(serving, b), p.estimator.Interference(serving, a)), cmp.Compare(a, b))
	})
	return images
}

// letGo lifts all paces on a worker.
func (p *Planner) letGo(w *worker) {
	for image := range w.scavengersByImage {
		p.paceImage(w, image, "", fullPace)
	}
}

// paceImage sets the pace of the scavengers of an image on a worker, for the sake
// of a serving image. Those that would hardly go on are evicted; until they have
// stopped they are held still.
func (p *Planner) paceImage(w *worker, image, serving identifier.Image, percent int) {
	for _, r := range w.runs {
		step := r.task.group.step
		if !step.Scavenger || step.Image != image || r.phase != runActive || r.unwanted {
			continue
		}
		if percent < leastPace {
			p.log.RunEvicted(r.id, w.id, serving, w.slack)
			p.setPace(r, 0)
			p.evict(r)
			continue
		}
		p.setPace(r, percent)
	}
}

// setPace asks for a pace unless the run has it.
func (p *Planner) setPace(r *run, percent int) {
	if r.pace == percent {
		return
	}
	r.pace = percent
	p.emit(PaceRun{To: r.worker.target(), Run: r.id, Percent: percent, Epoch: p.epochOf(r.worker)})
}

func (p *Planner) paceAnswered(e PaceAnswered) {
	r := p.findRun(e.Worker, e.Run)
	if r == nil || r.pace != e.Percent {
		return
	}
	if e.Err != nil || e.Answer.Verdict != connector.VerdictOK {
		r.pace = unknownPace
	}
}

// evictScavengers evicts every scavenger from a worker whose tails stay too long,
// whatever is expected of them, and lets none in for a while.
func (p *Planner) evictScavengers(w *worker, serving identifier.Image) {
	w.sufferingSince = time.Time{}
	w.quietUntil = p.now.Add(quietTime)
	p.healths.markChanged(w.id)
	for image := range w.scavengersByImage {
		p.paceImage(w, image, serving, 0)
	}
}
