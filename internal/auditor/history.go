package auditor

import (
	"fmt"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/internal/drafter"
	"github.com/balsamcove/balsamcove/internal/planner"
	"github.com/balsamcove/balsamcove/internal/simulator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// CallKind is what a caller asked for.
type CallKind string

// The calls.
const (
	CallSubmit CallKind = "submit"
	CallStatus CallKind = "ask"
	CallCancel CallKind = "cancel"
)

// Call is one call of a caller and what it was told.
type Call struct {
	Kind     CallKind       `json:"kind"`
	Job      identifier.Job `json:"job"`
	Host     int            `json:"host"`
	Sent     time.Time      `json:"sent"`
	Answered time.Time      `json:"answered"`
	// State is that of the job, if it was told.
	State string `json:"state,omitempty"`
	// Refusal is nil for a call that succeeded.
	Refusal *refuser.Refusal `json:"refusal,omitempty"`
}

// Exit is the end of a process.
type Exit struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	// Status is what the system tells of the end.
	Status string `json:"status"`
	// Killed is set if the process got SIGKILL from the soak, Asked if it got SIGTERM; Took
	// is how long it could have run since.
	Killed        bool          `json:"killed,omitempty"`
	StopRequested bool          `json:"asked,omitempty"`
	Took          time.Duration `json:"took,omitempty"`
	OK            bool          `json:"ok,omitempty"`
}

// Evacuation is the time from the acknowledgement of an evacuation until it was taken back.
type Evacuation struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Acked      time.Time             `json:"acked"`
	Ended      time.Time             `json:"ended"`
}

// Stall is a time in which the soak itself was not run by the machine, and no caller could
// send or read.
type Stall struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// History is what callers, workers and the soak have seen of a run.
type History struct {
	Plan  drafter.Plan `json:"plan"`
	Began time.Time    `json:"began"`
	// FaultsEnded is when the last fault was over and no job was handed in any more.
	FaultsEnded time.Time            `json:"healed"`
	Calls       []Call               `json:"calls"`
	Events      []simulator.RunEvent `json:"events"`
	Breaches    []string             `json:"breaches"`
	Exits       []Exit               `json:"exits"`
	Evacuations []Evacuation         `json:"evacuations"`
	Stalls      []Stall              `json:"stalls"`
}

// record is a history by jobs.
type record struct {
	History
	jobs  map[identifier.Job]*jobRecord
	order []*jobRecord
}

type jobRecord struct {
	drafter.JobEvent
	submits, asks, cancels []Call
	starts, ends           []simulator.RunEvent
	// accepted and cancelAcked are when the first of these calls succeeded; zero for never.
	accepted, cancelAcked time.Time
}

func index(h History) *record {
	r := &record{History: h, jobs: map[identifier.Job]*jobRecord{}}
	for _, e := range h.Plan.Jobs {
		j := &jobRecord{JobEvent: e}
		r.jobs[e.Job.ID] = j
		r.order = append(r.order, j)
	}
	calls := slices.Clone(h.Calls)
	slices.SortStableFunc(calls, func(a, b Call) int { return a.Answered.Compare(b.Answered) })
	for _, c := range calls {
		j, ok := r.jobs[c.Job]
		if !ok {
			continue
		}
		switch c.Kind {
		case CallSubmit:
			j.submits = append(j.submits, c)
			j.accepted = first(j.accepted, c)
		case CallCancel:
			j.cancels = append(j.cancels, c)
			j.cancelAcked = first(j.cancelAcked, c)
		case CallStatus:
			j.asks = append(j.asks, c)
		}
	}
	for _, e := range h.Events {
		j, ok := r.jobs[e.Run.Task.Job]
		switch {
		case !ok:
			r.Breaches = append(r.Breaches, fmt.Sprintf("%s was started and never handed in", e.Run.Task))
		case e.How == "":
			j.starts = append(j.starts, e)
		default:
			j.ends = append(j.ends, e)
		}
	}
	return r
}

func first(known time.Time, c Call) time.Time {
	if known.IsZero() && c.Refusal == nil {
		return c.Answered
	}
	return known
}

// at tells a time as the plan does.
func (r *record) at(t time.Time) time.Duration { return t.Sub(r.Began).Round(time.Millisecond) }

// ended reports whether a state is one that a job keeps.
func ended(state string) bool {
	return planner.JobState(state).Ended()
}
