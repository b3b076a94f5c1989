package intake

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// CheckLimit refuses a job of which a task, or all tasks of a gang, can never run within the limit
// of its team. The error is a *refuser.Refusal with CodeNeverFits.
func (s *Service) CheckLimit(job submitter.Job, team connector.TeamConfig) error {
	for i, step := range job.Steps {
		size, limit, what := step.Size, team.Limit, "a task"
		if step.Gang {
			size, limit, what = step.Size.Times(step.Count), team.Share(s.cells), "the gang"
		}
		if !connector.WithinLimit(size, limit) {
			return refuser.New(refuser.CodeNeverFits, "%s of step %d needs %s, the team may run %s at once", what, i, size, connector.DescribeLimit(limit))
		}
	}
	return nil
}

// teamsRequest asks a cell's holder for the usage of teams.
type teamsRequest struct {
	Cell identifier.Cell `json:"cell"`
}

// Teams returns the usage of all teams over all cells, ordered by name.
func (s *Service) Teams(ctx context.Context) ([]submitter.TeamUsage, error) {
	sums := map[identifier.Team]submitter.TeamUsage{}
	for cell := range identifier.Cell(s.cells) {
		var out []submitter.TeamUsage
		err := s.queryHolder(ctx, cell, func(_ context.Context, h Holder) error {
			var err error
			out, err = h.Teams()
			return err
		}, messenger.MethodTeams, teamsRequest{cell}, &out)
		if err != nil {
			return nil, err
		}
		for _, u := range out {
			sum := sums[u.Team]
			sums[u.Team] = submitter.TeamUsage{
				Team: u.Team, Used: sum.Used.Add(u.Used), Runs: sum.Runs + u.Runs, ReadyTasks: sum.ReadyTasks + u.ReadyTasks,
			}
		}
	}
	all := make([]submitter.TeamUsage, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		all = append(all, sums[name])
	}
	return all, nil
}

func (s *Service) handleTeams(params json.RawMessage) (any, error) {
	var in teamsRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, refuser.New(refuser.CodeInvalid, "%v", err)
	}
	return answerLocally(s, in.Cell, Holder.Teams)
}
