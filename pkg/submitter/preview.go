package submitter

import "github.com/balsamcove/balsamcove/pkg/identifier"

// Preview tells where the tasks of a job would run if it were submitted now, and why.
type Preview struct {
	Queue identifier.Queue `json:"queue"`
	// Ahead is the number of jobs with waiting tasks that would be served before the job.
	Ahead int           `json:"ahead"`
	Steps []StepPreview `json:"steps"`
	// Hold says why no task starts at the moment, or is empty.
	Hold string `json:"hold,omitempty"`
}

// StepPreview tells where the tasks of a step would run.
type StepPreview struct {
	Tasks int `json:"tasks"`
	// After are the steps that have to be done before; what else is told is as if they were.
	After []int `json:"after,omitempty"`
	// Candidates are the workers that would take a task now, the best first, at most
	// MaxCandidates of CandidateCount.
	Candidates     []Candidate `json:"candidates"`
	CandidateCount int         `json:"candidateCount"`
	// RuledOut counts the other workers of the service by what rules them out.
	RuledOut []RuledOut `json:"ruledOut,omitempty"`
	// WaitMillis is how long a task would wait for the rack of its data instead, in milliseconds;
	// zero if it would not.
	WaitMillis int64 `json:"waitMs,omitempty"`
}

// MaxCandidates bounds the candidates of a StepPreview.
const MaxCandidates = 5

// Candidate is a worker that would take a task, and its score. A higher score is better.
type Candidate struct {
	Worker     identifier.Worker     `json:"worker"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Rack       identifier.Rack       `json:"rack,omitempty"`
	Score      float64               `json:"score"`
}

// RuledOut is a number of workers that share a reason why they take no task.
type RuledOut struct {
	Workers int    `json:"workers"`
	Reason  string `json:"reason"`
}
