package connector

import (
	"context"
	"slices"
	"time"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// WorkerClock is a reading of a worker's own steady clock. It starts anew with
// each life of the worker.
type WorkerClock time.Duration

// WorkerEntry is a worker as the platform's directory shows it.
type WorkerEntry struct {
	ID         identifier.Worker     `json:"id"`
	Machine    string                `json:"machine"`
	Service    identifier.Service    `json:"service"`
	Address    string                `json:"address"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Rack       identifier.Rack       `json:"rack"`
	Labels     []identifier.Label    `json:"labels"`
	Capacity   identifier.Size       `json:"capacity"`
	Draining   bool                  `json:"draining"`
	// MinRemaining is the least time left to a draining worker; nil if unknown.
	MinRemaining *time.Duration `json:"remaining"`
	// ColdFor is how long the worker will still be slow after its start.
	ColdFor time.Duration `json:"cold"`
	// StartedAt tells the lives of a worker apart; zero if unknown.
	StartedAt identifier.UnixMillis `json:"born"`
	// Unreadable is set while the newest record of the worker cannot be used. It takes
	// nothing new; the other fields are those of the last record that could be, so that
	// what runs there is still looked after.
	Unreadable bool `json:"unreadable,omitempty"`
}

// WorkerTarget is where an order goes.
type WorkerTarget struct {
	ID      identifier.Worker `json:"id"`
	Address string            `json:"address"`
}

// RunID names one run of a task.
type RunID struct {
	Task    identifier.JobTask `json:"task"`
	Attempt identifier.Attempt `json:"attempt"`
}

// IsUnknown reports whether the run stands for a row of an answer that could not be read: it
// may be any run.
func (r RunID) IsUnknown() bool { return r == RunID{} }

// RunOrder makes a worker run a task.
type RunOrder struct {
	Run        RunID                 `json:"run"`
	Spec       string                `json:"spec"`
	Epoch      identifier.Epoch      `json:"epoch"`
	LeaseUntil WorkerClock           `json:"leaseUntil"`
	Checkpoint identifier.Checkpoint `json:"checkpoint"`
	// Ticket is the permit of the placement adviser, if the queue has one.
	Ticket string `json:"ticket"`
}

// HoldOrder renews the lease of all runs on a worker and asks what it runs.
type HoldOrder struct {
	Epoch identifier.Epoch `json:"epoch"`
	// LeaseUntil is nil to look without renewing.
	LeaseUntil *WorkerClock `json:"leaseUntil"`
	// Forget lets the worker forget its ended runs up to this number.
	Forget identifier.EndNumber `json:"forget"`
	// Wait lets the worker answer late, as soon as a run ends.
	Wait time.Duration `json:"wait"`
}

// OrderVerdict is a worker's word on an order.
type OrderVerdict string

// The verdicts. All but VerdictOK mean that this order did nothing.
const (
	VerdictOK OrderVerdict = "ok"
	// VerdictFenced means that the worker has seen a higher epoch.
	VerdictFenced OrderVerdict = "fenced"
	// VerdictStaleRun means that this run or a later one has ended there.
	VerdictStaleRun OrderVerdict = "old"
	// VerdictLeaseExpired means that the lease time of the order has passed.
	VerdictLeaseExpired OrderVerdict = "late"
	// VerdictNoRoom means that the worker has no room.
	VerdictNoRoom OrderVerdict = "room"
	// VerdictInvalidTicket means that the adviser's permit is missing or has expired.
	VerdictInvalidTicket OrderVerdict = "ticket"
	// VerdictUnhealthy means that the worker refuses for its own reasons.
	VerdictUnhealthy OrderVerdict = "unhealthy"
	// VerdictInvalid means that the order was malformed.
	VerdictInvalid OrderVerdict = "invalid"
	// VerdictOtherIncarnation means that the worker was replaced by another.
	VerdictOtherIncarnation OrderVerdict = "otherLife"
)

// OrderAnswer is the answer to an order. Clock is zero if it was not told.
type OrderAnswer struct {
	Verdict OrderVerdict `json:"verdict"`
	Clock   WorkerClock  `json:"clock"`
	// Via is the host that made the call for the holder; empty if it did itself.
	Via identifier.Entry `json:"through,omitempty"`
}

// ActiveRun is a run that goes on at a worker; its Run may be unread.
type ActiveRun struct {
	Run        RunID                 `json:"run"`
	Checkpoint identifier.Checkpoint `json:"checkpoint"`
	// Percent is how much of its work is done; a task that lasts is at work at
	// 100.
	Percent int `json:"percent"`
	// TailLatency is the recent tail latency of a task that serves; Used is the recent
	// use of processors of any other. Both lag by half a second.
	TailLatency time.Duration         `json:"tail"`
	CPUUsed     identifier.Millicores `json:"used"`
}

// RunEnd says how a run ended.
type RunEnd string

// The ways in which a run ends.
const (
	EndDone         RunEnd = "done"
	EndFailed       RunEnd = "failed"
	EndStopped      RunEnd = "stopped"
	EndLeaseExpired RunEnd = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken RunEnd = "broken"
	// EndGangIncomplete means that the gang was not complete in time.
	EndGangIncomplete RunEnd = "alone"
)

// IsKnown reports whether the manner of an end is one of those above.
func (e RunEnd) IsKnown() bool {
	switch e {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete:
		return true
	}
	return false
}

// EndedRun is a run that has ended at a worker. If its Run is unread, its Number may be
// zero.
type EndedRun struct {
	Number     identifier.EndNumber  `json:"number"`
	Run        RunID                 `json:"run"`
	Reason     RunEnd                `json:"how"`
	Checkpoint identifier.Checkpoint `json:"checkpoint"`
}

// HoldAnswer is what a worker says of itself.
type HoldAnswer struct {
	OrderAnswer
	StartedAt identifier.UnixMillis `json:"born"`
	Active    []ActiveRun           `json:"active"`
	Ended     []EndedRun            `json:"ended"`
}

// HasUnknownRuns reports whether a row of the answer could not be read.
func (a HoldAnswer) HasUnknownRuns() bool {
	return slices.ContainsFunc(a.Active, func(r ActiveRun) bool { return r.Run.IsUnknown() }) ||
		slices.ContainsFunc(a.Ended, func(r EndedRun) bool { return r.Run.IsUnknown() })
}

// Runner sends orders to workers. Errors are marked ErrNotSent or ErrUnknown.
type Runner interface {
	Start(ctx context.Context, to WorkerTarget, o RunOrder) (OrderAnswer, error)
	Stop(ctx context.Context, to WorkerTarget, run RunID, epoch identifier.Epoch) (OrderAnswer, error)
	Hold(ctx context.Context, to WorkerTarget, o HoldOrder) (HoldAnswer, error)
	SetPace(ctx context.Context, to WorkerTarget, run RunID, percent int, epoch identifier.Epoch) (OrderAnswer, error)
}

// AsyncRunner is a Runner that can also make calls without a goroutine for each, for callers
// with thousands of them under way. A call that is begun ends within its timeout, or as
// not sent if ctx ends before it is sent; done is told once what came of it and must not
// block. It is not called, and the call has to be made by the Runner, if false is returned.
type AsyncRunner interface {
	StartAsync(ctx context.Context, to WorkerTarget, o RunOrder, timeout time.Duration, done func(OrderAnswer, error)) bool
	HoldAsync(ctx context.Context, to WorkerTarget, o HoldOrder, timeout time.Duration, done func(HoldAnswer, error)) bool
}

// QueueConfig is the configuration of a queue in force.
type QueueConfig struct {
	Name    identifier.Queue   `cbor:"1,keyasint" json:"name"`
	Service identifier.Service `cbor:"2,keyasint" json:"service"`
	// Priority orders queues; zero comes first.
	Priority int `cbor:"3,keyasint,omitempty" json:"priority"`
	// MaxAttempts bounds the failed runs of a task; zero means one.
	MaxAttempts int `cbor:"4,keyasint,omitempty" json:"maxAttempts"`
	// Stretch and Allowance give a job's objective: its longest chain of work
	// times Stretch, and Allowance more.
	Stretch   float64             `cbor:"5,keyasint,omitempty" json:"stretch"`
	Allowance identifier.Duration `cbor:"6,keyasint,omitempty" json:"allowance"`
	// Advised is set if a placement adviser decides which workers may run a step.
	Advised bool `cbor:"7,keyasint,omitempty" json:"advised"`
}

// ServiceConfig is the configuration of a pool of workers in force.
type ServiceConfig struct {
	Name identifier.Service `json:"name"`
	// RejectsOverload is set if the workers refuse what does not fit.
	RejectsOverload bool `json:"guards"`
}

// Directory is what the platform says about configuration and workers at one
// moment. A value is never changed once it was handed out.
type Directory struct {
	Version   identifier.ConfigVersion             `json:"version"`
	Queues    map[identifier.Queue]QueueConfig     `json:"queues"`
	Services  map[identifier.Service]ServiceConfig `json:"services"`
	Evacuated map[identifier.DataCentre]bool       `json:"evacuated"`
	// ConfigReadAt and WorkersSeen are when the last complete reads began; the
	// configuration and the list of workers are at least as new.
	ConfigReadAt  time.Time                         `json:"operatorSeen"`
	WorkersReadAt time.Time                         `json:"workersSeen"`
	Workers       map[identifier.Worker]WorkerEntry `json:"workers"`
}
