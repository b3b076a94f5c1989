package auditor

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/drafter"
)

// Result summarises a run and its violated guarantees.
type Result struct {
	drafter.Options
	Passed bool `json:"passed"`
	// Command repeats the run.
	Command  string         `json:"command"`
	Breaches []Breach       `json:"breaches"`
	Faults   map[string]int `json:"faults"`
	// Jobs counts the jobs by their last known state, and as notAccepted or notTold.
	Jobs map[string]int `json:"jobs"`
	// Refusals counts the refused calls by kind, code and effect.
	Refusals map[string]int `json:"refusals"`
	Starts   int            `json:"starts"`
	// StalledMs is the time in which the machine did not run the soak itself.
	StalledMs int64 `json:"stalledMs"`
	Exits     int   `json:"exits"`
	MedianMs  int64 `json:"medianMs"`
	SlowestMs int64 `json:"slowestMs"`
}

// Evaluate checks a history and summarises it. MedianMs and SlowestMs are measured from the first
// submission of a job until it was reported as completed.
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
	for _, j := range indexHistory(h).jobsInOrder {
		out.Starts += len(j.starts)
		if j.accepted.IsZero() {
			out.Jobs["notAccepted"]++
		} else {
			out.Jobs[j.lastState()]++
		}
		if c, ok := j.firstStatus(stateCompleted); ok {
			took = append(took, c.Answered.Sub(j.submits[0].Sent))
		}
	}
	if slices.Sort(took); len(took) > 0 {
		out.MedianMs, out.SlowestMs = took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds()
	}
	return out
}

// lastState returns the last known state of a job, or notTold if no status call succeeded.
func (j *jobRecord) lastState() string {
	for _, c := range slices.Backward(j.statusCalls) {
		if c.Refusal == nil {
			return c.State
		}
	}
	return "notTold"
}

// command returns the command line that repeats a run with the same plan.
func command(o drafter.Options) string {
	out := fmt.Sprintf("go run ./cmd/soak --seed %d --seeds 1 --hosts %d --workers %d --minutes %.4g", o.Seed, o.Hosts, o.Workers, o.Span.Minutes())
	for _, i := range o.Without {
		out += fmt.Sprintf(" --without %d", i)
	}
	return out
}
