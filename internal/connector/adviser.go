package connector

import (
	"context"
	"strconv"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        identifier.Job
	Occurrence int
	Step       int
}

// String returns the ID as JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Permit allows the tasks of a step to run on a worker until the worker restarts.
type Permit struct {
	Worker identifier.Worker
	Ticket string
}

// Advice is the answer of an Adviser.
type Advice struct {
	// Permits holds a permit for each of the requested workers that may run the step.
	Permits []Permit
	// ValidFor is how long the permits are valid, counted from when they were requested.
	ValidFor time.Duration
}

// Adviser is the placement adviser: it decides which workers may run a step of an advised queue.
// Its decision about a step and a worker does not change. Errors are marked ErrBusy if it rejected
// the call for now, ErrNotSent or ErrUnknown.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []identifier.Worker) (Advice, error)
}
