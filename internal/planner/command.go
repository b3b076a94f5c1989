package planner

import (
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Command is something that the planner wants done.
type Command interface{ command() }

type (
	// StartRun sends a start to a worker.
	StartRun struct {
		To    connector.WorkerTarget
		Order connector.RunOrder
	}
	// StopRun stops a run, or keeps it from ever starting.
	StopRun struct {
		To    connector.WorkerTarget
		Run   connector.RunID
		Epoch identifier.Epoch
	}
	// PollWorker renews a worker's lease and asks what it runs.
	PollWorker struct {
		To    connector.WorkerTarget
		Order connector.HoldOrder
	}
	// PaceRun lets a run use only a share of its processors.
	PaceRun struct {
		To      connector.WorkerTarget
		Run     connector.RunID
		Percent int
		Epoch   identifier.Epoch
	}
	// AskAdvice asks which of the workers may run a step.
	AskAdvice struct {
		Step    connector.StepID
		Workers []identifier.Worker
	}
	// StepDown gives the cell up, since another holder has taken over.
	StepDown struct{ Reason string }
)

func (StartRun) command()   {}
func (StopRun) command()    {}
func (PollWorker) command() {}
func (PaceRun) command()    {}
func (AskAdvice) command()  {}
func (StepDown) command()   {}
