// Package encoder encodes and decodes the records of the log streams as CBOR. One log append holds
// a batch of records in a versioned envelope.
package encoder

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

// Format is the version of the record format that Encode writes, and the highest that Decode
// accepts.
const Format = 1

var (
	// ErrNewerFormat marks a record of a format version or kind that this program does not know
	// because a newer version wrote it. Such a record must not be interpreted.
	ErrNewerFormat = errors.New("record format is newer than this program")
	// ErrMalformed marks data that cannot be decoded as records.
	ErrMalformed = errors.New("malformed record")
	// ErrCorrupt marks a snapshot whose state does not match its hash.
	ErrCorrupt = errors.New("snapshot is corrupt")
)

// Record is one entry of a log stream: a state change with a unique ID.
type Record struct {
	ID   identifier.RecordID
	Body Body
}

// NewRecord returns a record of the body with a new random ID.
func NewRecord(body Body) Record { return Record{identifier.NewRecordID(), body} }

// envelope is the encoded form of one append.
type envelope struct {
	Format int    `cbor:"1,keyasint"`
	Items  []item `cbor:"2,keyasint"`
}

// item is one record of an envelope. Kind selects the type that Body is decoded into.
type item struct {
	ID   identifier.RecordID `cbor:"1,keyasint"`
	Kind kind                `cbor:"2,keyasint"`
	Body cbor.RawMessage     `cbor:"3,keyasint"`
}

// Encode encodes the records as the data of one append.
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

// Decode decodes the records of one append. Its errors are marked ErrMalformed or ErrNewerFormat.
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

// NewSnapshot returns a snapshot of state, the result of applying all records of a stream before
// offset next.
func NewSnapshot(next identifier.Offset, state []byte) Snapshot {
	return Snapshot{Next: next, Hash: xxhash.Sum64(state), State: state, AtUnixMs: time.Now().UnixMilli()}
}

// Verify checks the state against the hash. It returns an error marked ErrCorrupt on a mismatch.
func (s Snapshot) Verify() error {
	if xxhash.Sum64(s.State) != s.Hash {
		return errors.Mark(errors.Newf("hash mismatch in snapshot at offset %d", s.Next), ErrCorrupt)
	}
	return nil
}
