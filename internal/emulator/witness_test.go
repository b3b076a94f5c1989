package emulator

import (
	"testing"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

func TestCheckRuns(t *testing.T) {
	step := func(at int64, worker string, attempt int, s Step) Event {
		return Event{AtUnixNano: at, Worker: identifier.Worker(worker), Task: "t", Attempt: identifier.Attempt(attempt), Step: s}
	}
	tests := map[string]struct {
		events     []Event
		repeatable bool
		violations int
	}{
		"one after the other":                 {events: []Event{step(1, "a", 1, StepStart), step(5, "a", 1, StepStop), step(5, "b", 2, StepStart)}},
		"started and stopped at once":         {events: []Event{step(1, "a", 1, StepStart), step(1, "a", 1, StepStop), step(9, "b", 2, StepStart)}},
		"two places":                          {events: []Event{step(1, "a", 1, StepStart), step(5, "a", 1, StepStop), step(4, "b", 2, StepStart)}, violations: 1},
		"two places, the first still running": {events: []Event{step(1, "a", 1, StepStart), step(4, "b", 2, StepStart), step(8, "b", 2, StepDone)}, violations: 1},
		"same attempt in two places":          {events: []Event{step(1, "a", 1, StepStart), step(4, "b", 1, StepStart)}, violations: 1},
		"again after it was done":             {events: []Event{step(1, "a", 1, StepStart), step(5, "a", 1, StepDone), step(9, "b", 2, StepStart)}, violations: 1},
		"again after it was done, repeatable": {events: []Event{step(1, "a", 1, StepStart), step(5, "a", 1, StepDone), step(9, "b", 2, StepStart)}, repeatable: true},
		"again after it failed":               {events: []Event{step(1, "a", 1, StepStart), step(5, "a", 1, StepFail), step(9, "b", 2, StepStart)}},
		"again on the same worker":            {events: []Event{step(1, "a", 1, StepStart), step(5, "a", 1, StepLeaseExpired), step(6, "a", 2, StepStart)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := CheckRuns(tc.events, func(identifier.Task) bool { return tc.repeatable })
			if len(got) != tc.violations {
				t.Errorf("violations %v, want %d", got, tc.violations)
			}
		})
	}
}
