package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// TestPairsAreToldApart plays a minute of 40 workers on which scavengers of
// three images run beside one that serves. Slack falls and rises with the load of
// the service, is observed roughly, and now and then low by chance.
func TestPairsAreToldApart(t *testing.T) {
	const (
		servings   = 5
		scavengers = 9
		workers    = 40
		// harmful is the pressure that the planner keeps apart.
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
			m := New()
			now := time.UnixMilli(0)
			for range 120 {
				now = now.Add(500 * time.Millisecond)
				for range workers {
					observe(m, r, now, image("s", r.IntN(servings)), truth, scavengers)
				}
			}
			wrong := 0
			for p, pressure := range truth {
				if guilty := m.Interference(p.serving, p.scavenger) >= harmful; guilty != (pressure >= harmful) {
					wrong++
				}
			}
			if most := servings * scavengers / 10; wrong > most {
				t.Errorf("%d of %d pairs are judged wrongly, want at most %d", wrong, servings*scavengers, most)
			}
		})
	}
}

func image(kind string, n int) identifier.Image { return identifier.Image(fmt.Sprint(kind, n)) }

// observe makes one observation of a worker with three scavenger images. Pressures
// vary by a half, the slack without them is known within a twentieth, and one of
// thirty observations is too low without a cause.
func observe(m *Estimator, r *rand.Rand, now time.Time, serving identifier.Image, truth map[pair]float64, scavengers int) {
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
	m.Learn(now, serving, Slack(without), Slack(max(observed, 0.05)), l)
}

// TestFewObservationsTell checks how soon a scavenger that is alone beside a task
// that serves is told apart, and that one quiet moment does not clear it.
func TestFewObservationsTell(t *testing.T) {
	l := Load{"c": 0.1}
	learn := func(m *Estimator, n int, observed Slack) {
		for range n {
			m.Learn(time.UnixMilli(0).Add(time.Duration(m.pairs[pair{"s", "c"}].seen+1)*judgePause), "s", 3, observed, l)
		}
	}
	tests := map[string]struct {
		play        func(m *Estimator)
		least, most Interference
		known       bool
	}{
		"nothing seen":          {func(*Estimator) {}, PriorInterference, PriorInterference, false},
		"harmful, two looks":    {func(m *Estimator) { learn(m, 2, 1.5) }, 8, 16, false},
		"harmless, two looks":   {func(m *Estimator) { learn(m, 2, 2.95) }, 0, 1.5, false},
		"known":                 {func(m *Estimator) { learn(m, knownAfter, 2.95) }, 0, 1, true},
		"harmful, then quiet":   {func(m *Estimator) { learn(m, 6, 1.5); learn(m, 1, 2.95) }, 8, 16, true},
		"harmful, quiet for 6s": {func(m *Estimator) { learn(m, 6, 1.5); learn(m, 24, 2.95) }, 0, 4, true},
		"harmless, then harm":   {func(m *Estimator) { learn(m, 6, 2.95); learn(m, 2, 1) }, 8, 25, true},
		"repeats within a tail": {func(m *Estimator) {
			for range 10 {
				m.Learn(time.UnixMilli(0), "s", 3, 1.5, l)
			}
		}, 8, 16, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := New()
			tt.play(m)
			if got := m.Interference("s", "c"); got < tt.least || got > tt.most || m.Known("s", "c") != tt.known {
				t.Errorf("pressure %.2f (known %v), want %v to %v (%v)", got, m.Known("s", "c"), tt.least, tt.most, tt.known)
			}
		})
	}
}

func TestRecordsRestoreEstimates(t *testing.T) {
	m := New()
	m.Set("s", "c", 7)
	restored := New()
	restored.Restore(m.Records())
	if got := restored.Interference("s", "c"); got != 7 || !restored.Known("s", "c") {
		t.Errorf("pressure %v, want 7 and known", got)
	}
	if got := restored.ExpectedLoss("s", Load{"c": 0.2}); got < 1.39 || got > 1.41 {
		t.Errorf("loss %v, want 1.4", got)
	}
}

// TestBaseline checks that one task with a tail that is long by chance does not
// change what is taken for the slack of all.
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
	if _, fresh, ok := b.Slack(now.Add(2 * baselineAge)); fresh || !ok {
		t.Errorf("after a while fresh %v, known %v, want false and true", fresh, ok)
	}
	if _, _, ok := b.Slack(now.Add(2 * staleAge)); ok {
		t.Error("slack known long after the last observation")
	}
	b.Observe(now.Add(2*baselineAge), 0, 3)
	if got, _, _ := b.Slack(now.Add(2 * baselineAge)); got != 3 {
		t.Errorf("slack %v, want that of the only recent observation", got)
	}
}
