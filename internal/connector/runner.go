package connector

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamcove/balsamcove/internal/authenticator"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// WorkerClock is a reading of a worker's monotonic clock, which restarts with the worker.
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
	// MinRemaining is how long a draining worker will run at least; nil if unknown.
	MinRemaining *time.Duration `json:"remaining"`
	// ColdFor is the remaining warm-up time, during which the worker is slow.
	ColdFor time.Duration `json:"cold"`
	// StartedAt identifies the incarnation of the worker; zero if unknown.
	StartedAt identifier.UnixMillis `json:"born"`
	// Unreadable is set while the newest directory record of the worker cannot be decoded. The
	// worker gets no new runs; the other fields are those of its last valid record, with which its
	// active runs are still managed.
	Unreadable bool `json:"unreadable,omitempty"`
}

// WorkerTarget is the worker to which an order is sent.
type WorkerTarget struct {
	ID      identifier.Worker `json:"id"`
	Address string            `json:"address"`
}

// RunID identifies one run, an attempt to execute a task.
type RunID struct {
	Task    identifier.JobTask `json:"task"`
	Attempt identifier.Attempt `json:"attempt"`
}

// IsUnknown reports whether the ID is zero: it stands for a row of a worker's answer that could not
// be decoded, which may be about any run.
func (r RunID) IsUnknown() bool { return r == RunID{} }

// RunOrder tells a worker to run a task.
type RunOrder struct {
	Run        RunID                 `json:"run"`
	Spec       string                `json:"spec"`
	Epoch      identifier.Epoch      `json:"epoch"`
	LeaseUntil WorkerClock           `json:"leaseUntil"`
	Checkpoint identifier.Checkpoint `json:"checkpoint"`
	// Ticket is that of the placement adviser's Permit, empty if the queue is not advised.
	Ticket string `json:"ticket"`
}

// HoldOrder renews the lease of all runs on a worker and requests the list of its runs.
type HoldOrder struct {
	Epoch identifier.Epoch `json:"epoch"`
	// LeaseUntil is when the renewed lease expires; nil requests the list without a renewal.
	LeaseUntil *WorkerClock `json:"leaseUntil"`
	// Forget acknowledges the ended runs up to this number, which the worker may forget.
	Forget identifier.EndNumber `json:"forget"`
	// Wait is for how long the worker may delay its answer until a run ends (long poll).
	Wait time.Duration `json:"wait"`
}

// OrderVerdict is the result of an order, as decided by the worker.
type OrderVerdict string

// The verdicts. All but VerdictOK mean that the order had no effect.
const (
	VerdictOK OrderVerdict = "ok"
	// VerdictFenced means that the worker has seen a higher epoch.
	VerdictFenced OrderVerdict = "fenced"
	// VerdictStaleRun means that this run, or a later one of the task, has ended on the worker.
	VerdictStaleRun OrderVerdict = "old"
	// VerdictLeaseExpired means that the order arrived after its LeaseUntil.
	VerdictLeaseExpired OrderVerdict = "late"
	// VerdictNoRoom means that the worker has too few free resources.
	VerdictNoRoom OrderVerdict = "room"
	// VerdictInvalidTicket means that the ticket of the placement adviser is missing or expired.
	VerdictInvalidTicket OrderVerdict = "ticket"
	// VerdictUnhealthy means that the worker refuses because of its own condition.
	VerdictUnhealthy OrderVerdict = "unhealthy"
	// VerdictInvalid means that the order was malformed.
	VerdictInvalid OrderVerdict = "invalid"
	// VerdictOtherIncarnation means that the worker has been replaced by another.
	VerdictOtherIncarnation OrderVerdict = "otherLife"
)

// OrderAnswer is a worker's answer to an order. Clock is zero if the answer did not include it.
type OrderAnswer struct {
	Verdict OrderVerdict `json:"verdict"`
	Clock   WorkerClock  `json:"clock"`
	// Via is the host that made the call for the holder of the cell; empty if the holder made it.
	Via identifier.Entry `json:"through,omitempty"`
}

// ActiveRun is a run that is active on a worker; its Run may be unknown.
type ActiveRun struct {
	Run        RunID                 `json:"run"`
	Checkpoint identifier.Checkpoint `json:"checkpoint"`
	// Percent is the progress of the run. A lasting task, which has no end, is at 100 while it is
	// serving.
	Percent int `json:"percent"`
	// TailLatency is the recent tail latency of a task that serves requests; CPUUsed is the recent
	// processor use of any other task. Both lag by half a second.
	TailLatency time.Duration         `json:"tail"`
	CPUUsed     identifier.Millicores `json:"used"`
}

