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

// CallKind is the kind of a caller's request.
type CallKind string

// The kinds of calls.
const (
	CallSubmit CallKind = "submit"
	CallStatus CallKind = "ask"
	CallCancel CallKind = "cancel"
)

// Call is one call to a host and its answer.
type Call struct {
	Kind     CallKind       `json:"kind"`
	Job      identifier.Job `json:"job"`
	Host     int            `json:"host"`
	Sent     time.Time      `json:"sent"`
	Answered time.Time      `json:"answered"`
	// State is the state of the job in a successful status answer.
	State string `json:"state,omitempty"`
	// Refusal is nil for a call that succeeded.
	Refusal *refuser.Refusal `json:"refusal,omitempty"`
}

// Exit is the exit of a process, or the failure of one to exit in time.
type Exit struct {
	Process string    `json:"process"`
	At      time.Time `json:"at"`
	// Status is the exit status as the operating system describes it.
	Status string `json:"status"`
	// Killed is set if the soak sent SIGKILL, and StopRequested if it sent SIGTERM. Took is the
	// time since SIGTERM, or since the process was resumed if it was paused at that time.
	Killed        bool          `json:"killed,omitempty"`
	StopRequested bool          `json:"asked,omitempty"`
	Took          time.Duration `json:"took,omitempty"`
	OK            bool          `json:"ok,omitempty"`
}

// Evacuation is the period from the acknowledgement of an evacuation until its end was requested.
type Evacuation struct {
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Acked      time.Time             `json:"acked"`
	Ended      time.Time             `json:"ended"`
}

// Publication is a version of the configuration and the time of its acknowledgement.
type Publication struct {
	Version identifier.ConfigVersion `json:"version"`
	Acked   time.Time                `json:"acked"`
}

// ConfigAnswer is the version of the configuration that a host said to be in force.
type ConfigAnswer struct {
	Host     int                      `json:"host"`
	Sent     time.Time                `json:"sent"`
	Answered time.Time                `json:"answered"`
	Version  identifier.ConfigVersion `json:"version"`
}

// Stall is a period in which the machine did not run the soak itself, so that no caller could send
// or receive.
type Stall struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// History holds what callers, workers and the soak observed during a run.
type History struct {
	Plan  drafter.Plan `json:"plan"`
	Began time.Time    `json:"began"`
	// FaultsEnded is when the last fault had ended and no further jobs were submitted.
	FaultsEnded time.Time            `json:"healed"`
	Calls       []Call               `json:"calls"`
	Events      []simulator.RunEvent `json:"events"`
	Breaches    []string             `json:"breaches"`
	Exits       []Exit               `json:"exits"`
	Evacuations []Evacuation         `json:"evacuations"`
	Stalls      []Stall              `json:"stalls"`

	Publications  []Publication  `json:"publications,omitempty"`
	ConfigAnswers []ConfigAnswer `json:"configAnswers,omitempty"`
}

// jobIndex is a history with its calls and events grouped by job.
type jobIndex struct {
	History
	jobs        map[identifier.Job]*jobRecord
	jobsInOrder []*jobRecord
}

type jobRecord struct {
	drafter.JobEvent
	submits, statusCalls, cancels []Call
	starts, ends                  []simulator.RunEvent
	// accepted and cancelAcked are when the first submit and the first cancel call succeeded;
	// zero if none did.
	accepted, cancelAcked time.Time
}

// indexHistory groups the calls and events of a history by job, with calls in order of their
// answers. Runs of jobs that are not in the plan become breaches.
func indexHistory(h History) *jobIndex {
	r := &jobIndex{History: h, jobs: map[identifier.Job]*jobRecord{}}
	for _, e := range h.Plan.Jobs {
		j := &jobRecord{JobEvent: e}
		r.jobs[e.Job.ID] = j
		r.jobsInOrder = append(r.jobsInOrder, j)
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
			j.accepted = firstSuccess(j.accepted, c)
		case CallCancel:
			j.cancels = append(j.cancels, c)
			j.cancelAcked = firstSuccess(j.cancelAcked, c)
		case CallStatus:
			j.statusCalls = append(j.statusCalls, c)
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

// firstSuccess returns known or, if that is zero and c succeeded, the time of its answer.
func firstSuccess(known time.Time, c Call) time.Time {
	if known.IsZero() && c.Refusal == nil {
		return c.Answered
	}
	return known
}

// elapsed converts a time to the time since the start of the load, as plans use it.
func (r *jobIndex) elapsed(t time.Time) time.Duration { return t.Sub(r.Began).Round(time.Millisecond) }

// isFinal reports whether a job in this state has ended.
func isFinal(state string) bool {
	return planner.JobState(state).Ended()
}
