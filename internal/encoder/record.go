package encoder

import (
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// Body is the content of a record: Publish, Submit, Claim, Release, End,
// Cancel, Resume, Lease or Snapshot.
type Body interface{ kind() kind }

// kind identifies the type of a record's body in the encoded form. New kinds are appended: the
// values are stored in the log.
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

// Publish changes the configuration from version Base to Base+1: it creates or replaces the objects
// in Upserts and deletes those in Deletes. AtUnixMs is the time of the publication.
type Publish struct {
	Publication identifier.Publication   `cbor:"1,keyasint"`
	Base        identifier.ConfigVersion `cbor:"2,keyasint"`
	Author      string                   `cbor:"3,keyasint"`
	AtUnixMs    int64                    `cbor:"4,keyasint"`
	Upserts     []StoredObject           `cbor:"5,keyasint,omitempty"`
	Deletes     []parser.Key             `cbor:"6,keyasint,omitempty"`
}

// Submit adds a task to a pool, to be executed once. AtUnixMs is the time of the submission.
type Submit struct {
	Task     identifier.Task `cbor:"1,keyasint"`
	Pool     identifier.Pool `cbor:"2,keyasint"`
	Payload  string          `cbor:"3,keyasint,omitempty"`
	AtUnixMs int64           `cbor:"4,keyasint"`
}

// Claim reserves a task for execution on a worker of a data centre. Epoch is the epoch of the cell
// lease that the claimant holds. GraceMs is how long the attempt may continue, in milliseconds,
// while its data centre is cut off from the log. Repeatable means that the task may be executed
// again if the outcome of this attempt is unknown.
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

// Reason is why a claimed task was released.
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

// Release ends an attempt. The task is queued again and continues from Checkpoint, unless it was
// cancelled or has now failed MaxAttempts times.
type Release struct {
	Task        identifier.Task    `cbor:"1,keyasint"`
	Attempt     identifier.Attempt `cbor:"2,keyasint"`
	Reason      Reason             `cbor:"3,keyasint"`
	Checkpoint  string             `cbor:"4,keyasint,omitempty"`
	Detail      string             `cbor:"5,keyasint,omitempty"`
	MaxAttempts int                `cbor:"6,keyasint,omitempty"`
}

// Outcome is how a task ended.
type Outcome string

// The outcomes of a task.
const (
	OutcomeDone      Outcome = "done"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeParked    Outcome = "parked"
)

// End ends a task for good.
type End struct {
	Task    identifier.Task    `cbor:"1,keyasint"`
	Attempt identifier.Attempt `cbor:"2,keyasint"`
	Outcome Outcome            `cbor:"3,keyasint"`
	Detail  string             `cbor:"4,keyasint,omitempty"`
}

// Resume ends an attempt whose outcome is unknown, so that the task is executed again. An operator
// requests it.
type Resume struct {
	Task    identifier.Task    `cbor:"1,keyasint"`
	Attempt identifier.Attempt `cbor:"2,keyasint"`
}

// Cancel requests that a task be stopped and not executed again.
type Cancel struct {
	Task identifier.Task `cbor:"1,keyasint"`
}

// Lease acquires or renews the cell lease of a data centre, or gives it up if Released is set.
type Lease struct {
	Holder   identifier.Incarnation `cbor:"1,keyasint"`
	Entry    identifier.Entry       `cbor:"2,keyasint"`
	Epoch    identifier.Epoch       `cbor:"3,keyasint"`
	Released bool                   `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the state that results from applying the records of a stream up to offset Next-1.
// Hash is the xxHash64 of State.
type Snapshot struct {
	Next  identifier.Offset `cbor:"1,keyasint"`
	Hash  uint64            `cbor:"2,keyasint"`
	State []byte            `cbor:"3,keyasint"`
	// AtUnixMs is when the snapshot was taken, by the clock of the host that took it.
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