// RunEnd is the reason why a run ended.
type RunEnd string

// The reasons why a run ends.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	// EndLeaseExpired means that the lease of the run was not renewed in time.
	EndLeaseExpired RunEnd = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken RunEnd = "broken"
	// EndGangIncomplete means that not all members of the gang started in time.
	EndGangIncomplete RunEnd = "alone"
)

// IsKnown reports whether e is one of the values above.
func (e RunEnd) IsKnown() bool {
	switch e {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete:
		return true
	}
	return false
}

// EndedRun is a run that has ended on a worker. If its Run is unknown, its Number may be zero.
type EndedRun struct {
	Number     identifier.EndNumber  `json:"number"`
	Run        RunID                 `json:"run"`
	Reason     RunEnd                `json:"how"`
	Checkpoint identifier.Checkpoint `json:"checkpoint"`
}

// HoldAnswer is a worker's answer to a HoldOrder.
type HoldAnswer struct {
	OrderAnswer
	StartedAt identifier.UnixMillis `json:"born"`
	Active    []ActiveRun           `json:"active"`
	Ended     []EndedRun            `json:"ended"`
}

// HasUnknownRuns reports whether a row of the answer could not be decoded.
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

// AsyncRunner makes the calls of a Runner asynchronously, for callers that have thousands in flight
// and cannot afford a goroutine for each. If a method returns true, it calls done once with the
// result, within timeout, or with an error marked ErrNotSent if ctx ends before the call is sent;
// done must not block. If it returns false, done is not called and the caller has to use Runner.
type AsyncRunner interface {
	StartAsync(ctx context.Context, to WorkerTarget, o RunOrder, timeout time.Duration, done func(OrderAnswer, error)) bool
	HoldAsync(ctx context.Context, to WorkerTarget, o HoldOrder, timeout time.Duration, done func(HoldAnswer, error)) bool
}

// QueueConfig is the current configuration of a queue.
type QueueConfig struct {
	Name    identifier.Queue   `cbor:"1,keyasint" json:"name"`
	Service identifier.Service `cbor:"2,keyasint" json:"service"`
	// Priority orders the queues; zero is the most urgent.
	Priority int `cbor:"3,keyasint,omitempty" json:"priority"`
	// MaxAttempts bounds the failed runs of a task; zero means one.
	MaxAttempts int `cbor:"4,keyasint,omitempty" json:"maxAttempts"`
	// Stretch and Allowance define the objective of a job, the time in which it should complete:
	// Stretch times the duration of its critical path, plus Allowance.
	Stretch   float64             `cbor:"5,keyasint,omitempty" json:"stretch"`
	Allowance identifier.Duration `cbor:"6,keyasint,omitempty" json:"allowance"`
	// Advised is set if the placement adviser decides which workers may run a step.
	Advised bool `cbor:"7,keyasint,omitempty" json:"advised"`
	// Advice holds the durations of the adviser's calls for an advised queue.
	Advice AdviceDurations `cbor:"8,keyasint,omitempty" json:"advice"`
	// Address identifies the address at which callers reach the queue, which a new name does not
	// change; zero if it is not known.
	Address QueueAddress `cbor:"9,keyasint,omitempty" json:"address,omitempty"`
}

// QueueAddress is a hash of the address at which callers reach a queue.
type QueueAddress uint64

// AdviceDurations describes the calls of the placement adviser. A call takes Decide and PerWorker for
// each worker that it names, and its permits are valid for Valid. Durations that are not known are
// zero.
type AdviceDurations struct {
	Decide    identifier.Duration `cbor:"1,keyasint,omitempty" json:"decide"`
	PerWorker identifier.Duration `cbor:"2,keyasint,omitempty" json:"perWorker"`
	Valid     identifier.Duration `cbor:"3,keyasint,omitempty" json:"valid"`
}

// ServiceConfig is the current configuration of a pool of workers.
type ServiceConfig struct {
	Name identifier.Service `json:"name"`
	// RejectsOverload is set if the workers refuse runs that exceed their free resources.
	RejectsOverload bool `json:"guards"`
}

