package dialer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Paths of the platform's services.
const (
	PathAppend = "/log/append"
	PathRead   = "/log/read"
	PathHosts  = "/hosts/list"
	PathOpen   = "/worker/open"
	PathRenew  = "/worker/renew"
	PathStart  = "/worker/start"
	PathStop   = "/worker/stop"
	PathForget = "/worker/forget"
)

// AppendCall is the body of an append call.
type AppendCall struct {
	Stream identifier.Stream `json:"stream"`
	Data   []byte            `json:"data"`
}

// ReadCall is the body of a read call.
type ReadCall struct {
	Stream identifier.Stream `json:"stream"`
	From   identifier.Offset `json:"from"`
}

// ReadAnswer is the answer to a ReadCall. Its first record is the one at the offset From. Expired
// is set if From is below Earliest.
type ReadAnswer struct {
	Earliest identifier.Offset `json:"earliest"`
	Head     identifier.Offset `json:"head"`
	Records  [][]byte          `json:"records,omitempty"`
	Expired  bool              `json:"expired,omitempty"`
}

// LeaseCall is the body of a call that opens or renews a lease; only a renewal sets Lease.
type LeaseCall struct {
	Epoch identifier.Epoch `json:"epoch"`
	Lease identifier.Lease `json:"lease,omitempty"`
	TTLMs int64            `json:"ttlMs"`
}

// StopCall is the body of a stop call.
type StopCall struct {
	Epoch   identifier.Epoch   `json:"epoch"`
	Task    identifier.Task    `json:"task"`
	Attempt identifier.Attempt `json:"attempt"`
}

// ForgetCall is the body of a forget call.
type ForgetCall struct {
	Epoch identifier.Epoch       `json:"epoch"`
	Tasks []connector.WorkerTask `json:"tasks"`
}

// Log implements connector.Log over HTTP.
type Log struct {
	http    *HTTP
	address string
}

// NewLog returns the log at an address.
func NewLog(h *HTTP, address string) *Log { return &Log{h, address} }

// Append implements connector.Log.
func (l *Log) Append(ctx context.Context, stream identifier.Stream, data []byte) error {
	return l.http.Post(ctx, l.address, PathAppend, AppendCall{stream, data}, nil)
}

// Read implements connector.Log. The error is marked connector.ErrExpired if the log no longer has
// the record at the offset.
func (l *Log) Read(ctx context.Context, stream identifier.Stream, from identifier.Offset) ([]connector.Record, connector.Bounds, error) {
	var a ReadAnswer
	if err := l.http.Post(ctx, l.address, PathRead, ReadCall{stream, from}, &a); err != nil {
		return nil, connector.Bounds{}, err
	}
	bounds := connector.Bounds{Earliest: a.Earliest, Head: a.Head}
	if a.Expired {
		return nil, bounds, errors.Mark(errors.Newf("offset %d of %s", from, stream), connector.ErrExpired)
	}
	records := make([]connector.Record, len(a.Records))
	for i, data := range a.Records {
		records[i] = connector.Record{Offset: from + identifier.Offset(i), Data: data}
	}
	return records, bounds, nil
}

// HostList implements connector.HostList over HTTP.
type HostList struct {
	http    *HTTP
	address string
}

// NewHostList returns the host list at an address.
func NewHostList(h *HTTP, address string) *HostList { return &HostList{h, address} }

// List implements connector.HostList.
func (l *HostList) List(ctx context.Context) (connector.Hosts, error) {
	var out connector.Hosts
	err := l.http.Post(ctx, l.address, PathHosts, struct{}{}, &out)
	return out, err
}

// Worker implements connector.Worker over HTTP.
type Worker struct {
	http    *HTTP
	address string
}

// NewWorker returns the worker at the address of a host.
func NewWorker(h *HTTP, host connector.WorkerHost) *Worker { return &Worker{h, host.Address} }

// Open implements connector.Worker.
func (w *Worker) Open(ctx context.Context, epoch identifier.Epoch, ttl time.Duration) (connector.Report, error) {
	var out connector.Report
	err := w.http.Post(ctx, w.address, PathOpen, LeaseCall{Epoch: epoch, TTLMs: ttl.Milliseconds()}, &out)
	return out, err
}

// Renew implements connector.Worker.
func (w *Worker) Renew(ctx context.Context, lease identifier.Lease, epoch identifier.Epoch, ttl time.Duration) (connector.Report, error) {
	var out connector.Report
	err := w.http.Post(ctx, w.address, PathRenew, LeaseCall{epoch, lease, ttl.Milliseconds()}, &out)
	return out, err
}

// Start implements connector.Worker.
func (w *Worker) Start(ctx context.Context, order connector.StartOrder) error {
	return w.http.Post(ctx, w.address, PathStart, order, nil)
}

// Stop implements connector.Worker.
func (w *Worker) Stop(ctx context.Context, epoch identifier.Epoch, task identifier.Task, attempt identifier.Attempt) error {
	return w.http.Post(ctx, w.address, PathStop, StopCall{epoch, task, attempt}, nil)
}

// Forget implements connector.Worker.
func (w *Worker) Forget(ctx context.Context, epoch identifier.Epoch, tasks []connector.WorkerTask) error {
	return w.http.Post(ctx, w.address, PathForget, ForgetCall{epoch, tasks}, nil)
}
