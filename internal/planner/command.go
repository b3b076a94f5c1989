package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Command is an action that the planner asks its caller to carry out.
type Command interface{ command() }

type (
	// StartRun starts a run on a worker.
	StartRun struct {
		To    connector.WorkerTarget
		Order connector.RunOrder
	}
	// StopRun stops a run, or prevents it from starting later.
	StopRun struct {
		To    connector.WorkerTarget
		Run   connector.RunID
		Epoch identifier.Epoch
	}
	// PollWorker renews a worker's lease and asks for its active and ended runs. The worker may
	// delay its answer until a run ends.
	PollWorker struct {
		To    connector.WorkerTarget
		Order connector.HoldOrder
	}
	// PaceRun limits a run to a percentage of its processors.
	PaceRun struct {
		To      connector.WorkerTarget
		Run     connector.RunID
		Percent int
		Epoch   identifier.Epoch
	}
	// AskAdvice asks the placement adviser which of the workers may run a step. The answer is waited for
	// until CancelAdvice, and no longer than Timeout.
	AskAdvice struct {
		Call    AdviceCall
		Step    connector.StepID
		Workers []identifier.Worker
		Timeout time.Duration
	}
	// CancelAdvice ends the wait for the answer to a question. It needs no answer itself.
	CancelAdvice struct{ Call AdviceCall }
	// DeleteSubmissions deletes the stored submissions and cancellations of retired jobs.
	DeleteSubmissions struct{ Jobs []Retired }
	// RequestRoom asks the holder of another cell for idle workers. It needs no answer.
	RequestRoom struct {
		To   identifier.Cell
		Need RoomNeed
	}
	// SendGrants adds grants of workers to the inbox of another cell.
	SendGrants struct {
		To     identifier.Cell
		Grants []Grant
	}
	// DiscardRecords deletes records from the inbox of this cell.
	DiscardRecords struct{ Records []Discard }
	// StepDown gives up the cell, since another holder has taken over.
	StepDown struct{ Reason string }
)

func (StartRun) command()          {}
func (StopRun) command()           {}
func (PollWorker) command()        {}
func (PaceRun) command()           {}
func (AskAdvice) command()         {}
func (CancelAdvice) command()      {}
func (DeleteSubmissions) command() {}
func (RequestRoom) command()       {}
func (SendGrants) command()        {}
func (DiscardRecords) command()    {}
func (StepDown) command()          {}
