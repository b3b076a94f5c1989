package connector

import (
	"context"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/identifier"
)

var (
	// ErrConflict marks an append whose condition did not hold, so that nothing was written.
	ErrConflict = errors.New("condition of the append does not hold")
	// ErrBusy marks a call that the other side rejected without any effect and that may succeed
	// later.
	ErrBusy = errors.New("turned away")
)

// Topic names a set of partitions of the store.
type Topic string

// Partition numbers a partition of a topic.
type Partition int

// KeyedRecord is a record of a compacted topic, which retains the newest record of each key for
// ever. A record without a value deletes its key.
type KeyedRecord struct {
	Key    string            `json:"key"`
	Value  []byte            `json:"value"`
	Offset identifier.Offset `json:"offset"`
}

// RecordBytes returns the total size of the keys and values of records in bytes.
func RecordBytes(records ...KeyedRecord) (n int) {
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// The sizes that every store accepts. It refuses a larger append as a whole.
const (
	// MaxRecordBytes bounds the key and value of a record.
	MaxRecordBytes = 256 << 10
	// SharedAppendTimeout bounds an append to a partition to which several clients append. The store takes
	// the appends to a partition in turn, and refuses one if more than 2 s of them are waiting: one that is
	// not refused is answered within that time and its own.
	SharedAppendTimeout = 2500 * time.Millisecond
	// GroupedAppendTimeout bounds an append that another host makes together with its own. It waits there for
	// the append under way.
	GroupedAppendTimeout = 2 * SharedAppendTimeout
	// MaxAppendBytes bounds the records of one append.
	MaxAppendBytes = 2 << 20
)

// KeyedAppend appends records to one partition atomically.
type KeyedAppend struct {
	Topic     Topic         `json:"topic"`
	Partition Partition     `json:"partition"`
	Records   []KeyedRecord `json:"records"`
	// ExpectedEnd, if set, makes the append fail with ErrConflict unless the partition ends at this
	// offset.
	ExpectedEnd *identifier.Offset `json:"at"`
	// Writer, if set, makes the append idempotent, and makes it fail with ErrFenced once another
	// writer has used a higher epoch.
	Writer *WriterID `json:"writer"`
}

// WriterID identifies an append: Epoch distinguishes successive writers of the same name, Sequence
// the appends of one of them.
type WriterID struct {
	Name     string           `json:"name"`
	Epoch    identifier.Epoch `json:"epoch"`
	Sequence uint64           `json:"sequence"`
}

// KeyedPage is one page of the newest records of a partition.
type KeyedPage struct {
	Records []KeyedRecord `json:"records"`
	// More is set if there are keys after the last key of Records.
	More bool `json:"more"`
	// End is the offset that the next record of the partition gets.
	End identifier.Offset `json:"end"`
}

// ReadResult is the result of reading a partition from an offset on.
type ReadResult struct {
	Records []KeyedRecord `json:"records"`
	// Next is the offset from which to read on.
	Next identifier.Offset `json:"next"`
	// More is set if the partition held further records when the read started.
	More bool `json:"more,omitempty"`
	// Behind is set if the partition ended before the offset of the read, so that the answer is from
	// an earlier state of the store.
	Behind bool `json:"behind,omitempty"`
	// Via is the address of the host that made the read on behalf of this one; empty if the store
	// itself answered.
	Via string `json:"-" cbor:"-"`
}

// Membership is the set of partitions that the store has assigned to a member of a group.
type Membership struct {
	Generation uint64      `json:"generation"`
	Partitions []Partition `json:"partitions"`
}

// Ownership states which member of a group owns a partition.
type Ownership struct {
	Partition Partition `json:"partition"`
	Member    string    `json:"member"`
}

// Store is the platform's log with keyed topics and group membership. Errors are marked
// ErrNotSent, ErrBusy or ErrRefused if the call had no effect, ErrUnknown if it may have taken
// effect or still may, and ErrFenced, ErrConflict or ErrExpired for these reasons.
type Store interface {
	// Append returns the offset that the next record will get.
	Append(ctx context.Context, a KeyedAppend) (identifier.Offset, error)
	// Newest returns a page of the newest records, sorted by key, of the keys that follow after.
	Newest(ctx context.Context, topic Topic, part Partition, after string) (KeyedPage, error)
	// Read returns records from an offset on. If there are none, it waits for the first one for up
	// to wait. The implementation chooses how many records it returns.
	Read(ctx context.Context, topic Topic, part Partition, from identifier.Offset, wait time.Duration) (ReadResult, error)
	// Join enters a group or renews the membership for ttl.
	Join(ctx context.Context, group string, topic Topic, member string, generation uint64, ttl time.Duration) (Membership, error)
	// Leave leaves a group and releases the member's partitions.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the owners of the partitions of a group.
	Owners(ctx context.Context, group string) ([]Ownership, error)
}

// maxKeyBytes bounds the length of a key, which the store encodes in one byte.
const maxKeyBytes = 255

// maxPages bounds the pages that NewestAll reads. It is far above the number in a full store.
const maxPages = 10_000

// NewestAll returns the newest record of every key of a partition, and the offset from which to
// read on without missing any record. It may return a record twice. If the pages do not advance,
// the error is marked ErrUnknown.
func NewestAll(ctx context.Context, s Store, topic Topic, part Partition) ([]KeyedRecord, identifier.Offset, error) {
	var records []KeyedRecord
	var end identifier.Offset
	after := ""
	usedCursors := map[string]bool{"": true}
	for n := range maxPages {
		page, err := s.Newest(ctx, topic, part, after)
		if err != nil {
			return nil, 0, err
		}
		if n == 0 {
			end = page.End
		}
		ReportProgress(ctx)
		records = append(records, page.Records...)
		if !page.More {
			return records, end, nil
		}
		next, ok := nextCursor(page.Records, usedCursors)
		if !ok {
			break
		}
		after, usedCursors[next] = next, true
	}
	return nil, 0, errors.Mark(errors.Newf("pages of topic %s do not advance after key %q", topic, after), ErrUnknown)
}

// nextCursor returns the key after which the next page starts; ok is false if every candidate has
// been used already. A key that is not valid UTF-8 arrives with replacement characters and so is
// not the key in the store: as a cursor it might return the same page for ever.
func nextCursor(records []KeyedRecord, usedCursors map[string]bool) (key string, ok bool) {
	for _, r := range slices.Backward(records) {
		if !isLossy(r.Key) && !usedCursors[r.Key] {
			return r.Key, true
		}
	}
	if len(records) == 0 {
		return "", false
	}
	// Bytes that are not valid UTF-8 sort after ASCII. These cursors skip only keys that continue
	// the valid prefix with such bytes or with other characters beyond ASCII.
	validPrefix, _, _ := strings.Cut(strings.ToValidUTF8(records[len(records)-1].Key, runeError), runeError)
	for _, key := range []string{validPrefix + string(unicode.MaxRune), validPrefix + strings.Repeat("\xff", max(maxKeyBytes-len(validPrefix), 0))} {
		if !usedCursors[key] {
			return key, true
		}
	}
	return "", false
}

// runeError is U+FFFD, which decoders substitute for bytes that are not valid UTF-8.
const runeError = string(unicode.ReplacementChar)

func isLossy(key string) bool { return !utf8.ValidString(key) || strings.Contains(key, runeError) }
