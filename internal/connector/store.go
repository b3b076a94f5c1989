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
	// ErrConflict marks an append whose condition did not hold; nothing was
	// written.
	ErrConflict = errors.New("condition of the append does not hold")
	// ErrBusy marks a call that the other side turned away without doing
	// anything, and that may succeed later.
	ErrBusy = errors.New("turned away")
)

// Topic names a set of partitions of the store.
type Topic string

// Partition numbers a partition of a topic.
type Partition int

// KeyedRecord is a record of a topic that keeps the newest record of each key
// for ever. A record without a value deletes its key.
type KeyedRecord struct {
	Key    string            `json:"key"`
	Value  []byte            `json:"value"`
	Offset identifier.Offset `json:"offset"`
}

// RecordBytes returns the bytes of the keys and values of records.
func RecordBytes(records ...KeyedRecord) (n int) {
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// The sizes that every store takes; it refuses the whole of a larger append.
const (
	// MaxRecordBytes bounds the key and value of a record.
	MaxRecordBytes = 256 << 10
	// MaxAppendBytes bounds the records of one append.
	MaxAppendBytes = 2 << 20
)

// KeyedAppend adds records to one partition, all or none of them.
type KeyedAppend struct {
	Topic     Topic         `json:"topic"`
	Partition Partition     `json:"partition"`
	Records   []KeyedRecord `json:"records"`
	// At, if set, is the offset at which the partition must end.
	ExpectedEnd *identifier.Offset `json:"at"`
	// Writer, if set, makes a repeat of the append harmless and refuses the
	// append once another writer has used a higher epoch.
	Writer *WriterID `json:"writer"`
}

// WriterID identifies an append of one of several successive writers.
type WriterID struct {
	Name     string           `json:"name"`
	Epoch    identifier.Epoch `json:"epoch"`
	Sequence uint64           `json:"sequence"`
}

// KeyedPage is a part of the newest records of a partition.
type KeyedPage struct {
	Records []KeyedRecord `json:"records"`
	// More is set if keys after the last one of Records remain.
	More bool `json:"more"`
	// End is the offset that the next record of the partition gets.
	End identifier.Offset `json:"end"`
}

// ReadResult is a part of the records of a partition.
type ReadResult struct {
	Records []KeyedRecord `json:"records"`
	// Next is the offset after them.
	Next identifier.Offset `json:"next"`
	// More is set if the partition held records beyond them: what was read is not yet all
	// that was there when the read began.
	More bool `json:"more,omitempty"`
}

// Membership is a host's share of a group, as the store deals it.
type Membership struct {
	Generation uint64      `json:"generation"`
	Partitions []Partition `json:"partitions"`
}

// Ownership says which member of a group holds a partition.
type Ownership struct {
	Partition Partition `json:"partition"`
	Member    string    `json:"member"`
}

// Store is the platform's log with keyed topics and group membership. Errors
// are marked ErrNotSent, ErrBusy or ErrRefused if nothing was done, ErrUnknown
// if the call may have taken effect or still may, and ErrFenced, ErrConflict or
// ErrExpired by their reason.
type Store interface {
	// Append returns the offset that the next record will get.
	Append(ctx context.Context, a KeyedAppend) (identifier.Offset, error)
	// Newest returns the newest records of the keys that follow a key.
	Newest(ctx context.Context, topic Topic, part Partition, after string) (KeyedPage, error)
	// Read returns records from an offset on, as many as suit the way to the store; it
	// waits for the first one up to wait.
	Read(ctx context.Context, topic Topic, part Partition, from identifier.Offset, wait time.Duration) (ReadResult, error)
	// Join enters a group or renews the membership for ttl.
	Join(ctx context.Context, group string, topic Topic, member string, generation uint64, ttl time.Duration) (Membership, error)
	// Leave gives all partitions back.
	Leave(ctx context.Context, group, member string) error
	// Owners lists who holds which partition.
	Owners(ctx context.Context, group string) ([]Ownership, error)
}

// maxKeyBytes is the length that a key may have: its length is told in a byte.
const maxKeyBytes = 255

// maxPages bounds the pages of newest records, far above those of a full store.
const maxPages = 10_000

// NewestAll returns the newest record of every key of a partition, and the
// offset from which reading on misses nothing. A record may be there twice.
func NewestAll(ctx context.Context, s Store, topic Topic, part Partition) ([]KeyedRecord, identifier.Offset, error) {
	var records []KeyedRecord
	var end identifier.Offset
	after := ""
	used := map[string]bool{"": true}
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
		next, ok := nextCursor(page.Records, used)
		if !ok {
			break
		}
		after, used[next] = next, true
	}
	return nil, 0, errors.Mark(errors.Newf("pages of topic %s lead nowhere after key %q", topic, after), ErrUnknown)
}

// nextCursor returns the key after which the next page begins; ok is false if all that may
// help were used. A key that is not valid UTF-8 is told with replacement characters: the
// store would not know it, and might begin with the same page for ever.
func nextCursor(records []KeyedRecord, used map[string]bool) (key string, ok bool) {
	for _, r := range slices.Backward(records) {
		if !isMangled(r.Key) && !used[r.Key] {
			return r.Key, true
		}
	}
	if len(records) == 0 {
		return "", false
	}
	// What is mangled is beyond ASCII. So is all that these pass over.
	sound, _, _ := strings.Cut(strings.ToValidUTF8(records[len(records)-1].Key, mangled), mangled)
	for _, key := range []string{sound + string(unicode.MaxRune), sound + strings.Repeat("\xff", max(maxKeyBytes-len(sound), 0))} {
		if !used[key] {
			return key, true
		}
	}
	return "", false
}

// mangled stands for bytes that are not valid UTF-8.
const mangled = string(unicode.ReplacementChar)

func isMangled(key string) bool { return !utf8.ValidString(key) || strings.Contains(key, mangled) }
