package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// A pace is the share of its processors, in percent, that a run may use.
const (
	// fullPace is the pace of a run that is not slowed down.
	fullPace = 100
	// paceStep is the granularity of paces.
	paceStep = 10
	// minPace is the lowest pace; a scavenger that would need a lower one is evicted.
	minPace = 20
	// unknownPace stands for the pace of a run which an earlier holder may have slowed down, or
	// whose last change of pace had no answer.
	unknownPace = -1
	// throttleSlack is the expected slack below which scavengers are slowed down, and restoreSlack
	// the one from which they get back their full pace. The gap between them prevents flapping.
	throttleSlack estimator.Slack = 1.15
	restoreSlack  estimator.Slack = 1.3
	// targetSlack is the slack of a tail latency that is just at its target. With less observed, no
	// scavenger is placed on the worker and those there are slowed down, whatever slack is
	// expected.
	targetSlack estimator.Slack = 1
	// recoveredSlack is the observed slack from which tail latencies no longer count as above their
	// targets. It is higher than targetSlack because observations are noisy.
	recoveredSlack estimator.Slack = 1.15
	// maxTailHighTime is how long a tail latency may stay above its target before every scavenger
	// on the worker is evicted. A stop and the delay of reports take about 1.5 s more, and a tail
	// latency above its target for 4 s counts as harm.
	maxTailHighTime = 1600 * time.Millisecond
	// scavengerBarTime is how long no scavenger is placed on a worker after such an eviction.
	scavengerBarTime = 1500 * time.Millisecond
)

// adjustPaces slows the scavengers on a worker down as far as its serving tasks need it, those with
// the greatest interference first, and restores their pace once there is slack to spare.
func (p *Planner) adjustPaces(w *worker) {
	if len(w.scavengersByImage) == 0 {
		w.tailHighSince = time.Time{}
		return
	}
	serving, loss := p.tightestImage(w)
	if p.tailHighTooLong(w) {
		p.evictScavengers(w, serving)
		return
	}
	expected := w.baselineSlack(serving) - loss
	switch {
	case expected < throttleSlack:
		p.throttle(w, serving, throttleSlack-expected)
	case w.slack < targetSlack:
		// The estimates do not explain the observed slack: give back half of the expected loss.
		p.throttle(w, serving, loss/2)
	case expected >= restoreSlack:
		p.restorePaces(w)
	}
}

// tailHighTooLong tracks since when the observed slack of a worker has been below targetSlack, and
// reports whether that is longer than maxTailHighTime.
func (p *Planner) tailHighTooLong(w *worker) bool {
	if w.slack >= recoveredSlack {
		w.tailHighSince = time.Time{}
	}
	if w.slack >= targetSlack {
		return false
	}
	if w.tailHighSince.IsZero() {
		w.tailHighSince = p.now
	}
	return p.now.Sub(w.tailHighSince) > maxTailHighTime
}

// tightestImage returns the serving image on a worker with the least expected slack if all
// scavengers run at full pace, and how much slack they take from it.
func (p *Planner) tightestImage(w *worker) (serving identifier.Image, loss estimator.Slack) {
	least := estimator.Slack(0)
	for image := range w.servingByImage {
		imageLoss := lossMargin * p.estimator.ExpectedLoss(image, w.scavengerShares)
		slack := w.baselineSlack(image) - imageLoss
		if serving == "" || slack < least || slack == least && image < serving {
			least, serving, loss = slack, image, imageLoss
		}
	}
	return serving, loss
}

// throttle slows scavengers of a worker down until a serving image gets back the missing slack. An
// image that would need less than minPace is evicted only if its interference is harmful.
func (p *Planner) throttle(w *worker, serving identifier.Image, missing estimator.Slack) {
	for _, image := range p.byInterference(w, serving) {
		imageLoss := lossMargin * p.estimator.ExpectedLoss(serving, estimator.Load{image: w.scavengerShares[image]})
		if imageLoss <= 0 || missing <= 0 {
			p.paceImage(w, image, serving, fullPace)
			continue
		}
		pace := int(max(1-missing/imageLoss, 0)*fullPace) / paceStep * paceStep
		if pace < minPace && p.estimator.Interference(serving, image) < harmfulInterference {
			pace = minPace
		}
		missing -= imageLoss
		p.paceImage(w, image, serving, pace)
	}
}

// byInterference returns the scavenger images on a worker, those with the greatest interference
// with a serving image first.
func (p *Planner) byInterference(w *worker, serving identifier.Image) []identifier.Image {
	images := make([]identifier.Image, 0, len(w.scavengersByImage))
	for image := range w.scavengersByImage {
		images = append(images, image)
	}
	slices.SortFunc(images, func(a, b identifier.Image) int {
		return cmp.Or(cmp.Compare(p.estimator.Interference(serving, b), p.estimator.Interference(serving, a)), cmp.Compare(a, b))
	})
	return images
}

// restorePaces sets all scavengers on a worker to full pace.
func (p *Planner) restorePaces(w *worker) {
	for image := range w.scavengersByImage {
		p.paceImage(w, image, "", fullPace)
	}
}

// paceImage sets the pace of the scavengers of an image on a worker, for the benefit of a serving
// image. Below minPace it evicts them, and pauses them until they have stopped or get a higher pace.
func (p *Planner) paceImage(w *worker, image, serving identifier.Image, percent int) {
	for _, r := range w.runs {
		step := r.task.group.step
		if !step.Scavenger || step.Image != image || r.phase != runActive || r.unwanted {
			continue
		}
		if percent < minPace {
			p.setPace(r, 0)
			if p.evict(r) {
				p.log.RunEvicted(r.id, w.id, serving, w.slack)
			}
			continue
		}
		p.setPace(r, percent)
	}
}

// setPace sends a new pace to a run, unless it has that pace already.
func (p *Planner) setPace(r *run, percent int) {
	if r.pace == percent {
		return
	}
	r.pace = percent
	p.emit(PaceRun{To: r.worker.target(), Run: r.id, Percent: percent, Epoch: p.epochOf(r.worker)})
}

// paceAnswered handles the answer to a change of pace. After a failure the pace is unknown, so that
// the next call of setPace sends one again.
func (p *Planner) paceAnswered(e PaceAnswered) {
	r := p.findRun(e.Worker, e.Run)
	if r == nil || r.pace != e.Percent {
		return
	}
	if e.Err != nil || e.Answer.Verdict != connector.VerdictOK {
		r.pace = unknownPace
	}
}

// evictScavengers evicts all scavengers from a worker whose tail latencies stayed above their
// targets, whatever the estimates say, and bars new ones for scavengerBarTime.
func (p *Planner) evictScavengers(w *worker, serving identifier.Image) {
	w.tailHighSince = time.Time{}
	w.scavengersBarredUntil = p.now.Add(scavengerBarTime)
	p.healthRecords.markChanged(w.id)
	for image := range w.scavengersByImage {
		p.paceImage(w, image, serving, 0)
	}
}
