package dialer

import (
	"context"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// The parameters of orders to workers.
type (
	// StartCall makes a worker run a task.
	StartCall struct {
		To    connector.WorkerTarget `json:"to"`
		Order connector.RunOrder     `json:"order"`
	}
	// RunCall stops a run or sets its pace.
	RunCall struct {
		To      connector.WorkerTarget `json:"to"`
		Run     connector.RunID        `json:"run"`
		Percent int                    `json:"percent,omitempty"`
		Epoch   identifier.Epoch       `json:"epoch"`
	}
	// HoldCall renews the lease of a worker and asks what it runs.
	HoldCall struct {
		To    connector.WorkerTarget `json:"to"`
		Order connector.HoldOrder    `json:"order"`
	}
)

// Runner sends orders to workers over JSON-RPC. It implements connector.Runner.
type Runner struct{ rpc *messenger.Client }

// NewRunner returns a runner.
func NewRunner(rpc *messenger.Client) *Runner { return &Runner{rpc} }

// Start implements connector.Runner.
func (r *Runner) Start(ctx context.Context, to connector.WorkerTarget, o connector.RunOrder) (a connector.OrderAnswer, err error) {
	err = r.rpc.Call(ctx, to.Address, messenger.MethodStart, StartCall{to, o}, &a)
	return a, err
}

// Stop implements connector.Runner.
func (r *Runner) Stop(ctx context.Context, to connector.WorkerTarget, run connector.RunID, epoch identifier.Epoch) (a connector.OrderAnswer, err error) {
	err = r.rpc.Call(ctx, to.Address, messenger.MethodStop, RunCall{To: to, Run: run, Epoch: epoch}, &a)
	return a, err
}

// SetPace implements connector.Runner.
func (r *Runner) SetPace(ctx context.Context, to connector.WorkerTarget, run connector.RunID, percent int, epoch identifier.Epoch) (a connector.OrderAnswer, err error) {
	err = r.rpc.Call(ctx, to.Address, messenger.MethodPace, RunCall{to, run, percent, epoch}, &a)
	return a, err
}

// Hold implements connector.Runner.
func (r *Runner) Hold(ctx context.Context, to connector.WorkerTarget, o connector.HoldOrder) (a connector.HoldAnswer, err error) {
	err = r.rpc.Call(ctx, to.Address, messenger.MethodHold, HoldCall{to, o}, &a)
	return a, err
}
