package planner

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/estimator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Log receives the planner's decisions, one call each.
type Log interface {
	JobStarted(id identifier.Job, queue identifier.Queue, waited time.Duration)
	JobEnded(id identifier.Job, queue identifier.Queue, state JobState, took, early time.Duration)
	RunEnded(run connector.RunID, worker identifier.Worker, how connector.RunEnd, took time.Duration)
	LateEnd(run connector.RunID, worker identifier.Worker, how connector.RunEnd)
	RunLost(run connector.RunID, worker identifier.Worker)
	StartUnanswered(run connector.RunID, worker identifier.Worker, try int, err error)
	StartRefused(run connector.RunID, worker identifier.Worker, verdict connector.OrderVerdict)
	RunEvicted(run connector.RunID, worker identifier.Worker, serving identifier.Image, slack estimator.Slack)
	RunStraggles(run connector.RunID, worker identifier.Worker, percent int, ran time.Duration)
	RunMoved(run connector.RunID, worker identifier.Worker, reason string)
	Advised(step connector.StepID, asked, good int, err error)
	StrayRun(run connector.RunID, worker identifier.Worker)
	WorkerChanged(worker identifier.Worker, change string)
	WorkerSilent(worker identifier.Worker, since time.Duration, err error)
}

type noLog struct{}

func (noLog) JobStarted(identifier.Job, identifier.Queue, time.Duration)                        {}
func (noLog) JobEnded(identifier.Job, identifier.Queue, JobState, time.Duration, time.Duration) {}
func (noLog) RunEnded(connector.RunID, identifier.Worker, connector.RunEnd, time.Duration)      {}
func (noLog) LateEnd(connector.RunID, identifier.Worker, connector.RunEnd)                      {}
func (noLog) RunLost(connector.RunID, identifier.Worker)                                        {}
func (noLog) StartUnanswered(connector.RunID, identifier.Worker, int, error)                    {}
func (noLog) StartRefused(connector.RunID, identifier.Worker, connector.OrderVerdict)           {}
func (noLog) RunEvicted(connector.RunID, identifier.Worker, identifier.Image, estimator.Slack)  {}
func (noLog) RunStraggles(connector.RunID, identifier.Worker, int, time.Duration)               {}
func (noLog) RunMoved(connector.RunID, identifier.Worker, string)                               {}
func (noLog) Advised(connector.StepID, int, int, error)                                         {}
func (noLog) StrayRun(connector.RunID, identifier.Worker)                                       {}
func (noLog) WorkerChanged(identifier.Worker, string)                                           {}
func (noLog) WorkerSilent(identifier.Worker, time.Duration, error)                              {}
