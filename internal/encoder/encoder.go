// Package encoder turns the records of the log streams into bytes and back.
// Several records travel in one append.
package encoder

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Format is the version of the record format that this program writes.
const Format = 1

var (
	// ErrNewerFormat marks a record that a later program wrote in a format that
	// this one must not guess at.
	ErrNewerFormat = errors.New("record format is newer than this program")
	// ErrMalformed marks bytes that are no record.
	ErrMalformed = errors.New("malformed record")
	// ErrCorrupt marks a snapshot whose hash does not match its content.
	ErrCorrupt = errors.New("snapshot is damaged")
)

// Record is one decided step of a stream.
type Record struct {
	ID   identifier.RecordID
	Body Body
}

// NewRecord returns a record of the body under a new random identity.
func NewRecord(body Body) Record { return Record{identifier.NewRecordID(), body} }

type envelope struct {
	Format int    `cbor:"1,keyasint"`
	Items  []item `cbor:"2,keyasint"`
}

type item struct {
	ID   identifier.RecordID `cbor:"1,keyasint"`
	Kind kind                `cbor:"2,keyasint"`
	Body cbor.RawMessage     `cbor:"3,keyasint"`
}

// Encode returns the records as the data of one append.
func Encode(records []Record) ([]byte, error) {
	env := envelope{Format: Format, Items: make([]item, len(records))}
	for i, r := range records {
		body, err := cbor.Marshal(r.Body)
		if err != nil {
			return nil, errors.Wrap(err, "encode record")
		}
		env.Items[i] = item{r.ID, r.Body.kind(), body}
	}
	return cbor.Marshal(env)
}

// Decode returns the records of one append. The error is marked ErrMalformed
// or ErrNewerFormat.
func Decode(data []byte) ([]Record, error) {
	var env envelope
	if err := cbor.Unmarshal(data, &env); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode envelope"), ErrMalformed)
	}
	if env.Format > Format {
		return nil, errors.Mark(errors.Newf("record format %d", env.Format), ErrNewerFormat)
	}
	out := make([]Record, len(env.Items))
	for i, it := range env.Items {
		body, err := decodeBody(it)
		if err != nil {
			return nil, err
		}
		out[i] = Record{it.ID, body}
	}
	return out, nil
}

func decodeBody(it item) (Body, error) {
	switch it.Kind {
	case kindPublish:
		return unmarshal[Publish](it.Body)
	case kindSubmit:
		return unmarshal[Submit](it.Body)
	case kindClaim:
		return unmarshal[Claim](it.Body)
	case kindRelease:
		return unmarshal[Release](it.Body)
	case kindEnd:
		return unmarshal[End](it.Body)
	case kindCancel:
		return unmarshal[Cancel](it.Body)
	case kindLease:
		return unmarshal[Lease](it.Body)
	case kindResume:
		return unmarshal[Resume](it.Body)
	case kindSnapshot:
		return unmarshal[Snapshot](it.Body)
	default:
		return nil, errors.Mark(errors.Newf("record kind %d", it.Kind), ErrNewerFormat)
	}
}

func unmarshal[T Body](data []byte) (Body, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode record"), ErrMalformed)
	}
	return v, nil
}

// NewSnapshot returns the snapshot of a fold whose next record is at next.
func NewSnapshot(next identifier.Offset, state []byte) Snapshot {
	return Snapshot{Next: next, Hash: xxhash.Sum64(state), State: state, AtUnixMs: time.Now().UnixMilli()}
}

// Verify reports an error marked ErrDamaged unless the content is whole.
func (s Snapshot) Verify() error {
	if xxhash.Sum64(s.State) != s.Hash {
		return errors.Mark(errors.Newf("hash mismatch in snapshot at offset %d", s.Next), ErrCorrupt)
	}
	return nil
}
