package encoder

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Body is the content of a record: Publish, Submit, Claim, Release, End,
// Cancel, Resume, Lease or Snapshot.
type Body interface{ kind() kind }

type kind uint8

const (
	kindPublish kind = iota + 1
	kindSubmit
	kindClaim
	kindRelease
	kindEnd
	kindCancel
	kindLease
	kindSnapshot
	kindResume
)

// StoredObject is a configuration object in its encoded form.
type StoredObject struct {
	Key  parser.Key `cbor:"1,keyasint"`
	Data []byte     `cbor:"2,keyasint"`
}

// Publish changes the configuration from version Base to the next.
type Publish struct {
	Publication identifier.Publication   `cbor:"1,keyasint"`
	Base        identifier.ConfigVersion `cbor:"2,keyasint"`
	Author      string                   `cbor:"3,keyasint"`
	AtUnixMs    int64                    `cbor:"4,keyasint"`
	Upserts     []StoredObject           `cbor:"5,keyasint,omitempty"`
	Deletes     []parser.Key             `cbor:"6,keyasint,omitempty"`
}

// Submit asks for a task to be executed once.
type Submit struct {
	Task     identifier.Task `cbor:"1,keyasint"`
	Pool     identifier.Pool `cbor:"2,keyasint"`
	Payload  string          `cbor:"3,keyasint,omitempty"`
	AtUnixMs int64           `cbor:"4,keyasint"`
}

// Claim reserves a task for execution on a worker of a data centre. Epoch is
// the claimant's cell epoch. GraceMs is how long the attempt may go on, in
// milliseconds, while its data centre is cut off from the log. Repeatable says
// that the task may be executed again when the outcome of the attempt is unknown.
type Claim struct {
	Task       identifier.Task       `cbor:"1,keyasint"`
	Attempt    identifier.Attempt    `cbor:"2,keyasint"`
	DataCentre identifier.DataCentre `cbor:"3,keyasint"`
	Worker     identifier.Worker     `cbor:"4,keyasint"`
	Epoch      identifier.Epoch      `cbor:"5,keyasint"`
	Size       identifier.Size       `cbor:"6,keyasint"`
	GraceMs    int64                 `cbor:"7,keyasint,omitempty"`
	Repeatable bool                  `cbor:"8,keyasint,omitempty"`
}

// Reason says why a claimed task was released.
type Reason string

// The reasons of a release.
const (
	ReasonDrained    Reason = "drained"
	ReasonFailed     Reason = "failed"
	ReasonWorkerLost Reason = "workerLost"
	ReasonNoRoom     Reason = "noRoom"
	ReasonCutOff     Reason = "cutOff"
	ReasonCancelled  Reason = "cancelled"
	ReasonResumed    Reason = "resumed"
)

// Release ends an attempt without ending the task: it waits again, from its
// checkpoint.
type Release struct {
	Task        identifier.Task    `cbor:"1,keyasint"`
	Attempt     identifier.Attempt `cbor:"2,keyasint"`
	Reason      Reason             `cbor:"3,keyasint"`
	Checkpoint  string             `cbor:"4,keyasint,omitempty"`
	Detail      string             `cbor:"5,keyasint,omitempty"`
	MaxAttempts int                `cbor:"6,keyasint,omitempty"`
}

// Outcome says how a task ended.
type Outcome string

// The outcomes of a task.
const (
	OutcomeDone      Outcome = "done"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeParked    Outcome = "parked"
)

// End ends a task.
type End struct {
	Task    identifier.Task    `cbor:"1,keyasint"`
	Attempt identifier.Attempt `cbor:"2,keyasint"`
	Outcome Outcome            `cbor:"3,keyasint"`
	Detail  string             `cbor:"4,keyasint,omitempty"`
}

// Resume lets a task be executed again although the outcome of an attempt is
// unknown.
type Resume struct {
	Task    identifier.Task    `cbor:"1,keyasint"`
	Attempt identifier.Attempt `cbor:"2,keyasint"`
}

// Cancel asks for a task to be stopped for good.
type Cancel struct {
	Task identifier.Task `cbor:"1,keyasint"`
}

// Lease claims or renews the cell lease of a data centre, or gives it up.
type Lease struct {
	Holder   identifier.Incarnation `cbor:"1,keyasint"`
	Entry    identifier.Entry       `cbor:"2,keyasint"`
	Epoch    identifier.Epoch       `cbor:"3,keyasint"`
	Released bool                   `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the state of a stream's fold after the record at offset Next-1.
type Snapshot struct {
	Next  identifier.Offset `cbor:"1,keyasint"`
	Hash  uint64            `cbor:"2,keyasint"`
	State []byte            `cbor:"3,keyasint"`
	// AtUnixMs is when the snapshot was written, by the writer's clock.
	AtUnixMs int64 `cbor:"4,keyasint"`
}

func (Publish) kind() kind  { return kindPublish }
func (Submit) kind() kind   { return kindSubmit }
func (Claim) kind() kind    { return kindClaim }
func (Release) kind() kind  { return kindRelease }
func (End) kind() kind      { return kindEnd }
func (Cancel) kind() kind   { return kindCancel }
func (Lease) kind() kind    { return kindLease }
func (Snapshot) kind() kind { return kindSnapshot }
func (Resume) kind() kind   { return kindResume }
