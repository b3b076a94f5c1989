package auditor

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/drafter"
)

// Result is what came of a run.
type Result struct {
	drafter.Options
	Passed bool `json:"passed"`
	// Command repeats the run.
	Command  string         `json:"command"`
	Breaches []Breach       `json:"breaches"`
	Faults   map[string]int `json:"faults"`
	// Jobs counts the jobs by the last state that was told, and those that were not accepted.
	Jobs map[string]int `json:"jobs"`
	// Refusals counts the refused calls by kind, code and effect.
	Refusals map[string]int `json:"refusals"`
	Starts   int            `json:"starts"`
	// StalledMs is for how long the machine did not run the soak itself.
	StalledMs int64 `json:"stalledMs"`
	Exits     int   `json:"exits"`
	MedianMs  int64 `json:"medianMs"`
	SlowestMs int64 `json:"slowestMs"`
}

// Evaluate checks a history and sums it up. The times are those from the first try to hand a
// job in until it was told to be completed.
func Evaluate(h History) Result {
	out := Result{
		Options: h.Plan.Options, Command: command(h.Plan.Options), Breaches: Check(h),
		Faults: map[string]int{}, Jobs: map[string]int{}, Refusals: map[string]int{}, Exits: len(h.Exits),
	}
	out.Passed = len(out.Breaches) == 0
	for _, f := range h.Plan.Faults {
		out.Faults[drafter.KindOf(f.Fault)]++
	}
	for _, c := range h.Calls {
		if c.Refusal != nil {
			out.Refusals[fmt.Sprintf("%s %s %s", c.Kind, c.Refusal.Code, c.Refusal.Effect)]++
		}
	}
	for _, s := range h.Stalls {
		out.StalledMs += s.To.Sub(s.From).Milliseconds()
	}
	var took []time.Duration
	for _, j := range index(h).order {
		out.Starts += len(j.starts)
		if j.accepted.IsZero() {
			out.Jobs["notAccepted"]++
		} else {
			out.Jobs[j.lastState()]++
		}
		if c, ok := j.shown(stateCompleted); ok {
			took = append(took, c.Answered.Sub(j.submits[0].Sent))
		}
	}
	if slices.Sort(took); len(took) > 0 {
		out.MedianMs, out.SlowestMs = took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds()
	}
	return out
}

// lastState returns the state of a job that was told last.
func (j *jobRecord) lastState() string {
	for _, c := range slices.Backward(j.asks) {
		if c.Refusal == nil {
			return c.State
		}
	}
	return "notTold"
}

// command returns what repeats a run with the same plan.
func command(o drafter.Options) string {
	out := fmt.Sprintf("go run ./cmd/soak --seed %d --seeds 1 --hosts %d --workers %d --minutes %.4g", o.Seed, o.Hosts, o.Workers, o.Span.Minutes())
	for _, i := range o.Without {
		out += fmt.Sprintf(" --without %d", i)
	}
	return out
}
