package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Renewal is what is known of the renewals of a worker's lease.
type Renewal struct {
	// SentAgo is how long ago the last order that renews the lease was sent, Answered how
	// long ago one was last answered; negative if that never happened.
	SentAgo, AnsweredAgo time.Duration
	// Through is the host that made the call which was answered last; empty for the
	// holder itself.
	Through identifier.Entry
	// LeaseLeft is how much longer runs may go on at a worker that is not heard from.
	LeaseLeft time.Duration
	// MissedPolls is how many looks in a row had no answer.
	MissedPolls int
}

// TaskWait says how long tasks of a step have waited for a worker, and why.
type TaskWait struct {
	Job   identifier.Job
	Step  int
	Tasks int
	// LongRunning is set for a step that lasts; others are told of beside much free room.
	LongRunning bool
	Waited      time.Duration
	Reason      string
}

// Log receives the planner's decisions, one call each.
type Log interface {
	JobStarted(id identifier.Job, queue identifier.Queue, waited time.Duration)
	JobEnded(id identifier.Job, queue identifier.Queue, state JobState, took, early time.Duration)
	RunEnded(run connector.RunID, worker identifier.Worker, how connector.RunEnd, took time.Duration, renewal Renewal)
	LateEnd(run connector.RunID, worker identifier.Worker, how connector.RunEnd)
	RunLost(run connector.RunID, worker identifier.Worker, silence renewer.Silence, renewal Renewal)
	// TaskRestarted tells that a task whose run was lost runs again, and how long after its
	// former worker was last heard from.
	TaskRestarted(run connector.RunID, worker identifier.Worker, silence renewer.Silence)
	ClaimWithdrawn(run connector.RunID, worker identifier.Worker, reason string)
	TasksWait(w TaskWait)
	ScavengersWait(w ScavengerWait)
	RunOverdue(o Overdue)
	// StartsLimited tells how many starts may be under way from now on, and how long the
	// last late one took.
	StartsLimited(limit int, took time.Duration)
	ServiceResumed(run connector.RunID, worker identifier.Worker, out time.Duration)
	StartUnanswered(run connector.RunID, worker identifier.Worker, try int, err error)
	StartRefused(run connector.RunID, worker identifier.Worker, verdict connector.OrderVerdict)
	RunEvicted(run connector.RunID, worker identifier.Worker, serving identifier.Image, slack estimator.Slack)
	RunStraggles(run connector.RunID, worker identifier.Worker, percent int, ran time.Duration)
	RunMoved(run connector.RunID, worker identifier.Worker, reason string)
	AdviceReceived(step connector.StepID, asked, good int, err error)
	UnclaimedRun(run connector.RunID, worker identifier.Worker)
	WorkerChanged(worker identifier.Worker, change string)
	WorkerSilent(worker identifier.Worker, since time.Duration, err error)
}

type noLog struct{}

func (noLog) JobStarted(identifier.Job, identifier.Queue, time.Duration) {}

func (noLog) JobEnded(identifier.Job, identifier.Queue, JobState, time.Duration, time.Duration) {}

func (noLog) RunEnded(connector.RunID, identifier.Worker, connector.RunEnd, time.Duration, Renewal) {}

func (noLog) LateEnd(connector.RunID, identifier.Worker, connector.RunEnd) {}

func (noLog) RunLost(connector.RunID, identifier.Worker, renewer.Silence, Renewal) {}

func (noLog) TaskRestarted(connector.RunID, identifier.Worker, renewer.Silence) {}

func (noLog) ClaimWithdrawn(connector.RunID, identifier.Worker, string) {}

func (noLog) TasksWait(TaskWait) {}

func (noLog) ScavengersWait(ScavengerWait) {}

func (noLog) RunOverdue(Overdue) {}

func (noLog) ServiceResumed(connector.RunID, identifier.Worker, time.Duration) {}

func (noLog) StartUnanswered(connector.RunID, identifier.Worker, int, error) {}

func (noLog) StartRefused(connector.RunID, identifier.Worker, connector.OrderVerdict) {}

func (noLog) RunEvicted(connector.RunID, identifier.Worker, identifier.Image, estimator.Slack) {}

func (noLog) RunStraggles(connector.RunID, identifier.Worker, int, time.Duration) {}

func (noLog) RunMoved(connector.RunID, identifier.Worker, string) {}

func (noLog) AdviceReceived(connector.StepID, int, int, error) {}

func (noLog) UnclaimedRun(connector.RunID, identifier.Worker) {}

func (noLog) WorkerChanged(identifier.Worker, string) {}

func (noLog) WorkerSilent(identifier.Worker, time.Duration, error) {}

func (noLog) StartsLimited(int, time.Duration) {}
