package planner

import (
	"testing"

	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestEstimatesCoverImagesThatStartToServeWithinAPass checks that the cached estimates of a
// scavenger follow the images served on a worker within one scheduling pass.
func TestEstimatesCoverImagesThatStartToServeWithinAPass(t *testing.T) {
	const scavenger, use = "fills", 0.1
	b := newTestbed(t, workerEntry("w"))
	w := b.p.ensureWorker("w")
	interferences := []estimator.Interference{1, 12, 3}
	images := []identifier.Image{"first", "second", "third"}
	want := ampleSlack
	for i, image := range images {
		b.p.estimator.Set(image, scavenger, interferences[i])
		b.p.countImage(w, &submitter.Step{LongRunning: true, TailTarget: 1, Image: image}, 1)
		want = min(want, defaultSlack-lossMargin*estimator.Slack(use*float64(interferences[i])))
		if got := b.p.expectedSlack(w, scavenger, use); got != want {
			t.Errorf("%d images serve: slack %v expected, want %v", i+1, got, want)
		}
		if harms := b.p.harmsOn(w, scavenger); harms != (i > 0) {
			t.Errorf("%d images serve: harmsOn returned %v", i+1, harms)
		}
	}
	b.p.countImage(w, &submitter.Step{LongRunning: true, TailTarget: 1, Image: "second"}, -1)
	if b.p.harmsOn(w, scavenger) {
		t.Error("harmsOn counts an image that no longer serves")
	}
}
