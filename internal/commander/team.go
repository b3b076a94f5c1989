package commander

import (
	"fmt"
	"slices"

	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// teamCommands holds the commands for the teams of scheduling hosts.
type teamCommands struct {
	List teamListCommand `cmd:"" help:"List teams with their limits and what they use."`
	Show teamShowCommand `cmd:"" help:"Show a team."`
}

type teamListCommand struct{}

// Run lists the teams.
func (c *teamListCommand) Run(s *session) error {
	out, err := s.teams()
	if err != nil {
		return err
	}
	return s.print(out, func() { s.printTeams(out.Teams) })
}

type teamShowCommand struct {
	Team string `arg:"" help:"Team."`
}

// Run shows a team.
func (c *teamShowCommand) Run(s *session) error {
	out, err := s.teams()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(out.Teams, func(r submitter.TeamReport) bool { return r.Team == identifier.Team(c.Team) })
	if i < 0 {
		return refuser.New(refuser.CodeNotFound, "there is no team %q", c.Team)
	}
	r := out.Teams[i]
	return s.print(r, func() {
		s.printTeams([]submitter.TeamReport{r})
		if !r.InForce {
			s.printLine("the configuration in force does not contain the team; its keys are refused and its accepted jobs go on")
		}
	})
}

// teams returns the reports of all teams.
func (s *session) teams() (submitter.TeamReports, error) {
	cl, err := s.newClient()
	if err != nil {
		return submitter.TeamReports{}, err
	}
	return cl.Teams(s.ctx)
}

func (s *session) printTeams(teams []submitter.TeamReport) {
	rows := make([][]any, 0, len(teams))
	for _, r := range teams {
		rows = append(rows, []any{
			r.Team, r.Weight, ofLimit(r.Used.Processors, r.Limit.Processors), ofLimit(r.Used.Memory, r.Limit.Memory),
			ofLimit(r.Used.Accelerators, r.Limit.Accelerators), r.Runs, r.ReadyTasks,
		})
	}
	s.printTable([]any{"TEAM", "WEIGHT", "MILLICORES", "MIB", "ACCELERATORS", "RUNS", "WAITING TASKS"}, rows)
}

// ofLimit formats what is used of a limit; zero is no limit.
func ofLimit[N ~int64](used, limit N) string {
	if limit == 0 {
		return fmt.Sprint(int64(used))
	}
	return fmt.Sprintf("%d of %d", used, limit)
}
