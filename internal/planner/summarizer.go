package planner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// sampledSteps is how many steps of waiting scavengers a summary checks against all workers, which
// bounds its cost.
const sampledSteps = 4

// ScavengerWait summarises the scavengers that wait and what keeps them from the workers.
type ScavengerWait struct {
	// Tasks counts the waiting tasks, of Steps steps. Patient are those that still wait for a
	// worker on which they harm no serving task, and Oldest is the longest wait.
	Tasks, Steps, Patient int
	Oldest                time.Duration
	// Spare are the processors on usable workers that scavengers are expected to find unused.
	Spare identifier.Millicores
	// Reason counts the workers by the obstacle that keeps a step from them, as the mean over a few
	// steps.
	Reason string
	// Observed counts the tail latencies observed beside known scavengers since the last summary.
	// ExpectedLoss and ObservedLoss are the mean slack that these were expected to take and took.
	Observed                   int
	ExpectedLoss, ObservedLoss float64
}

// scavengerSummary accumulates observations between two summaries.
type scavengerSummary struct {
	since                      time.Time
	observed                   int
	expectedLoss, observedLoss estimator.Slack
}

// observe adds the slack that known scavengers were expected to take from a serving image, and the
// slack that they took.
func (s *scavengerSummary) observe(expected, measured estimator.Slack) {
	s.observed++
	s.expectedLoss += expected
	s.observedLoss += measured
}

// mean returns a sum divided by the number of observations, rounded to hundredths.
func (s *scavengerSummary) mean(sum estimator.Slack) float64 {
	return math.Round(100*float64(sum)/float64(max(s.observed, 1))) / 100
}

// logScavengerWait logs once per waitLogInterval what keeps scavengers from the workers, if one has
// waited for at least minLoggedWait.
func (p *Planner) logScavengerWait() {
	if p.now.Sub(p.scavengerSummary.since) < waitLogInterval {
		return
	}
	w := p.scavengerWait()
	if w.Oldest >= minLoggedWait {
		p.log.ScavengersWait(w)
	}
	p.scavengerSummary = scavengerSummary{since: p.now}
}

// scavengerWait returns the summary of the scavengers that wait now.
func (p *Planner) scavengerWait() ScavengerWait {
	w := ScavengerWait{
		Observed: p.scavengerSummary.observed, ExpectedLoss: p.scavengerSummary.mean(p.scavengerSummary.expectedLoss), ObservedLoss: p.scavengerSummary.mean(p.scavengerSummary.observedLoss),
	}
	var sample []*task
	for j := range p.waiting {
		for g := range j.groups() {
			t := g.firstReady()
			if t == nil || !g.step.Scavenger {
				continue
			}
			w.add(p.now, t, p.patience(g))
			if len(sample) < sampledSteps {
				sample = append(sample, t)
			}
		}
	}
	for _, worker := range p.workerList {
		if p.usable(worker) {
			w.Spare += worker.spare()
		}
	}
	w.Reason = p.meanObstacles(sample)
	return w
}

// add adds a step to the counts; t is the first of its ready tasks and patience that of its group.
func (w *ScavengerWait) add(now time.Time, t *task, patience time.Duration) {
	waited := now.Sub(t.readyAt)
	w.Steps++
	w.Tasks += t.group.readyTasks
	w.Oldest = max(w.Oldest, waited)
	if waited < patience {
		w.Patient += t.group.readyTasks
	}
}

// meanObstacles counts the workers by the obstacle that keeps tasks from them, as the mean over the
// tasks.
func (p *Planner) meanObstacles(tasks []*task) string {
	counts := map[obstacle]int{}
	for _, t := range tasks {
		d := p.demandOf(t, p.patience(t.group))
		for _, w := range p.workerList {
			counts[p.placementObstacle(t, w, d)]++
		}
	}
	delete(counts, obstacleService)
	var parts []string
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		mean := float64(counts[o]) / float64(len(tasks))
		if o == obstacleNone {
			parts = append(parts, fmt.Sprintf("%.1f workers would take one", mean))
			continue
		}
		parts = append(parts, fmt.Sprintf("%.1f workers %s", mean, o))
	}
	return strings.Join(parts, ", ")
}
