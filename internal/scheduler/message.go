package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Event is an input of Scheduler.Update: ConfigChanged, TaskChanged, TasksReset, HostsListed,
// LeaseChecked, CellLeasesObserved, WorkerAnswered, WorkerCallFailed, StartAnswered or Tick.
type Event interface{ isEvent() }

// ConfigChanged carries the configuration in force.
type ConfigChanged struct{ Set *checker.Set }

// TaskChanged carries the state of a task after a record of its home stream was applied.
type TaskChanged struct{ Task tracker.Task }

// TasksReset carries all tasks of one home shard after its snapshot was loaded.
type TasksReset struct{ Tasks []tracker.Task }

// HostsListed carries the workers in the platform's host list.
type HostsListed struct{ Workers []connector.WorkerHost }

// LeaseChecked carries this host's view of the cell lease of its data centre. ManagesRunning is
// true while this host renews the worker leases of tasks that already run: as the last holder,
// even after its cell lease has lapsed, or in place of a holder that is gone while the log cannot
// be reached. RenewedAt is when the cell lease was last known to be renewed.
type LeaseChecked struct {
	Held           bool
	ManagesRunning bool
	Epoch          identifier.Epoch
	RenewedAt      time.Time
}

// CellLeasesObserved carries the time at which each other cell was last seen to renew its lease,
// by this host's clock. A cell whose stream has not been read recently is absent.
type CellLeasesObserved struct {
	RenewedAt map[identifier.DataCentre]time.Time
}

// WorkerAnswered carries a worker's report in answer to an OpenLease or RenewLease that was sent
// at SentAt under the cell lease's Epoch.
type WorkerAnswered struct {
	Worker identifier.Worker
	Epoch  identifier.Epoch
	Report connector.Report
	SentAt time.Time
}

// WorkerCallFailed reports that an OpenLease or RenewLease was refused or not answered. Expired is
// set if the worker's lease has run out, Fenced if the worker has seen a higher epoch.
type WorkerCallFailed struct {
	Worker  identifier.Worker
	Epoch   identifier.Epoch
	Expired bool
	Fenced  bool
}

// StartResult is the outcome of a StartTask command.
type StartResult int

// The outcomes of a StartTask.
const (
	// StartAccepted means that the attempt runs.
	StartAccepted StartResult = iota
	// StartRefused means that the worker will not run the attempt.
	StartRefused
	// StartNotApplied means that this call certainly did not start the attempt.
	StartNotApplied
	// StartUnknown means that the call may have started the attempt, or may still do so.
	StartUnknown
)

// StartAnswered carries the outcome of a StartTask. Detail is the worker's message if it refused.
type StartAnswered struct {
	Worker  identifier.Worker
	Task    identifier.Task
	Attempt identifier.Attempt
	Result  StartResult
	Detail  string
}

// Tick makes the scheduler act on the passage of time. ConfigCaughtUpAt and TasksCaughtUpAt are
// the latest times up to which the configuration and the state of all tasks are known to be
// complete.
type Tick struct {
	ConfigCaughtUpAt time.Time
	TasksCaughtUpAt  time.Time
}

func (ConfigChanged) isEvent()      {}
func (TaskChanged) isEvent()        {}
func (TasksReset) isEvent()         {}
func (HostsListed) isEvent()        {}
func (LeaseChecked) isEvent()       {}
func (CellLeasesObserved) isEvent() {}
func (WorkerAnswered) isEvent()     {}
func (WorkerCallFailed) isEvent()   {}
func (StartAnswered) isEvent()      {}
func (Tick) isEvent()               {}

// Command is an action that the caller of Scheduler.Update carries out: Append, OpenLease,
// RenewLease, StartTask, StopTask or ForgetTasks.
type Command interface{ isCommand() }

// Append writes a record to the home stream of its task.
type Append struct {
	Task identifier.Task
	Body encoder.Body
}

// OpenLease opens a new lease on a worker, which replaces the one it has.
type OpenLease struct {
	Host  connector.WorkerHost
	Epoch identifier.Epoch
}

// RenewLease renews the lease on a worker.
type RenewLease struct {
	Host  connector.WorkerHost
	Lease identifier.Lease
	Epoch identifier.Epoch
}

// StartTask starts an attempt of a task. It must only be sent while this host still holds the cell
// lease and its copy of the configuration is no older than Timing.MaxStaleness.
type StartTask struct {
	Host  connector.WorkerHost
	Order connector.StartOrder
}

// StopTask makes a worker checkpoint and stop an attempt.
type StopTask struct {
	Host    connector.WorkerHost
	Epoch   identifier.Epoch
	Task    identifier.Task
	Attempt identifier.Attempt
}

// ForgetTasks makes a worker drop finished attempts from its report. Their end is already in the
// log.
type ForgetTasks struct {
	Host  connector.WorkerHost
	Epoch identifier.Epoch
	Tasks []connector.WorkerTask
}

func (Append) isCommand()      {}
func (OpenLease) isCommand()   {}
func (RenewLease) isCommand()  {}
func (StartTask) isCommand()   {}
func (StopTask) isCommand()    {}
func (ForgetTasks) isCommand() {}
