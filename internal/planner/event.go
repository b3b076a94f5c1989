package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// Event is an input to the planner.
type Event interface{ event() }

type (
	// DirectoryChanged brings the newest configuration and list of workers.
	DirectoryChanged struct{ Directory connector.Directory }
	// JobSubmitted brings a stored job. A repeated submission is ignored.
	JobSubmitted struct {
		Job   submitter.Job
		Queue connector.QueueConfig
		// Key is the key of the stored submission, by which it is deleted.
		Key string
		// At is when the job was accepted, by the clock of the host that accepted it.
		At identifier.UnixMillis
		// ConfigVersion is the version of the configuration that Queue is from; zero if unknown.
		ConfigVersion identifier.ConfigVersion
		// Team is the team that submitted the job; empty if it is not known.
		Team identifier.Team
	}
	// JobCancelled brings a stored cancellation.
	JobCancelled struct {
		ID identifier.Job
		// At is when the cancellation was accepted, by the clock of the host that accepted it.
		At identifier.UnixMillis
		// Key is the key of the stored cancellation, by which it is deleted.
		Key string
	}
	// JobsRestored brings the jobs' state as saved by an earlier holder. It follows the
	// submissions.
	JobsRestored struct{ Records []JobRecord }
	// HealthRestored brings the workers' health as saved by an earlier holder. It precedes
	// JobsRestored.
	HealthRestored struct{ Records []HealthRecord }
	// EstimatesRestored brings the interference estimates that an earlier holder saved.
	EstimatesRestored struct{ Records []estimator.Record }
	// BatchSaved reports that a batch of records is stored.
	BatchSaved struct{ Batch Batch }
	// StartAnswered brings the answer to a StartRun, or its error.
	StartAnswered struct {
		Worker identifier.Worker
		Run    connector.RunID
		Epoch  identifier.Epoch
		Answer connector.OrderAnswer
		Err    error
	}
	// StopAnswered brings the answer to a StopRun, or its error.
	StopAnswered struct {
		Worker identifier.Worker
		Run    connector.RunID
		Answer connector.OrderAnswer
		Err    error
	}
	// PollAnswered brings the answer to a PollWorker, or its error.
	PollAnswered struct {
		Worker identifier.Worker
		Order  connector.HoldOrder
		SentAt time.Time
		Answer connector.HoldAnswer
		Err    error
	}
	// PaceAnswered brings the answer to a PaceRun, or its error.
	PaceAnswered struct {
		Worker  identifier.Worker
		Run     connector.RunID
		Percent int
		Answer  connector.OrderAnswer
		Err     error
	}
	// AdviceAnswered brings the answer to an AskAdvice, or its error.
	AdviceAnswered struct {
		Call    AdviceCall
		Step    connector.StepID
		Workers []identifier.Worker
		AskedAt time.Time
		Advice  connector.Advice
		Err     error
	}
	// SubmissionsDeleted reports that a DeleteSubmissions was carried out, or its error.
	SubmissionsDeleted struct {
		Jobs []Retired
		Err  error
	}
	// RecordsDiscarded reports that a DiscardRecords was carried out, or its error.
	RecordsDiscarded struct {
		Records []Discard
		Err     error
	}
	// TitlesRestored brings the owners of lent workers as saved by an earlier holder. It precedes
	// everything else.
	TitlesRestored struct{ Records []TitleRecord }
	// WorkerGranted brings a worker that another cell has lent to this one. Key is the key of the grant in
	// the inbox.
	WorkerGranted struct {
		Worker identifier.Worker
		From   identifier.Cell
		Base   identifier.Epoch
		Key    string
	}
	// GrantsSent reports that a SendGrants was carried out, or its error.
	GrantsSent struct {
		Grants []Grant
		Err    error
	}
	// RoomRequested brings a request for idle workers by the holder of another cell.
	RoomRequested struct {
		From identifier.Cell
		Need RoomNeed
	}
	// Ticked reports that time has passed.
	Ticked struct{}
)

func (DirectoryChanged) event()   {}
func (JobSubmitted) event()       {}
func (JobCancelled) event()       {}
func (JobsRestored) event()       {}
func (HealthRestored) event()     {}
func (EstimatesRestored) event()  {}
func (BatchSaved) event()         {}
func (StartAnswered) event()      {}
func (StopAnswered) event()       {}
func (PollAnswered) event()       {}
func (PaceAnswered) event()       {}
func (AdviceAnswered) event()     {}
func (SubmissionsDeleted) event() {}
func (RecordsDiscarded) event()   {}
func (TitlesRestored) event()     {}
func (WorkerGranted) event()      {}
func (GrantsSent) event()         {}
func (RoomRequested) event()      {}
func (Ticked) event()             {}