// TeamConfig is the current configuration of a team that submits jobs.
type TeamConfig struct {
	// Weight is the team's share, relative to the weights of others, when there is no room for all.
	Weight float64 `json:"weight"`
	// Rate is how many jobs a second the team may submit that are served within its share; zero is no
	// bound. Jobs beyond it are accepted, and are surplus when there is no room for all.
	Rate float64 `json:"rate,omitempty"`
	// Limit bounds the total size of the team's runs on all workers. A resource of zero has no limit.
	Limit identifier.Size `json:"limit"`
}

// Share returns the share of the team's limit that each of a number of cells may use by itself.
func (c TeamConfig) Share(cells int) identifier.Size {
	return identifier.Size{
		Processors: shareOf(c.Limit.Processors, cells), Memory: shareOf(c.Limit.Memory, cells), Accelerators: shareOf(c.Limit.Accelerators, cells),
	}
}

// shareOf returns the part of a limit for one of n cells, which is not zero unless the limit is.
func shareOf[N ~int64](limit N, n int) N {
	if limit == 0 || n <= 1 {
		return limit
	}
	return max(limit/N(n), 1)
}

// WithinLimit reports whether a size does not exceed a limit, of which resources of zero do not
// apply.
func WithinLimit(s, limit identifier.Size) bool {
	return (limit.Processors == 0 || s.Processors <= limit.Processors) && (limit.Memory == 0 || s.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || s.Accelerators <= limit.Accelerators)
}

// DescribeLimit formats a limit for messages.
func DescribeLimit(limit identifier.Size) string {
	var parts []string
	if limit.Processors > 0 {
		parts = append(parts, fmt.Sprintf("%d millicores", limit.Processors))
	}
	if limit.Memory > 0 {
		parts = append(parts, fmt.Sprintf("%d MiB", limit.Memory))
	}
	if limit.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", limit.Accelerators))
	}
	if len(parts) == 0 {
		return "any amount"
	}
	return "at most " + strings.Join(parts, ", ")
}

// Directory is a snapshot of the platform's configuration and list of workers. It is immutable once
// it has been handed out.
type Directory struct {
	Version identifier.ConfigVersion `json:"version"`
	// Expected is the newest version of the configuration that another host is known to act on.
	Expected identifier.ConfigVersion             `json:"-"`
	Queues   map[identifier.Queue]QueueConfig     `json:"queues"`
	Services map[identifier.Service]ServiceConfig `json:"services"`
	// Teams are the teams with keys, limits and shares; nil if the configuration knows no teams.
	Teams map[identifier.Team]TeamConfig `json:"teams,omitempty"`
	// Keys are the keys by which callers prove that they belong to a team.
	Keys      authenticator.Keys             `json:"-"`
	Evacuated map[identifier.DataCentre]bool `json:"evacuated"`
	// ConfigReadAt and WorkersReadAt are when the last complete reads of the configuration and of
	// the list of workers started; the data is at least as recent.
	ConfigReadAt time.Time `json:"operatorSeen"`
	// ConfigTriedAt is when the last read of the configuration ended, whether it succeeded or not.
	ConfigTriedAt time.Time                         `json:"-"`
	WorkersReadAt time.Time                         `json:"workersSeen"`
	Workers       map[identifier.Worker]WorkerEntry `json:"workers"`
}

// ConfigAge returns the time since the start of the last complete read of the configuration, zero
// before the first.
func (d Directory) ConfigAge() time.Duration {
	if d.ConfigReadAt.IsZero() {
		return 0
	}
	return time.Since(d.ConfigReadAt)
}

// Outdated reports whether another host acts on a newer configuration than this one.
func (d Directory) Outdated() bool { return d.Expected > d.Version }

// Newest returns d with the configuration or the workers of previous where these were read later: the
// directory that a term begins with may arrive after newer ones. Workers that have not been read at
// all replace previous ones, so that a new term starts nothing before the next read.
func (d Directory) Newest(previous Directory) Directory {
	if d.Version < previous.Version || d.ConfigReadAt.Before(previous.ConfigReadAt) {
		d.Version, d.Queues, d.Services, d.Evacuated = previous.Version, previous.Queues, previous.Services, previous.Evacuated
		d.Teams, d.Keys = previous.Teams, previous.Keys
		d.ConfigReadAt = previous.ConfigReadAt
	}
	if !d.WorkersReadAt.IsZero() && d.WorkersReadAt.Before(previous.WorkersReadAt) {
		d.Workers, d.WorkersReadAt = previous.Workers, previous.WorkersReadAt
	}
	return d
}
