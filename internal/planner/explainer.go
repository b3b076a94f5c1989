package planner

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// obstacle is the reason why a task cannot be placed on a worker now. It completes the phrase "N
// workers ...".
type obstacle string

// The obstacles. Their texts appear in explanations for callers and in log lines.
const (
	obstacleNone          obstacle = ""
	obstacleService       obstacle = "serve another service"
	obstacleSilent        obstacle = "do not answer"
	obstacleUnreadable    obstacle = "have an entry that cannot be read"
	obstacleOutdatedEntry obstacle = "have restarted since their entry was written"
	obstacleDraining      obstacle = "are draining"
	obstacleEvacuated     obstacle = "are in an evacuated data centre"
	obstacleQuarantine    obstacle = "are in quarantine"
	obstacleSpare         obstacle = "have no processors to spare for scavengers"
	obstacleTailHigh      obstacle = "run tasks whose tail is too long, or was until just now"
	obstacleSlack         obstacle = "run tasks whose tail it would lengthen too much"
	obstacleExploring     obstacle = "run tasks beside which its image is tried elsewhere"
	obstacleHarmful       obstacle = "run tasks that its image is known to harm"
	obstacleRoom          obstacle = "have no room"
	obstacleShortage      obstacle = "have room for which tasks that end wait"
	obstacleHeadroom      obstacle = "have room that is kept for tasks that end"
	obstacleLabel         obstacle = "lack the label"
	obstacleSpread        obstacle = "run as many tasks of the step as are allowed"
	obstacleAdvice        obstacle = "are ruled out by the adviser"
	obstaclePermit        obstacle = "have no permit of the adviser yet"
	obstacleVacated       obstacle = "are vacated for another cell"
)

// Explain returns the state of a job and the reasons why its tasks wait, for the caller; ok is
// false for an unknown job.
func (p *Planner) Explain(id identifier.Job) (e submitter.Explanation, ok bool) {
	j, ok := p.jobs[id]
	if !ok {
		return submitter.Explanation{}, false
	}
	e.Report = reportOf(j)
	if j.state.Ended() {
		e.Reasons = append(e.Reasons, fmt.Sprintf("it is %s since %s", j.state, j.endedAt.UTC().Format("15:04:05.000")))
		return e, true
	}
	if j.def.Schedule != nil && j.nextOccurrence < j.occurrenceCount() {
		due := j.def.Schedule.Due(j.nextOccurrence).UTC()
		e.Reasons = append(e.Reasons, fmt.Sprintf("occurrence %d is due at %s", j.nextOccurrence, due.Format("2006-01-02 15:04:05")))
	}
	for _, k := range slices.Sorted(maps.Keys(j.occurrences)) {
		for _, g := range j.occurrences[k] {
			e.Reasons = append(e.Reasons, p.explainGroup(g)...)
		}
	}
	return e, true
}

// explainGroup returns what the unfinished tasks of a step wait for, and where others run.
func (p *Planner) explainGroup(g *taskGroup) []string {
	var reasons []string
	prefix := fmt.Sprintf("step %d", g.index)
	if !dependenciesDone(g.job.occurrences[g.occurrence], g) {
		return append(reasons, fmt.Sprintf("%s waits for steps %v", prefix, g.step.After))
	}
	if g.readyTasks > 0 && !p.directoryFresh() {
		return append(reasons, fmt.Sprintf("%s: nothing starts, since the configuration was last read %s ago and the workers %s ago",
			prefix, p.now.Sub(p.directory.ConfigReadAt), p.now.Sub(p.directory.WorkersReadAt)))
	}
	if t := g.firstReady(); t != nil {
		reasons = append(reasons, fmt.Sprintf("%s: %d of %d tasks wait for a worker; %s", prefix, g.readyTasks, len(g.tasks), p.explainTask(t)))
	}
	for _, s := range []struct {
		text  string
		match func(*run) bool
	}{{"runs", (*run).shownRunning}, {"is about to start", (*run).isStarting}, {"may have begun", (*run).isDoubtful}} {
		if workers := g.workerNames(s.match); len(workers) > 0 {
			reasons = append(reasons, fmt.Sprintf("%s %s on %s", prefix, s.text, strings.Join(workers, ", ")))
		}
	}
	return reasons
}

// isStarting reports whether a run is claimed, or its start is under way.
func (r *run) isStarting() bool { return r.phase == runClaimed || r.phase == runStarting }

// isDoubtful reports whether it is not known if a run has begun or still goes on.
func (r *run) isDoubtful() bool { return !r.shownRunning() && !r.isStarting() }

// placedTogether returns how many tasks of the step are only placed at once.
func (g *taskGroup) placedTogether() int {
	if g.step.Gang {
		return len(g.tasks)
	}
	return 1
}

// firstReady returns the first task that waits for a worker, or nil.
func (g *taskGroup) firstReady() *task {
	for i := range g.tasks {
		if g.tasks[i].phase == taskReady {
			return &g.tasks[i]
		}
	}
	return nil
}

// workerNames returns the ids of the workers with matching runs of a group, in order.
func (g *taskGroup) workerNames(match func(*run) bool) []string {
	found := map[string]bool{}
	for i := range g.tasks {
		for _, r := range g.tasks[i].runs {
			if match(r) {
				found[string(r.worker.id)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// explainTask counts the workers by the obstacle that keeps a task from them.
func (p *Planner) explainTask(t *task) string {
	if g := t.group; !p.quotaAdmits(g.job, g.step.Size, g.placedTogether()) {
		return g.job.team.explainQuota()
	}
	if n := t.group.nearWaits; n > 0 {
		return fmt.Sprintf("%d of them wait for rack %s, where they end sooner", n, t.group.step.DataRack)
	}
	d := p.demandOf(t, p.patience(t.group))
	counts := map[obstacle]int{}
	for _, w := range p.workers {
		counts[p.placementObstacle(t, w, d)]++
	}
	delete(counts, obstacleService)
	if n := counts[obstacleNone]; n > 0 {
		return fmt.Sprintf("%d workers would take one", n)
	}
	var parts []string
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d workers %s", counts[o], o))
	}
	if len(parts) == 0 {
		return fmt.Sprintf("service %s has no worker", d.service)
	}
	return strings.Join(parts, ", ")
}
