package carrier

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/admitter"
	"github.com/balsamcove/balsamcove/internal/catcher"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ErrMalformedBatch marks the error of a batch of orders or replies that cannot be decoded, or
// of an order in it that is invalid.
var ErrMalformedBatch = errors.New("malformed batch")

// Offer is the offer of a host to call workers on behalf of a holder.
type Offer struct {
	Name       identifier.Entry      `json:"name"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	// MaxWorkers is the number of workers that the host can call.
	MaxWorkers int `json:"workers"`
}

// offerRequest is the parameter of an offer call.
type offerRequest struct {
	Offer
	// SupportsCompression is set if the host can read compressed batches.
	SupportsCompression bool `json:"packs,omitempty"`
}

// offerResponse is the result of an offer call. Holders of older versions return no result.
type offerResponse struct {
	// Compress is set if both sides must compress batches on the connection.
	Compress bool `json:"packed,omitempty"`
}

// heartbeat is the parameter of the call by which a host shows that it is alive. SentAt is the
// sender's uptime, and Content is a CBOR list of replies.
type heartbeat struct {
	SentAt  time.Duration `json:"sentAt"`
	Content []byte        `json:"content"`
	// ConfigVersion is the newest version of the configuration that the host knows of.
	ConfigVersion identifier.ConfigVersion `json:"configVersion,omitempty"`
}

// heartbeatResponse is the result of a heartbeat. Holders of older versions return no result.
type heartbeatResponse struct {
	// Clocks are the clock readings of the cells that the holder holds.
	Clocks map[identifier.Cell]renewer.ClockReading `json:"clocks,omitempty"`
	// ConfigVersion is the newest version of the configuration that the holder knows of.
	ConfigVersion identifier.ConfigVersion `json:"configVersion,omitempty"`
	// Outlooks describe the cells that the holder holds. Holders of older versions send none.
	Outlooks map[identifier.Cell]admitter.Outlook `json:"outlooks,omitempty"`
}

// batch is the envelope of orders or replies on the wire. SentAt is the sender's uptime, from
// which the receiver estimates the age of the content.
type batch[T any] struct {
	_       struct{} `cbor:",toarray"`
	SentAt  time.Duration
	Content T
}

// orderKind is the kind of call that an order asks for.
type orderKind int

const (
	orderStart orderKind = iota + 1
	orderStop
	orderPoll
	orderPace
)

// order tells a host to make one call to a worker. Fields that its kind does not need are zero.
type order struct {
	_ struct{} `cbor:",toarray"`
	// ID is unique within a connection; the reply repeats it.
	ID      uint64
	Kind    orderKind
	Worker  identifier.Worker
	Address string
	// Timeout bounds the call, the delivery of the order to the host included.
	Timeout    time.Duration
	Epoch      identifier.Epoch
	Run        runID
	LeaseUntil *connector.WorkerClock
	// SpecIndex is the index of the run's spec in orderBatch.Specs, plus one; zero is no spec.
	SpecIndex  int
	Checkpoint identifier.Checkpoint
	Ticket     string
	// Forget and Wait are the fields of the same names in a connector.HoldOrder.
	Forget identifier.EndNumber
	Wait   time.Duration
	// Percent is the pace at which the run is to continue, in percent of full speed.
	Percent int
}

func (o order) target() connector.WorkerTarget {
	return connector.WorkerTarget{ID: o.Worker, Address: o.Address}
}

// orderBatch is the content of a batch of orders. A spec that several starts share is sent once.
type orderBatch struct {
	_      struct{} `cbor:",toarray"`
	Orders []order
	Specs  []string
	// ReplyInterval is the minimum time between two batches of replies.
	ReplyInterval time.Duration
}

// runID is the wire format of a connector.RunID.
type runID struct {
	_          struct{} `cbor:",toarray"`
	Job        identifier.Job
	Occurrence int
	Step       int
	Index      int
	Attempt    identifier.Attempt
}

func newRunID(r connector.RunID) runID {
	return runID{
		Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index, Attempt: r.Attempt,
	}
}

func (n runID) connectorID() connector.RunID {
	return connector.RunID{
		Task:    identifier.JobTask{Job: n.Job, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index},
		Attempt: n.Attempt,
	}
}

// failure is the reason why a call to a worker has no answer.
type failure int

const (
	failureNone failure = iota
	// failureNotSent means that the order was not sent to the worker.
	failureNotSent
	// failureUnknown means that the worker may have executed the order.
	failureUnknown
	// failureExpired means that the order had timed out before it could be sent.
	failureExpired
)

// reply is the outcome of an order: the worker's answer, or the failure.
type reply struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Failure failure
	// Reason is the error message of a failure.
	Reason    string
	Verdict   connector.OrderVerdict
	Clock     connector.WorkerClock
	StartedAt identifier.UnixMillis
	Active    []activeRun
	Ended     []endedRun

	// via made the call; it is set by the holder and not sent.
	via identifier.Entry
}

// activeRun is the wire format of a connector.ActiveRun.
type activeRun struct {
	_           struct{} `cbor:",toarray"`
	Run         runID
	Checkpoint  identifier.Checkpoint
	Percent     int
	TailLatency time.Duration
	CPUUsed     identifier.Millicores
}

// endedRun is the wire format of a connector.EndedRun.
type endedRun struct {
	_          struct{} `cbor:",toarray"`
	Number     identifier.EndNumber
	Run        runID
	End        connector.RunEnd
	Checkpoint identifier.Checkpoint
}

func (r *reply) setPollAnswer(a connector.HoldAnswer) {
	r.Verdict, r.Clock, r.StartedAt = a.Verdict, a.Clock, a.StartedAt
	r.Active, r.Ended = make([]activeRun, 0, len(a.Active)), make([]endedRun, 0, len(a.Ended))
	for _, x := range a.Active {
		r.Active = append(r.Active, activeRun{Run: newRunID(x.Run), Checkpoint: x.Checkpoint, Percent: x.Percent, TailLatency: x.TailLatency, CPUUsed: x.CPUUsed})
	}
	for _, x := range a.Ended {
		r.Ended = append(r.Ended, endedRun{Number: x.Number, Run: newRunID(x.Run), End: x.Reason, Checkpoint: x.Checkpoint})
	}
}

func (r *reply) orderAnswer() connector.OrderAnswer {
	return connector.OrderAnswer{Verdict: r.Verdict, Clock: r.Clock, Via: r.via}
}

func (r *reply) pollAnswer() connector.HoldAnswer {
	out := connector.HoldAnswer{
		OrderAnswer: r.orderAnswer(), StartedAt: r.StartedAt,
		Active: make([]connector.ActiveRun, 0, len(r.Active)), Ended: make([]connector.EndedRun, 0, len(r.Ended)),
	}
	for _, x := range r.Active {
		out.Active = append(out.Active, connector.ActiveRun{Run: x.Run.connectorID(), Checkpoint: x.Checkpoint, Percent: x.Percent, TailLatency: x.TailLatency, CPUUsed: x.CPUUsed})
	}
	for _, x := range r.Ended {
		out.Ended = append(out.Ended, connector.EndedRun{Number: x.Number, Run: x.Run.connectorID(), Reason: x.End, Checkpoint: x.Checkpoint})
	}
	return out
}

// setError records why there is no answer.
func (r *reply) setError(err error) {
	r.Failure, r.Reason = failureUnknown, err.Error()
	if errors.Is(err, connector.ErrNotSent) {
		r.Failure = failureNotSent
	}
}

// errOrderExpired is the error of an order that timed out before the host could send it.
var errOrderExpired = errors.New("order was too old when it reached the host that calls the worker")

// err returns the reply's failure as an error marked connector.ErrNotSent or
// connector.ErrUnknown, or nil.
func (r *reply) err() error {
	switch r.Failure {
	case failureNone:
		return nil
	case failureNotSent:
		return errors.Mark(errors.Newf("%s", r.Reason), connector.ErrNotSent)
	case failureExpired:
		return errors.Mark(errOrderExpired, connector.ErrNotSent)
	default:
		return errors.Mark(errors.Newf("%s", r.Reason), connector.ErrUnknown)
	}
}

// newHeartbeat returns a heartbeat with CBOR-encoded content; sentAt is the sender's uptime.
func newHeartbeat(sentAt time.Duration, content any) (heartbeat, error) {
	data, err := cbor.Marshal(content)
	return heartbeat{SentAt: sentAt, Content: data}, errors.Wrap(err, "encode heartbeat")
}

// encodeBatch encodes a batch; sentAt is the sender's uptime.
func encodeBatch[T any](sentAt time.Duration, content T) ([]byte, error) {
	data, err := cbor.Marshal(batch[T]{SentAt: sentAt, Content: content})
	return data, errors.Wrap(err, "encode batch")
}

// decode decodes CBOR data; the error is marked ErrMalformedBatch.
func decode[T any](data []byte) (T, error) {
	out, err := catcher.Unmarshal[T](cbor.Unmarshal, data)
	return out, errors.Mark(errors.Wrap(err, "decode batch"), ErrMalformedBatch)
}
