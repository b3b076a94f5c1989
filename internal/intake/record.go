// Package intake accepts jobs from callers, stores them, and answers what
// callers ask about them, through whichever host schedules them.
package intake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/balsamcove/balsamcove/internal/catcher"
	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/submitter"
)

// TopicInbox holds the submissions and cancellations of each cell.
const TopicInbox connector.Topic = "inbox"

// ErrRecord marks bytes that are no record of the inbox.
var ErrRecord = errors.New("malformed inbox record")

// Submission is a job as it was accepted.
type Submission struct {
	Job   submitter.Job         `cbor:"1,keyasint" json:"job"`
	Queue connector.QueueConfig `cbor:"2,keyasint" json:"queue"`
	At    identifier.UnixMillis `cbor:"3,keyasint" json:"at"`
}

// Cancellation ends a job.
type Cancellation struct {
	ID identifier.Job        `cbor:"1,keyasint" json:"id"`
	At identifier.UnixMillis `cbor:"2,keyasint" json:"at"`
}

const (
	submissionPrefix   = "s"
	cancellationPrefix = "c"
	keySeparator       = ":"
	hexBase            = 16
)

// EncodeSubmission returns the record of a submission. The key holds a hash of
// the job, so that another job under the same identity does not replace it.
func EncodeSubmission(s Submission) (connector.KeyedRecord, error) {
	job, err := cbor.Marshal(s.Job)
	if err != nil {
		return connector.KeyedRecord{}, errors.Wrap(err, "encode job")
	}
	value, err := cbor.Marshal(s)
	if err != nil {
		return connector.KeyedRecord{}, errors.Wrap(err, "encode submission")
	}
	hash := strconv.FormatUint(xxhash.Sum64(job), hexBase)
	return connector.KeyedRecord{Key: submissionPrefix + string(s.Job.ID) + keySeparator + hash, Value: value}, nil
}

// EncodeCancellation returns the record of a cancellation.
func EncodeCancellation(c Cancellation) (connector.KeyedRecord, error) {
	value, err := cbor.Marshal(c)
	if err != nil {
		return connector.KeyedRecord{}, errors.Wrap(err, "encode cancellation")
	}
	return connector.KeyedRecord{Key: cancellationPrefix + string(c.ID), Value: value}, nil
}

// Deletions returns the records that delete a job's submission and its
// cancellation.
func Deletions(id identifier.Job, submissionKey string) []connector.KeyedRecord {
	out := []connector.KeyedRecord{{Key: cancellationPrefix + string(id)}}
	if submissionKey != "" {
		out = append(out, connector.KeyedRecord{Key: submissionKey})
	}
	return out
}

// Entry is a record of the inbox: a submission or a cancellation.
type Entry struct {
	Submission   *Submission
	Cancellation *Cancellation
}

// Decode reads a record of the inbox; ok is false for a deleted key.
func Decode(r connector.KeyedRecord) (e Entry, ok bool, err error) {
	if len(r.Value) == 0 {
		return Entry{}, false, nil
	}
	switch {
	case strings.HasPrefix(r.Key, submissionPrefix):
		e.Submission, err = decodeSubmission(r.Value)
	case strings.HasPrefix(r.Key, cancellationPrefix):
		var c Cancellation
		c, err = catcher.Unmarshal[Cancellation](cbor.Unmarshal, r.Value)
		e.Cancellation = &c
	default:
		err = errors.Newf("unknown key %q", r.Key)
	}
	if err != nil {
		return Entry{}, false, errors.Mark(errors.Wrapf(err, "inbox record at %d", r.Offset), ErrRecord)
	}
	return e, true, nil
}

// decodeSubmission reads a submission. Its job is checked again: what is stored is acted on
// by every holder, whoever accepted it.
func decodeSubmission(value []byte) (*Submission, error) {
	s, err := catcher.Unmarshal[Submission](cbor.Unmarshal, value)
	if err != nil {
		return nil, err
	}
	return &s, s.Job.Check()
}
