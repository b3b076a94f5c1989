package intake

import (
	"github.com/balsamcove/balsamcove/internal/connector"
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
