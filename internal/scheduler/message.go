package scheduler

import (
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/internal/tracker"
	"github.com/balsamcove/balsamcove/pkg/checker"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Event is something that the scheduler learns: ConfigChanged, TaskChanged,
// TasksReset, HostsListed, LeaseChecked, CellsSeen, WorkerAnswered,
// WorkerFailed, StartAnswered or Tick.
type Event interface{ isEvent() }

// ConfigChanged carries the configuration in force.
type ConfigChanged struct{ Set *checker.Set }

// TaskChanged carries the state of a task after a record of its home stream.
type TaskChanged struct{ Task tracker.Task }

// TasksReset carries all tasks of one shard after a snapshot was loaded.
type TasksReset struct{ Tasks []tracker.Task }

// HostsListed carries the workers that the platform lists.
type HostsListed struct{ Workers []connector.WorkerHost }

// LeaseChecked carries this host's view of its cell lease. Keeps is true while
// this host looks after the tasks that run already, which it does as the last
// holder, even if the lease has lapsed since, or in place of a holder that has
// gone while the log cannot be reached. RenewedAt is when the lease was last
// known to be renewed.
type LeaseChecked struct {
	Held           bool
	ManagesRunning bool
	Epoch          identifier.Epoch
	RenewedAt      time.Time
}

// CellLeasesObserved says when each other cell last renewed its lease, as read here.
type CellLeasesObserved struct {
	RenewedAt map[identifier.DataCentre]time.Time
}

// WorkerAnswered carries the report of a worker to an OpenLease or RenewLease
// that was sent at SentAt.
type WorkerAnswered struct {
	Worker identifier.Worker
	Epoch  identifier.Epoch
	Report connector.Report
	SentAt time.Time
}

// WorkerCallFailed says that an OpenLease or RenewLease was refused or not
// answered.
type WorkerCallFailed struct {
	Worker  identifier.Worker
	Epoch   identifier.Epoch
	Expired bool
	Fenced  bool
}

// StartResult is the outcome of a StartTask.
type StartResult int

// The outcomes of a StartTask.
const (
	// StartAccepted says that the attempt runs.
	StartAccepted StartResult = iota
	// StartRefused says that the worker will not run the attempt.
	StartRefused
	// StartNotApplied says that the attempt was certainly not started by this call.
	StartNotApplied
	// StartUnknown says that the call may still take effect, even later.
	StartUnknown
)

// StartAnswered carries the outcome of a StartTask.
type StartAnswered struct {
	Worker  identifier.Worker
	Task    identifier.Task
	Attempt identifier.Attempt
	Result  StartResult
	Detail  string
}

// Tick lets the scheduler act on the passage of time. The proofs are the
// latest moments of which the configuration and all tasks are known to be
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

// Command is something that the scheduler wants done: Append, OpenLease,
// RenewLease, StartTask, StopTask or ForgetTasks.
type Command interface{ isCommand() }

// Append writes a record to the home stream of its task.
type Append struct {
	Task identifier.Task
	Body encoder.Body
}

// OpenLease opens a lease on a worker.
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

// StartTask starts an attempt. It must not be sent unless this host still holds
// the cell lease and the configuration is fresh.
type StartTask struct {
	Host  connector.WorkerHost
	Order connector.StartOrder
}

// StopTask checkpoints and stops an attempt.
type StopTask struct {
	Host    connector.WorkerHost
	Epoch   identifier.Epoch
	Task    identifier.Task
	Attempt identifier.Attempt
}

// ForgetTasks lets a worker drop attempts whose end is in the log.
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
