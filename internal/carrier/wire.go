package carrier

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/catcher"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/renewer"
	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// ErrBatch marks bytes that are no batch of orders or answers.
var ErrBatch = errors.New("malformed batch")

// Offer is what a host that calls workers for a holder says of itself.
type Offer struct {
	Name       identifier.Entry      `json:"name"`
	DataCentre identifier.DataCentre `json:"dataCentre"`
	// MaxWorkers is how many workers the host can call.
	MaxWorkers int `json:"workers"`
}

// offerCall is an offer as it travels.
type offerCall struct {
	Offer
	// Packs is set by a host that knows packed batches.
	Packs bool `json:"packs,omitempty"`
}

// offerTaken is the answer to an offer; a holder of before answers nothing.
type offerTaken struct {
	// Packed is set if batches on the connection are to be packed.
	Packed bool `json:"packed,omitempty"`
}

// beat is the parameter of the call by which a host shows that it is there: answers as
// CBOR, and when it was sent by the sender's clock of uptime.
type beat struct {
	SentAt  time.Duration `json:"sentAt"`
	Content []byte        `json:"content"`
}

// beatTaken is the answer to a beat; a holder of before answers nothing.
type beatTaken struct {
	// Clocks are those of the cells that the holder has.
	Clocks map[identifier.Cell]renewer.ClockReading `json:"clocks,omitempty"`
}

// message is what travels as a batch: its content, and when it was sent by the sender's
// clock of uptime, from which the receiver tells how old it is.
type message[T any] struct {
	_       struct{} `cbor:",toarray"`
	SentAt  time.Duration
	Content T
}

// orderKind says which call of a worker an order is.
type orderKind int

const (
	orderStart orderKind = iota + 1
	orderStop
	orderHold
	orderPace
)

// order is one call of a worker.
type order struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Kind    orderKind
	Worker  identifier.Worker
	Address string
	// Timeout is how long the call may take, the way of the order included.
	Timeout    time.Duration
	Epoch      identifier.Epoch
	Run        runName
	LeaseUntil *connector.WorkerClock
	// Spec is the position of the spec in the batch, plus one; zero is none.
	Spec       int
	Checkpoint identifier.Checkpoint
	Ticket     string
	Forget     identifier.EndNumber
	Wait       time.Duration
	Percent    int
}

func (o order) target() connector.WorkerTarget {
	return connector.WorkerTarget{ID: o.Worker, Address: o.Address}
}

// orders is a batch of orders. A spec that several starts share travels once.
type orders struct {
	_     struct{} `cbor:",toarray"`
	List  []order
	Specs []string
	// Gap is the least time between two messages with answers.
	Gap time.Duration
}

// runName is a connector.RunID as it travels.
type runName struct {
	_          struct{} `cbor:",toarray"`
	Job        identifier.Job
	Occurrence int
	Step       int
	Index      int
	Attempt    identifier.Attempt
}

func nameOf(r connector.RunID) runName {
	return runName{
		Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index, Attempt: r.Attempt,
	}
}

func (n runName) run() connector.RunID {
	return connector.RunID{
		Task:    identifier.JobTask{Job: n.Job, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index},
		Attempt: n.Attempt,
	}
}

// failure says why a call of a worker has no answer.
type failure int

const (
	failureNone failure = iota
	// failureNotSent means that the worker got nothing.
	failureNotSent
	// failureUnknown means that the worker may have carried the order out.
	failureUnknown
	// failureExpired means that the order was too old to be sent.
	failureExpired
)

// reply is what came of an order.
type reply struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Failure failure
	Reason  string
	Verdict connector.OrderVerdict
	Clock   connector.WorkerClock
	Born    identifier.UnixMillis
	Active  []activeRun
	Ended   []endedRun

	// through is the host that told the reply; it does not travel.
	through identifier.Entry
}

type activeRun struct {
	_          struct{} `cbor:",toarray"`
	Run        runName
	Checkpoint identifier.Checkpoint
	Percent    int
	Tail       time.Duration
	Used       identifier.Millicores
}

type endedRun struct {
	_          struct{} `cbor:",toarray"`
	Number     identifier.EndNumber
	Run        runName
	How        connector.RunEnd
	Checkpoint identifier.Checkpoint
}

func (r *reply) setHold(a connector.HoldAnswer) {
	r.Verdict, r.Clock, r.Born = a.Verdict, a.Clock, a.StartedAt
	r.Active, r.Ended = make([]activeRun, 0, len(a.Active)), make([]endedRun, 0, len(a.Ended))
	for _, x := range a.Active {
		r.Active = append(r.Active, activeRun{Run: nameOf(x.Run), Checkpoint: x.Checkpoint, Percent: x.Percent, Tail: x.TailLatency, Used: x.CPUUsed})
	}
	for _, x := range a.Ended {
		r.Ended = append(r.Ended, endedRun{Number: x.Number, Run: nameOf(x.Run), How: x.Reason, Checkpoint: x.Checkpoint})
	}
}

func (r *reply) answer() connector.OrderAnswer {
	return connector.OrderAnswer{Verdict: r.Verdict, Clock: r.Clock, Via: r.through}
}

func (r *reply) hold() connector.HoldAnswer {
	out := connector.HoldAnswer{
		OrderAnswer: r.answer(), StartedAt: r.Born,
		Active: make([]connector.ActiveRun, 0, len(r.Active)), Ended: make([]connector.EndedRun, 0, len(r.Ended)),
	}
	for _, x := range r.Active {
		out.Active = append(out.Active, connector.ActiveRun{Run: x.Run.run(), Checkpoint: x.Checkpoint, Percent: x.Percent, TailLatency: x.Tail, CPUUsed: x.Used})
	}
	for _, x := range r.Ended {
		out.Ended = append(out.Ended, connector.EndedRun{Number: x.Number, Run: x.Run.run(), Reason: x.How, Checkpoint: x.Checkpoint})
	}
	return out
}

// fail says in the reply why there is no answer.
func (r *reply) fail(err error) {
	r.Failure, r.Reason = failureUnknown, err.Error()
	if errors.Is(err, connector.ErrNotSent) {
		r.Failure = failureNotSent
	}
}

// errOrderExpired marks an order that came too late to be sent.
var errOrderExpired = errors.New("order was too old when it reached the host that calls the worker")

// err returns the error that the reply tells of, if any.
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

// encode returns a beat sent at an uptime.
func encode(sentAt time.Duration, content any) (beat, error) {
	data, err := cbor.Marshal(content)
	return beat{SentAt: sentAt, Content: data}, errors.Wrap(err, "encode beat")
}

// encodeMessage returns a batch sent at an uptime.
func encodeMessage[T any](sentAt time.Duration, content T) ([]byte, error) {
	data, err := cbor.Marshal(message[T]{SentAt: sentAt, Content: content})
	return data, errors.Wrap(err, "encode batch")
}

// decode reads the content of a message; the error is marked ErrBatch.
func decode[T any](data []byte) (T, error) {
	out, err := catcher.Unmarshal[T](cbor.Unmarshal, data)
	return out, errors.Mark(errors.Wrap(err, "decode batch"), ErrBatch)
}
