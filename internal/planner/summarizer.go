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

// sampledSteps is how many steps of waiting scavengers a summary compares with all workers.
const sampledSteps = 4

// ScavengerWait says how many scavengers wait and what keeps them from the workers.
type ScavengerWait struct {
	// Tasks of Steps steps wait, Patient of them only for a place where they harm nobody,
	// and the oldest has waited for Oldest.
	Tasks, Steps, Patient int
	Oldest                time.Duration
	// Spare are the processors that usable workers are expected to have left for scavengers.
	Spare identifier.Millicores
	// Reason counts the workers by what keeps a step from them, as the mean of a few steps.
	Reason string
	// Observed counts the tails since the last summary beside scavengers that are known.
	// ExpectedLoss and ObservedLoss are the mean slack that these should have taken and took.
	Observed                   int
	ExpectedLoss, ObservedLoss float64
}

// scavengerSummary is what a summary of waiting scavengers needs besides the present state.
type scavengerSummary struct {
	since              time.Time
	observed           int
	expected, measured estimator.Slack
}

// observe notes how much slack known scavengers were expected to take from a tail, and took.
func (s *scavengerSummary) observe(expected, measured estimator.Slack) {
	s.observed++
	s.expected += expected
	s.measured += measured
}

// mean returns the mean, in hundredths, of a sum over the tails that were observed.
func (s *scavengerSummary) mean(sum estimator.Slack) float64 {
	return math.Round(100*float64(sum)/float64(max(s.observed, 1))) / 100
}

// logScavengerWait logs once a second what keeps scavengers from the workers, if some have
// waited for long.
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

// scavengerWait sums up the scavengers that wait.
func (p *Planner) scavengerWait() ScavengerWait {
	w := ScavengerWait{
		Observed: p.scavengerSummary.observed, ExpectedLoss: p.scavengerSummary.mean(p.scavengerSummary.expected), ObservedLoss: p.scavengerSummary.mean(p.scavengerSummary.measured),
	}
	var sample []*task
	for j := range p.waiting {
		for _, groups := range j.occurrences {
			for _, g := range groups {
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
	}
	for _, worker := range p.workerList {
		if p.usable(worker) {
			w.Spare += worker.spare()
		}
	}
	w.Reason = p.meanObstacles(sample)
	return w
}

// add counts the tasks of a step whose first ready task is t.
func (w *ScavengerWait) add(now time.Time, t *task, patience time.Duration) {
	waited := now.Sub(t.readyAt)
	w.Steps++
	w.Tasks += t.group.readyTasks
	w.Oldest = max(w.Oldest, waited)
	if waited < patience {
		w.Patient += t.group.readyTasks
	}
}

// meanObstacles counts the workers by what keeps tasks from them, as the mean of the tasks.
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
