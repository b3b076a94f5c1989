package connector

import (
	"context"
	"strconv"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// StepID names a step of an occurrence of a job.
type StepID struct {
	Job        identifier.Job
	Occurrence int
	Step       int
}

// String returns the name as JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Permit lets the tasks of a step run on a worker, in its present life.
type Permit struct {
	Worker identifier.Worker
	Ticket string
}

// Advice is an adviser's answer.
type Advice struct {
	// Permits are the workers, of those asked about, that may run the step.
	Permits []Permit
	// ValidFor is for how long the permits hold from when they were asked for.
	ValidFor time.Duration
}

// Adviser decides which workers may run a step of an advised queue. What it says of
// a worker does not change. Errors are marked ErrBusy if it turned the call away,
// ErrNotSent or ErrUnknown.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []identifier.Worker) (Advice, error)
}
