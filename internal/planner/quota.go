package planner

import (
	"fmt"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

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
}

// teams are the teams that have jobs in the cell.
type teams struct {
	byName map[identifier.Team]*team
	// version is the version of the configuration that they were last updated from.
	version identifier.ConfigVersion
}

// teamOf returns the team with a name, or nil for an empty name.
func (p *Planner) teamOf(name identifier.Team) *team {
	if name == "" {
		return nil
	}
	t, ok := p.teams.byName[name]
	if !ok {
		t = &team{name: name, config: connector.TeamConfig{Weight: 1}}
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
	}
}

// countUsage adds the size of a run to the usage of its team if sign is 1, and subtracts it if -1.
func countUsage(r *run, sign int) {
	t := r.task.group.job.team
	if t == nil {
		return
	}
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
	case t == nil:
		return true
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
	return t != nil && t.runs > 1 && !connector.WithinLimit(t.used, t.limit)
}

// explainQuota says what the limit of a team leaves to its jobs.
func (t *team) explainQuota() string {
	return fmt.Sprintf("team %s waits for its quota: it runs %d millicores, %d MiB and %d accelerators, and may run %s here",
		t.name, t.used.Processors, t.used.Memory, t.used.Accelerators, connector.DescribeLimit(t.limit))
}

// TeamStats is the usage of a team in a cell.
type TeamStats struct {
	Team   identifier.Team `json:"team"`
	Weight float64         `json:"weight"`
	// Limit is the cell's share of the team's limit; a resource of zero has no limit.
	Limit identifier.Size `json:"limit"`
	Used  identifier.Size `json:"used"`
	Runs  int             `json:"runs"`
	// ReadyTasks are the tasks that wait for a worker or for the limit.
	ReadyTasks int `json:"readyTasks"`
}

// TeamStats returns the usage of all teams that have jobs, in no particular order.
func (p *Planner) TeamStats() []TeamStats {
	ready := map[*team]int{}
	for j := range p.waiting {
		ready[j.team] += j.readyTasks
	}
	out := make([]TeamStats, 0, len(p.teams.byName))
	for _, t := range p.teams.byName {
		out = append(out, TeamStats{t.name, t.config.Weight, t.limit, t.used, t.runs, ready[t]})
	}
	return out
}
