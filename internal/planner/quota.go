package planner

import (
	"fmt"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// defaultWeight is the weight of a team whose configuration is not known or gives none.
const defaultWeight = 1

// team is what the planner knows of a team that has submitted jobs.
type team struct {
	name   identifier.Team
	config connector.TeamConfig
	// known is set once a configuration has contained the team. A team that was dropped from it keeps
	// its last limit for the jobs that were accepted.
	known bool
	// limit is the cell's share of the team's limit; a resource of zero has no limit.
	limit identifier.Size
	// used is what the team's runs reserve on all workers of the cell, scavengers with their
	// processors, and runs their number. Both include claims, runs of unknown outcome and runs that
	// are being stopped.
	used identifier.Size
	runs int
	// submitted counts the jobs by the second of their acceptance.
	submitted map[int64]int
	// claim is the team's part in the last division of the cell.
	claim claimant
}

// teams are the teams that have jobs in the cell.
type teams struct {
	byName map[identifier.Team]*team
	// none stands for the team of jobs whose team is not known; it has no limit.
	none *team
	// version is the version of the configuration that they were last updated from.
	version identifier.ConfigVersion
	// pass counts the divisions of the cell, and claims is reused by them.
	pass   uint64
	claims []*claimant
}

func newTeams() teams {
	return teams{byName: map[identifier.Team]*team{}, none: &team{known: true}}
}

// teamOf returns the team with a name; an empty name has none.
func (p *Planner) teamOf(name identifier.Team) *team {
	if name == "" {
		return p.teams.none
	}
	t, ok := p.teams.byName[name]
	if !ok {
		t = &team{name: name, config: connector.TeamConfig{Weight: defaultWeight}, submitted: map[int64]int{}}
		p.teams.byName[name] = t
		p.updateTeam(t)
	}
	return t
}

// updateTeams applies the teams of the directory.
func (p *Planner) updateTeams() {
	if p.teams.version == p.directory.Version {
		return
	}
	p.teams.version = p.directory.Version
	for _, t := range p.teams.byName {
		p.updateTeam(t)
	}
}

func (p *Planner) updateTeam(t *team) {
	if cfg, ok := p.directory.Teams[t.name]; ok {
		t.config, t.known = cfg, true
		t.limit = cfg.Share(p.settings.Cells)
		if t.config.Weight <= 0 {
			t.config.Weight = defaultWeight
		}
	}
}

// countUsage adds the size of a run to the usage of its team if sign is 1, and subtracts it if -1.
func countUsage(r *run, sign int) {
	t := r.task.group.job.team
	t.runs += sign
	if sign > 0 {
		t.used = t.used.Add(r.size)
		return
	}
	t.used = t.used.Sub(r.size)
}

// quotaAdmits reports whether the limit of a job's team leaves room for n more tasks of a size. One
// task is always admitted while nothing else of the team runs, since the limit may have been lowered
// after the job was accepted.
func (p *Planner) quotaAdmits(j *job, size identifier.Size, n int) bool {
	t := j.team
	switch {
	case !t.known && j.configVersion > p.directory.Version:
		// The limit is in a configuration that this host has not read yet.
		return false
	case n == 1 && t.runs == 0:
		return true
	default:
		return connector.WithinLimit(t.used.Add(size.Times(n)), t.limit)
	}
}

// exceedsQuota reports whether a team runs more than its limit, which was lowered, if the run is
// one of several.
func exceedsQuota(r *run) bool {
	t := r.task.group.job.team
	return t.runs > 1 && !connector.WithinLimit(t.used, t.limit)
}

// explainQuota says what the limit of a team leaves to its jobs.
func (t *team) explainQuota() string {
	return fmt.Sprintf("team %s waits for its quota: it runs %d millicores, %d MiB and %d accelerators, and may run %s here",
		t.name, t.used.Processors, t.used.Memory, t.used.Accelerators, connector.DescribeLimit(t.limit))
}

// Teams returns the usage of all teams that have or had jobs, in no particular order.
func (p *Planner) Teams() []submitter.TeamUsage {
	ready := map[*team]int{}
	for j := range p.waiting {
		ready[j.team] += j.readyTasks
	}
	out := make([]submitter.TeamUsage, 0, len(p.teams.byName))
	for _, t := range p.teams.byName {
		out = append(out, submitter.TeamUsage{Team: t.name, Used: t.used, Runs: t.runs, ReadyTasks: ready[t]})
	}
	return out
}

// quotaTasks returns how many ready tasks of a job wait for the limit of its team.
func (p *Planner) quotaTasks(j *job) int {
	n := 0
	for g := range j.groups() {
		if g.readyTasks > 0 && !p.quotaAdmits(j, g.step.Size, g.placedTogether()) {
			n += g.readyTasks
		}
	}
	return n
}
