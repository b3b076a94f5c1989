package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Renewal describes the lease renewals of a worker, for the log.
type Renewal struct {
	// SentAgo is how long ago the last order that renews the lease was sent, and AnsweredAgo how
	// long ago one was last answered; negative if never.
	SentAgo, AnsweredAgo time.Duration
	// Through is the host that made the call answered last; empty if the holder made it itself.
	Through identifier.Entry
	// LeaseLeft is how long runs may go on if the worker is not heard from.
	LeaseLeft time.Duration
	// MissedPolls is the number of polls in a row without an answer.
	MissedPolls int
}

// TaskWait describes how long tasks of a step have waited for a worker, and why.
type TaskWait struct {
	Job   identifier.Job
	Step  int
	Tasks int
	// LongRunning is set for a long-running step. Other steps are reported only while much capacity
	// is free.
	LongRunning bool
	Waited      time.Duration
	Reason      string
}

// Log receives the planner's decisions, one call for each.
type Log interface {
	// JobStarted reports that a worker has begun the first task of a job, and for how long the job had
	// waited since its submission.
	JobStarted(id identifier.Job, queue identifier.Queue, waited time.Duration)
	// JobResubmitted reports a submission with the ID of a known job that is stored under another key.
	JobResubmitted(id identifier.Job, queue identifier.Queue, key string, kind Resubmission)
	// JobEnded reports the end of a job, took after its submission and early before its objective;
	// early is negative for a late job.
	JobEnded(id identifier.Job, queue identifier.Queue, state JobState, took, early time.Duration)
	// RunEnded reports an end that a worker listed.
	RunEnded(run connector.RunID, worker identifier.Worker, how connector.RunEnd, took time.Duration, renewal Renewal)
	// LateEnd reports the end of a run that had been given up before.
	LateEnd(run connector.RunID, worker identifier.Worker, how connector.RunEnd)
	// RunLost reports a run that was given up because its worker certainly does not execute it,
	// without a known outcome.
	RunLost(run connector.RunID, worker identifier.Worker, silence renewer.Silence, renewal Renewal)
	// TaskRestarted reports that a task whose run was lost runs again, and for how long its former
	// worker had not been heard from.
	TaskRestarted(run connector.RunID, worker identifier.Worker, silence renewer.Silence)
	// ClaimWithdrawn reports a claim that was taken back before a start was sent.
	ClaimWithdrawn(run connector.RunID, worker identifier.Worker, reason string)
	TasksWait(w TaskWait)
	ScavengersWait(w ScavengerWait)
	RunOverdue(o Overdue)
	// StartsLimited reports a new limit of the starts in flight, and how long the late answer that
	// caused it took.
	StartsLimited(limit int, took time.Duration)
	// ServiceResumed reports that a long-running task runs again, and for how long it did not.
	ServiceResumed(run connector.RunID, worker identifier.Worker, downtime time.Duration)
	// StartUnanswered reports that the given try of a start had no answer.
	StartUnanswered(run connector.RunID, worker identifier.Worker, try int, err error)
	// StartRefused reports that a worker refused a start with the given verdict.
	StartRefused(run connector.RunID, worker identifier.Worker, verdict connector.OrderVerdict)
	// RunEvicted reports a scavenger that is stopped because it lengthens the tail latency of a
	// serving image. slack is the lowest one observed on the worker.
	RunEvicted(run connector.RunID, worker identifier.Worker, serving identifier.Image, slack estimator.Slack)
	// RunStraggles reports a run that is copied or stopped because it makes no or little progress.
	// ran is for how long it has run.
	RunStraggles(run connector.RunID, worker identifier.Worker, percent int, ran time.Duration)
	// RunMoved reports a run that is stopped so that its task continues on another worker.
	RunMoved(run connector.RunID, worker identifier.Worker, reason string)
	// AdviceReceived reports an answer of the adviser: how many workers it was asked about and for
	// how many of them it granted a permit.
	AdviceReceived(step connector.StepID, asked, permitted int, err error)
	// AdviceUnanswered reports a question to the adviser whose answer has not come in time. It is given up if
	// later ones were answered; otherwise it still counts, but the step may ask again. slowness is how many
	// times longer than configured the adviser takes.
	AdviceUnanswered(step connector.StepID, waited time.Duration, slowness float64, givenUp bool)
	// UnclaimedRun reports a listed run that no stored claim accounts for.
	UnclaimedRun(run connector.RunID, worker identifier.Worker)
	// WorkerChanged reports a change of a worker, such as that it drains or answers again.
	WorkerChanged(worker identifier.Worker, change string)
	// WorkerSilent reports the first unanswered poll of a worker. since is how long ago it was last
	// heard from.
	WorkerSilent(worker identifier.Worker, since time.Duration, err error)
}

// noLog is a Log that discards everything.
type noLog struct{}

func (noLog) JobStarted(identifier.Job, identifier.Queue, time.Duration) {}

func (noLog) JobResubmitted(identifier.Job, identifier.Queue, string, Resubmission) {}

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

func (noLog) AdviceUnanswered(connector.StepID, time.Duration, float64, bool) {}

func (noLog) UnclaimedRun(connector.RunID, identifier.Worker) {}

func (noLog) WorkerChanged(identifier.Worker, string) {}

func (noLog) WorkerSilent(identifier.Worker, time.Duration, error) {}

func (noLog) StartsLimited(int, time.Duration) {}
