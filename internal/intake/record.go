// Package intake accepts jobs and cancellations from callers and stores them in the inbox of
// their cell. It also answers queries about jobs by asking the holder of the cell, which is the
// host that schedules the cell's jobs.
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

// TopicInbox is the topic of submissions and cancellations, with one partition per cell.
const TopicInbox connector.Topic = "inbox"

// ErrMalformedRecord marks the error of an inbox record that cannot be decoded or whose job is
// invalid.
var ErrMalformedRecord = errors.New("malformed inbox record")

// Submission is an accepted job, with the configuration of its queue and the time of acceptance.
// ConfigVersion is the version of that configuration; zero if the accepting host did not state it.
type Submission struct {
	Job   submitter.Job         `cbor:"1,keyasint" json:"job"`
	Queue connector.QueueConfig `cbor:"2,keyasint" json:"queue"`
	At    identifier.UnixMillis `cbor:"3,keyasint" json:"at"`

	ConfigVersion identifier.ConfigVersion `cbor:"4,keyasint,omitempty" json:"configVersion,omitempty"`
	// Team is the team that submits the job; empty if it is not known.
	Team identifier.Team `cbor:"5,keyasint,omitempty" json:"team,omitempty"`
}

// Cancellation requests the end of a job.
type Cancellation struct {
	ID identifier.Job        `cbor:"1,keyasint" json:"id"`
	At identifier.UnixMillis `cbor:"2,keyasint" json:"at"`
}

// Grant lends a worker to the cell in whose inbox it is. Base is added to the epochs of the cell's orders
// to the worker.
type Grant struct {
	Worker identifier.Worker `cbor:"1,keyasint" json:"worker"`
	From   identifier.Cell   `cbor:"2,keyasint" json:"from"`
	Base   identifier.Epoch  `cbor:"3,keyasint" json:"base"`
}

const (
	submissionPrefix   = "s"
	cancellationPrefix = "c"
	grantPrefix        = "g"
	keySeparator       = ":"
	hexBase            = 16
)

// EncodeSubmission returns the inbox record of a submission. The key contains a hash of the job,
// so that a different job with the same ID does not replace it. Submissions of one job may have
// different keys: the hash depends on the release and on the name of the queue. The planner knows
// jobs by their ID and deletes all their submissions.
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

// EncodeCancellation returns the inbox record of a cancellation.
func EncodeCancellation(c Cancellation) (connector.KeyedRecord, error) {
	value, err := cbor.Marshal(c)
	if err != nil {
		return connector.KeyedRecord{}, errors.Wrap(err, "encode cancellation")
	}
	return connector.KeyedRecord{Key: cancellationPrefix + string(c.ID), Value: value}, nil
}

// EncodeGrant returns the inbox record of a grant. The key contains the base, so that an older grant
// which is stored late replaces no newer one.
func EncodeGrant(g Grant) (connector.KeyedRecord, error) {
	value, err := cbor.Marshal(g)
	if err != nil {
		return connector.KeyedRecord{}, errors.Wrap(err, "encode grant")
	}
	return connector.KeyedRecord{Key: grantPrefix + string(g.Worker) + keySeparator + strconv.FormatUint(uint64(g.Base), hexBase), Value: value}, nil
}

// Deletions returns the records that delete a job's cancellation and its submissions.
func Deletions(id identifier.Job, submissionKeys []string) []connector.KeyedRecord {
	out := []connector.KeyedRecord{{Key: cancellationPrefix + string(id)}}
	for _, key := range submissionKeys {
		out = append(out, connector.KeyedRecord{Key: key})
	}
	return out
}

// Entry is a decoded inbox record: a submission, a cancellation or a grant.
type Entry struct {
	Submission   *Submission
	Cancellation *Cancellation
	Grant        *Grant
}

// Decode decodes an inbox record; ok is false for a deletion. The error is marked
// ErrMalformedRecord.
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
	case strings.HasPrefix(r.Key, grantPrefix):
		var g Grant
		g, err = catcher.Unmarshal[Grant](cbor.Unmarshal, r.Value)
		if err == nil && (g.Worker == "" || g.Base == 0 || g.From < 0) {
			err = errors.Newf("grant of worker %q by cell %d with base %d", g.Worker, g.From, g.Base)
		}
		e.Grant = &g
	default:
		err = errors.Newf("unknown key %q", r.Key)
	}
	if err != nil {
		return Entry{}, false, errors.Mark(errors.Wrapf(err, "inbox record at %d", r.Offset), ErrMalformedRecord)
	}
	return e, true, nil
}

// decodeSubmission decodes a submission and checks its job again, since every holder of the cell
// will process it, no matter which host accepted it.
func decodeSubmission(value []byte) (*Submission, error) {
	s, err := catcher.Unmarshal[Submission](cbor.Unmarshal, value)
	if err != nil {
		return nil, err
	}
	return &s, s.Job.Check()
}
