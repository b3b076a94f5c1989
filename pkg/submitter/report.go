package submitter

import (
	"cmp"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Report is the state of a job as callers see it.
type Report struct {
	ID    identifier.Job   `json:"id"`
	Queue identifier.Queue `json:"queue"`
	// State is queued, running, completed, failed or cancelled.
	State string `json:"state"`
	// Submitted is when the job was accepted; Objective is when it should be completed at the
	// latest.
	Submitted identifier.UnixMillis `json:"submitted"`
	Objective identifier.UnixMillis `json:"objective"`
	Steps     []StepReport          `json:"steps"`
}

// Compare orders reports by submission time, then by ID.
func (r Report) Compare(o Report) int {
	return cmp.Or(cmp.Compare(r.Submitted, o.Submitted), cmp.Compare(r.ID, o.ID))
}

// StepReport counts the tasks of a step by state, over all occurrences that are due.
type StepReport struct {
	Tasks   int `json:"tasks"`
	Blocked int `json:"blocked"`
	Ready   int `json:"ready"`
	// Placed have a run that may be active, and Running are those of them that a worker has begun.
	Placed  int `json:"placed"`
	Running int `json:"running"`
	Done    int `json:"done"`
	// Failures counts failed runs.
	Failures int `json:"failures"`
}

// Explanation is the state of a job and the reasons for it.
type Explanation struct {
	Report
	Reasons []string `json:"reasons"`
}

// Reports is a list of jobs; More is set if the list was cut short.
type Reports struct {
	Jobs []Report `json:"jobs"`
	More bool     `json:"more,omitempty"`
}

// Selection selects the jobs to list; an empty field matches all.
type Selection struct {
	Queue identifier.Queue `json:"queue,omitempty"`
	State string           `json:"state,omitempty"`
}

// ConfigReport is what a host knows of the operators' configuration.
type ConfigReport struct {
	// Version is the version in force on the host.
	Version identifier.ConfigVersion `json:"version"`
	// Expected is the newest version that another host is known to act on.
	Expected identifier.ConfigVersion `json:"expected,omitempty"`
	// AgeMillis is the time in milliseconds since the start of the last complete read.
	AgeMillis int64 `json:"ageMs"`
	// Queues is the number of queues.
	Queues int `json:"queues"`
}
