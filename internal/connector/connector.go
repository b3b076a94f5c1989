// Package connector declares the interfaces between the system and the platform: its log and store,
// its host list and directory, its workers, its minions and its placement adviser. Adapters
// implement them; no other code knows the platform's protocols.
package connector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

var (
	// ErrNotSent marks a call of which no byte was sent, so that it had no effect.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown marks a call that may have taken effect.
	ErrUnknown = errors.New("effect unknown")
	// ErrRefused marks a call that the other side refused and did not execute.
	ErrRefused = errors.New("refused")
	// ErrFenced marks a call that was refused because a higher epoch has been seen.
	ErrFenced = errors.New("epoch is fenced")
	// ErrLeaseExpired marks a call that was refused because its lease has expired.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrExpired marks a read from below the earliest offset that the log retains.
	ErrExpired = errors.New("records expired")
)

// MarkUnknown marks a non-nil err with ErrUnknown if unknown is set.
func MarkUnknown(err error, unknown bool) error {
	if err == nil || !unknown {
		return err
	}
	return errors.Mark(err, ErrUnknown)
}

// Record is one entry of a log stream.
type Record struct {
	Offset identifier.Offset
	Data   []byte
}

// Bounds are the limits of a stream: Earliest is the first retained offset and Head is the offset
// that the next append will get.
type Bounds struct {
	Earliest identifier.Offset
	Head     identifier.Offset
}

// Log is the platform's append-only log. An append whose answer is lost may
// have taken effect.
type Log interface {
	Append(ctx context.Context, stream identifier.Stream, data []byte) error
	Read(ctx context.Context, stream identifier.Stream, from identifier.Offset) ([]Record, Bounds, error)
}

// HostState is the state of a host in the host list. A leaving host gets no new work.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// MinionHost is a minion as the host list shows it.
type MinionHost struct {
	ID          identifier.Minion     `json:"id"`
	DataCentre  identifier.DataCentre `json:"dataCentre"`
	Address     string                `json:"address"`
	Services    []identifier.Service  `json:"services"`
	Slots       int                   `json:"slots"`
	Connections int                   `json:"connections"`
	State       HostState             `json:"state"`
}

// WorkerHost is a worker as the host list shows it.
type WorkerHost struct {
	ID         identifier.Worker     `json:"id"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	Address    string                `json:"address"`
	Rack       string                `json:"rack"`
	Capacity   identifier.Size       `json:"capacity"`
	State      HostState             `json:"state"`
}

// Hosts is the content of the host list, which may be out of date.
type Hosts struct {
	Minions []MinionHost `json:"minions"`
	Workers []WorkerHost `json:"workers"`
}

// HostList is the platform's list of hosts.
type HostList interface {
	List(ctx context.Context) (Hosts, error)
}

// Phase is the execution state of a task on a worker.
type Phase string

// The phases of a task on a worker. A worker keeps a stopped or ended task in
// its report until it is told to forget it.
const (
	PhaseRunning Phase = "running"
	PhaseStopped Phase = "stopped"
	PhaseDone    Phase = "done"
	PhaseFailed  Phase = "failed"
)

// WorkerTask is a task as its worker reports it.
type WorkerTask struct {
	Task       identifier.Task    `json:"task"`
	Attempt    identifier.Attempt `json:"attempt"`
	Phase      Phase              `json:"phase"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	Detail     string             `json:"detail,omitempty"`
	Size       identifier.Size    `json:"size"`
}

// Report is a worker's answer to the opening or the renewal of a lease.
type Report struct {
	Lease identifier.Lease `json:"lease"`
	Tasks []WorkerTask     `json:"tasks"`
}

// StartOrder tells a worker to execute one attempt of a task. It is idempotent: a worker that
// already has the attempt answers as if it had just started it.
type StartOrder struct {
	Lease      identifier.Lease   `json:"lease"`
	Epoch      identifier.Epoch   `json:"epoch"`
	Task       identifier.Task    `json:"task"`
	Attempt    identifier.Attempt `json:"attempt"`
	Size       identifier.Size    `json:"size"`
	Payload    string             `json:"payload"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	Watch      bool               `json:"watch"`
	RunTimeMs  int64              `json:"runTimeMs"`
}

// Worker is a machine that runs tasks under a lease. It stops its tasks when the lease is not
// renewed in time, and rejects calls with a lower epoch than the highest it has seen.
type Worker interface {
	// Open opens a new lease for ttl; it replaces the lease of the tasks that are running.
	Open(ctx context.Context, epoch identifier.Epoch, ttl time.Duration) (Report, error)
	// Renew extends a lease that has not expired.
	Renew(ctx context.Context, lease identifier.Lease, epoch identifier.Epoch, ttl time.Duration) (Report, error)
	// Start executes an attempt under a lease that has not expired.
	Start(ctx context.Context, order StartOrder) error
	// Stop checkpoints and stops an attempt, which later reports show as stopped.
	Stop(ctx context.Context, epoch identifier.Epoch, task identifier.Task, attempt identifier.Attempt) error
	// Forget removes stopped and ended attempts from later reports.
	Forget(ctx context.Context, epoch identifier.Epoch, tasks []WorkerTask) error
}

// WorkerDialer returns the adapter of a worker.
type WorkerDialer func(host WorkerHost) Worker

// MinionRequest is a caller's request as it is sent to a minion.
type MinionRequest struct {
	ID         identifier.Request
	Service    identifier.Service
	Idempotent bool
	Remaining  time.Duration
	Body       []byte
}

// MinionAnswer is a minion's complete answer. Leaving is set if the minion is shutting down and
// accepts no new requests.
type MinionAnswer struct {
	Status  int
	Body    []byte
	Leaving bool
}

// MinionConn is one connection to a minion; it carries one exchange at a time.
// After an error the connection must be closed. An error marked ErrNotSent or
// ErrRefused proves that the request was not executed.
type MinionConn interface {
	Do(ctx context.Context, req MinionRequest) (MinionAnswer, error)
	Close() error
}

// MinionDialer opens a connection to a minion.
type MinionDialer func(ctx context.Context, address string) (MinionConn, error)
