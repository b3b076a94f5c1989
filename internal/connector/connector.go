// Package connector declares the four interfaces at which the system meets the
// platform: its log, its host list, its workers and its minions. Adapters
// implement them; nothing else knows the platform's protocols.
package connector

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

var (
	// ErrNotSent marks a call of which no byte left this host.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown marks a call that may have taken effect.
	ErrUnknown = errors.New("effect unknown")
	// ErrRefused marks a call that the other side answered with a refusal.
	ErrRefused = errors.New("refused")
	// ErrFenced marks a refusal because the worker has seen a higher epoch.
	ErrFenced = errors.New("epoch is fenced")
	// ErrLeaseExpired marks a refusal because the lease has run out.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrExpired marks a read below the earliest offset that the log keeps.
	ErrExpired = errors.New("records expired")
)

// Record is one entry of a log stream.
type Record struct {
	Offset identifier.Offset
	Data   []byte
}

// Bounds are the limits of a stream: Earliest is the first offset that is still
// kept and Head the one that the next append will get.
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

// HostState says whether a host may be given new work.
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

// Hosts is the content of the host list; it lags behind the truth.
type Hosts struct {
	Minions []MinionHost `json:"minions"`
	Workers []WorkerHost `json:"workers"`
}

// HostList is the platform's list of hosts.
type HostList interface {
	List(ctx context.Context) (Hosts, error)
}

// Phase is the state of a task on a worker.
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

// StartOrder asks a worker to execute one attempt of a task. A worker that has
// the attempt already answers as if it had just started it.
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

// Worker is a machine that runs tasks under a lease. It stops its tasks when
// the lease is not renewed in time, and refuses an epoch lower than one it has
// seen.
type Worker interface {
	// Open grants a new lease for ttl; running tasks move to it.
	Open(ctx context.Context, epoch identifier.Epoch, ttl time.Duration) (Report, error)
	// Renew extends a lease that has not run out.
	Renew(ctx context.Context, lease identifier.Lease, epoch identifier.Epoch, ttl time.Duration) (Report, error)
	// Start executes an attempt under a lease that has not run out.
	Start(ctx context.Context, order StartOrder) error
	// Stop checkpoints and stops an attempt; its report then shows it stopped.
	Stop(ctx context.Context, epoch identifier.Epoch, task identifier.Task, attempt identifier.Attempt) error
	// Forget drops stopped and ended attempts from the report.
	Forget(ctx context.Context, epoch identifier.Epoch, tasks []WorkerTask) error
}

// WorkerDialer returns the adapter of a worker.
type WorkerDialer func(host WorkerHost) Worker

// MinionRequest is one caller request as a minion receives it.
type MinionRequest struct {
	ID         identifier.Request
	Service    identifier.Service
	Idempotent bool
	Remaining  time.Duration
	Body       []byte
}

// MinionAnswer is a minion's whole answer. Leaving is set when the minion says
// that it takes no new work.
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
