package intake

import (
	"testing"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TestJobsThatNeverFitAreRefused checks which jobs are refused, as not run, by the limit of their team.
func TestJobsThatNeverFitAreRefused(t *testing.T) {
	size := identifier.Size{Processors: 1000, Memory: 2000}
	limit := func(p identifier.Millicores, m identifier.Mebibytes) identifier.Size {
		return identifier.Size{Processors: p, Memory: m}
	}
	tests := map[string]struct {
		cells   int
		step    submitter.Step
		limit   identifier.Size
		refused bool
	}{
		"no limit":               {1, submitter.Step{Count: 100, Size: size}, identifier.Size{}, false},
		"wider than the limit":   {1, submitter.Step{Count: 100, Size: size}, limit(1000, 2000), false},
		"task above the limit":   {1, submitter.Step{Count: 1, Size: size}, limit(999, 0), true},
		"memory above the limit": {1, submitter.Step{Count: 1, Size: size}, limit(0, 1999), true},
		"accelerators, no limit": {1, submitter.Step{Count: 1, Size: identifier.Size{Accelerators: 8}}, limit(1000, 2000), false},
		"gang that fits":         {1, submitter.Step{Count: 3, Size: size, Gang: true}, limit(3000, 0), false},
		"gang above the limit":   {1, submitter.Step{Count: 4, Size: size, Gang: true}, limit(3000, 0), true},
		"gang above a share":     {2, submitter.Step{Count: 3, Size: size, Gang: true}, limit(4000, 0), true},
		"task above a share":     {2, submitter.Step{Count: 1, Size: size}, limit(1500, 0), false},
		"largest gang":           {1, submitter.Step{Count: submitter.MaxTasks, Size: submitter.MaxSize, Gang: true}, limit(1, 1), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Service{cells: tt.cells}
			err := s.CheckLimit(submitter.Job{Steps: []submitter.Step{tt.step}}, connector.TeamConfig{Limit: tt.limit})
			if (err != nil) != tt.refused {
				t.Fatalf("error %v", err)
			}
			if r := refuser.From(err); err != nil && (r.Code != refuser.CodeNeverFits || r.Effect != refuser.NotRun) {
				t.Errorf("refusal %+v", r)
			}
		})
	}
}
