package dialer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// The codes by which a store tells why it did nothing.
const (
	CodeFenced  refuser.Code = "fenced"
	CodeExpired refuser.Code = "expired"
	CodeBusy    refuser.Code = "busy"
)

// marks are the errors of connector.Store by the codes of refusals.
var marks = map[refuser.Code]error{
	CodeFenced: connector.ErrFenced, CodeExpired: connector.ErrExpired, CodeBusy: connector.ErrBusy,
	refuser.CodeConflict: connector.ErrConflict, refuser.CodeInvalid: connector.ErrRefused,
}

// StoreRefusal returns the refusal that tells a client of the store's error.
func StoreRefusal(err error) *refuser.Refusal {
	for code, mark := range marks {
		if errors.Is(err, mark) {
			return refuser.New(code, "%v", err)
		}
	}
	return refuser.From(err)
}

// The parameters of a store's calls.
type (
	// PartitionCall names a part of a partition's records.
	PartitionCall struct {
		Topic     connector.Topic     `json:"topic"`
		Partition connector.Partition `json:"partition"`
		After     string              `json:"after,omitempty"`
		From      identifier.Offset   `json:"from,omitempty"`
		WaitMs    int64               `json:"waitMs,omitempty"`
		// MaxBytes bounds the records of a read or page, of which there is at least one; zero leaves
		// the bound to the host that reads.
		MaxBytes int `json:"maxBytes,omitempty"`
		// AcceptCompressed asks for a PackedReading, if the other side knows it.
		AcceptCompressed bool `json:"packed,omitempty"`
	}
	// GroupCall names a member of a group.
	GroupCall struct {
		Group      string          `json:"group"`
		Topic      connector.Topic `json:"topic,omitempty"`
		Member     string          `json:"member,omitempty"`
		Generation uint64          `json:"generation,omitempty"`
		TTLMs      int64           `json:"ttlMs,omitempty"`
	}
)

// Store calls a store over JSON-RPC. It implements connector.Store.
type Store struct {
	rpc     *messenger.Client
	address string
}

// NewStore returns the store at an address.
func NewStore(rpc *messenger.Client, address string) *Store { return &Store{rpc, address} }

func (s *Store) call(ctx context.Context, method messenger.Method, params, result any) error {
	err := s.rpc.Call(ctx, s.address, method, params, result)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	if mark, ok := marks[refusal.Code]; ok {
		return errors.Mark(err, mark)
	}
	return errors.Mark(err, connector.ErrUnknown)
}

// Append implements connector.Store.
func (s *Store) Append(ctx context.Context, a connector.KeyedAppend) (end identifier.Offset, err error) {
	err = s.call(ctx, messenger.MethodAppend, a, &end)
	return end, err
}

// Newest implements connector.Store.
func (s *Store) Newest(ctx context.Context, topic connector.Topic, part connector.Partition, after string) (page connector.KeyedPage, err error) {
	err = s.call(ctx, messenger.MethodNewest, PartitionCall{Topic: topic, Partition: part, After: after}, &page)
	return page, err
}

// NewestUpTo returns the newest records as Newest does, at most so many bytes of them if the
// other side knows that bound.
func (s *Store) NewestUpTo(ctx context.Context, topic connector.Topic, part connector.Partition, after string, most int) (page connector.KeyedPage, err error) {
	err = s.call(ctx, messenger.MethodNewest, PartitionCall{Topic: topic, Partition: part, After: after, MaxBytes: most}, &page)
	return page, err
}

// Read implements connector.Store.
func (s *Store) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (out connector.ReadResult, err error) {
	err = s.call(ctx, messenger.MethodRead, PartitionCall{Topic: topic, Partition: part, From: from, WaitMs: wait.Milliseconds()}, &out)
	return out, err
}

// ReadUpTo reads as Read does, at most so many bytes of records if that is not zero, which
// travel packed if the other side knows how.
func (s *Store) ReadUpTo(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration, most int) (connector.ReadResult, error) {
	var out struct {
		connector.ReadResult
		CompressedRead
	}
	err := s.call(ctx, messenger.MethodRead, PartitionCall{
		Topic: topic, Partition: part, From: from, WaitMs: wait.Milliseconds(), MaxBytes: most, AcceptCompressed: true,
	}, &out)
	if err != nil || len(out.Compressed) == 0 {
		return out.ReadResult, err
	}
	r, err := out.Decompress()
	return r, errors.Mark(err, connector.ErrUnknown)
}

// Join implements connector.Store.
func (s *Store) Join(ctx context.Context, group string, topic connector.Topic, member string, generation uint64, ttl time.Duration) (m connector.Membership, err error) {
	err = s.call(ctx, messenger.MethodJoin, GroupCall{group, topic, member, generation, ttl.Milliseconds()}, &m)
	return m, err
}

// Leave implements connector.Store.
func (s *Store) Leave(ctx context.Context, group, member string) error {
	return s.call(ctx, messenger.MethodLeave, GroupCall{Group: group, Member: member}, nil)
}

// Owners implements connector.Store.
func (s *Store) Owners(ctx context.Context, group string) (owners []connector.Ownership, err error) {
	err = s.call(ctx, messenger.MethodOwners, GroupCall{Group: group}, &owners)
	return owners, err
}
