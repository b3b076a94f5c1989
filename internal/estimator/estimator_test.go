package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestHarmfulPairsAreIdentified simulates a minute of 40 workers, on each of which scavengers
// of three images run next to a serving task. The slack varies with the load of the service,
// and its measurements are noisy and contain outliers.
func TestHarmfulPairsAreIdentified(t *testing.T) {
	const (
		servings   = 5
		scavengers = 9
		workers    = 40
		// harmful is the interference from which the planner separates a pair.
		harmful = 4
	)
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			truth := map[pair]float64{}
			for s := range servings {
				for i, c := range r.Perm(scavengers) {
					p := pair{image("s", s), image("c", c)}
					truth[p] = r.Float64()
					if i < 4 {
						truth[p] = 6 + 12*r.Float64()
					}
				}
			}
			e := New()
			now := time.UnixMilli(0)
			for range 120 {
				now = now.Add(500 * time.Millisecond)
				for range workers {
					observe(e, r, now, image("s", r.IntN(servings)), truth, scavengers)
				}
			}
			misclassified := 0
			for p, interference := range truth {
				if judgedHarmful := e.Interference(p.serving, p.scavenger) >= harmful; judgedHarmful != (interference >= harmful) {
					misclassified++
				}
			}
			if limit := servings * scavengers / 10; misclassified > limit {
				t.Errorf("%d of %d pairs are misclassified, want at most %d", misclassified, servings*scavengers, limit)
			}
		})
	}
}

func image(kind string, n int) identifier.Image { return identifier.Image(fmt.Sprint(kind, n)) }

// observe makes one observation of a worker with three scavenger images. The interference
// varies by half, the slack without scavengers is known to within a twentieth, and one in
// thirty observations is an outlier of half the slack.
func observe(e *Estimator, r *rand.Rand, now time.Time, serving identifier.Image, truth map[pair]float64, scavengers int) {
	l := Load{}
	without := 1.6 + 2.2*r.Float64()
	observed := without * (0.95 + 0.1*r.Float64())
	for _, c := range r.Perm(scavengers)[:3] {
		scavenger := image("c", c)
		l[scavenger] = 0.05 + 0.1*r.Float64()
		observed -= truth[pair{serving, scavenger}] * (0.5 + r.Float64()) * l[scavenger]
	}
	if r.IntN(30) == 0 {
		observed /= 2
	}
	e.Learn(now, serving, Slack(without), Slack(max(observed, 0.05)), l)
}

// TestEstimateConvergesInFewObservations checks how soon a scavenger that is alone with a
// serving task is classified as harmful or harmless, and that a single observation without
// interference does not clear a harmful one.
func TestEstimateConvergesInFewObservations(t *testing.T) {
	l := Load{"c": 0.1}
	learn := func(e *Estimator, n int, observed Slack) {
		for range n {
			e.Learn(time.UnixMilli(0).Add(time.Duration(e.pairs[pair{"s", "c"}].samples+1)*minUpdateInterval), "s", 3, observed, l)
		}
	}
	tests := map[string]struct {
		observe   func(e *Estimator)
		low, high Interference
		known     bool
	}{
		"no observation":        {func(*Estimator) {}, PriorInterference, PriorInterference, false},
		"harmful, twice":        {func(e *Estimator) { learn(e, 2, 1.5) }, 8, 16, false},
		"harmless, twice":       {func(e *Estimator) { learn(e, 2, 2.95) }, 0, 1.5, false},
		"known":                 {func(e *Estimator) { learn(e, minSamples, 2.95) }, 0, 1, true},
		"harmful, then quiet":   {func(e *Estimator) { learn(e, 6, 1.5); learn(e, 1, 2.95) }, 8, 16, true},
		"harmful, quiet for 6s": {func(e *Estimator) { learn(e, 6, 1.5); learn(e, 24, 2.95) }, 0, 4, true},
		"harmless, then harm":   {func(e *Estimator) { learn(e, 6, 2.95); learn(e, 2, 1) }, 8, 25, true},
		"same tail latency": {func(e *Estimator) {
			for range 10 {
				e.Learn(time.UnixMilli(0), "s", 3, 1.5, l)
			}
		}, 8, 16, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := New()
			tt.observe(e)
			if got := e.Interference("s", "c"); got < tt.low || got > tt.high || e.Known("s", "c") != tt.known {
				t.Errorf("interference %.2f (known %v), want %v to %v (%v)", got, e.Known("s", "c"), tt.low, tt.high, tt.known)
			}
		})
	}
}

func TestRecordsRestoreEstimates(t *testing.T) {
	e := New()
	e.Set("s", "c", 7)
	restored := New()
	restored.Restore(e.Records())
	if got := restored.Interference("s", "c"); got != 7 || !restored.Known("s", "c") {
		t.Errorf("interference %v, want 7 and known", got)
	}
	if got := restored.ExpectedLoss("s", Load{"c": 0.2}); got < 1.39 || got > 1.41 {
		t.Errorf("loss %v, want 1.4", got)
	}
}

// TestBaseline checks that one task with an outlying tail latency does not distort the
// baseline, and that old observations expire.
func TestBaseline(t *testing.T) {
	now := time.UnixMilli(0)
	var b Baseline
	if _, _, ok := b.Slack(now); ok {
		t.Error("slack known before anything was observed")
	}
	for task, slack := range []Slack{2, 2.1, 0.7, 1.9} {
		b.Observe(now, task, slack)
	}
	if got, fresh, ok := b.Slack(now); got < 1.9 || got > 2.1 || !fresh || !ok {
		t.Errorf("slack %v (fresh %v, known %v), want about 2", got, fresh, ok)
	}
	if _, fresh, ok := b.Slack(now.Add(2 * observationTTL)); fresh || !ok {
		t.Errorf("after a while fresh %v, known %v, want false and true", fresh, ok)
	}
	if _, _, ok := b.Slack(now.Add(2 * baselineTTL)); ok {
		t.Error("slack known long after the last observation")
	}
	b.Observe(now.Add(2*observationTTL), 0, 3)
	if got, _, _ := b.Slack(now.Add(2 * observationTTL)); got != 3 {
		t.Errorf("slack %v, want that of the only recent observation", got)
	}
}
