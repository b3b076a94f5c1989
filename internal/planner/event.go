package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Event is something that the planner learns.
type Event interface{ event() }

type (
	// DirectoryChanged brings the newest configuration and list of workers.
	DirectoryChanged struct{ Directory connector.Directory }
	// JobSubmitted brings a job that is stored. A repeat of a job is ignored.
	JobSubmitted struct {
		Job   submitter.Job
		Queue connector.QueueConfig
		// Key is that of its record, by which it is deleted once it is retired.
		Key string
		// At is when the job was accepted, by the clock of the host that did so.
		At identifier.UnixMillis
	}
	// JobCancelled brings a stored cancellation.
	JobCancelled struct {
		ID identifier.Job
		At identifier.UnixMillis
	}
	// JobsRestored brings what an earlier holder saved of its jobs, after their
	// submissions.
	JobsRestored struct{ Records []JobRecord }
	// HealthRestored brings what an earlier holder saved of its workers' health, before
	// its jobs.
	HealthRestored struct{ Records []HealthRecord }
	// EstimatesRestored brings what an earlier holder learned.
	EstimatesRestored struct{ Records []estimator.Record }
	// BatchSaved says that a batch of records is stored.
	BatchSaved struct{ Batch Batch }
	// StartAnswered brings the answer to a StartRun, or its failure.
	StartAnswered struct {
		Worker identifier.Worker
		Run    connector.RunID
		Epoch  identifier.Epoch
		Answer connector.OrderAnswer
		Err    error
	}
	// StopAnswered brings the answer to a StopRun, or its failure.
	StopAnswered struct {
		Worker identifier.Worker
		Run    connector.RunID
		Answer connector.OrderAnswer
		Err    error
	}
	// PollAnswered brings the answer to a HoldWorker, or its failure.
	PollAnswered struct {
		Worker identifier.Worker
		Order  connector.HoldOrder
		SentAt time.Time
		Answer connector.HoldAnswer
		Err    error
	}
	// PaceAnswered brings the answer to a PaceRun, or its failure.
	PaceAnswered struct {
		Worker  identifier.Worker
		Run     connector.RunID
		Percent int
		Answer  connector.OrderAnswer
		Err     error
	}
	// AdviceAnswered brings the answer to an AskAdvice, or its failure.
	AdviceAnswered struct {
		Step    connector.StepID
		Workers []identifier.Worker
		AskedAt time.Time
		Advice  connector.Advice
		Err     error
	}
	// Ticked says that time has passed.
	Ticked struct{}
)

func (DirectoryChanged) event()  {}
func (JobSubmitted) event()      {}
func (JobCancelled) event()      {}
func (JobsRestored) event()      {}
func (HealthRestored) event()    {}
func (EstimatesRestored) event() {}
func (BatchSaved) event()        {}
func (StartAnswered) event()     {}
func (StopAnswered) event()      {}
func (PollAnswered) event()      {}
func (PaceAnswered) event()      {}
func (AdviceAnswered) event()    {}
func (Ticked) event()            {}
