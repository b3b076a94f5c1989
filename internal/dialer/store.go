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

// The codes of refusals of a store.
const (
	CodeFenced  refuser.Code = "fenced"
	CodeExpired refuser.Code = "expired"
	CodeBusy    refuser.Code = "busy"
	// CodeNotSent means that the host that relays a call has not sent it.
	CodeNotSent refuser.Code = "notSent"
)

// errorsByCode maps the codes of refusals to the errors of connector.Store.
var errorsByCode = map[refuser.Code]error{
	CodeFenced: connector.ErrFenced, CodeExpired: connector.ErrExpired, CodeBusy: connector.ErrBusy,
	CodeNotSent: connector.ErrNotSent, refuser.CodeConflict: connector.ErrConflict, refuser.CodeInvalid: connector.ErrRefused,
}

// StoreRefusal returns the refusal with which an error of a store is sent to a client, whose Store
// turns it back into the same error. One that is marked connector.ErrUnknown too stays unknown, whatever
// another attempt of the same call was refused for, unless the store itself decided the call.
func StoreRefusal(err error) *refuser.Refusal {
	if errors.Is(err, connector.ErrUnknown) && errors.IsAny(err, connector.ErrBusy, connector.ErrNotSent, connector.ErrRefused) {
		return refuser.NewUnknown(refuser.CodeUnavailable, "%v", err)
	}
	for code, target := range errorsByCode {
		if errors.Is(err, target) {
			return refuser.New(code, "%v", err)
		}
	}
	return refuser.From(err)
}

// The parameters of store calls.
type (
	// PartitionCall selects records of a partition.
	PartitionCall struct {
		Topic     connector.Topic     `json:"topic"`
		Partition connector.Partition `json:"partition"`
		After     string              `json:"after,omitempty"`
		From      identifier.Offset   `json:"from,omitempty"`
		WaitMs    int64               `json:"waitMs,omitempty"`
		// MaxBytes bounds the records of the result, which has at least one; zero leaves the limit
		// to the receiver of the call.
		MaxBytes int `json:"maxBytes,omitempty"`
		// AcceptCompressed requests a CompressedRead, if the receiver supports it.
		AcceptCompressed bool `json:"packed,omitempty"`
	}
	// GroupCall identifies a group, or a member of it.
	GroupCall struct {
		Group      string          `json:"group"`
		Topic      connector.Topic `json:"topic,omitempty"`
		Member     string          `json:"member,omitempty"`
		Generation uint64          `json:"generation,omitempty"`
		TTLMs      int64           `json:"ttlMs,omitempty"`
	}
)

// Store implements connector.Store over JSON-RPC.
type Store struct {
	rpc     *messenger.Client
	address string
}

// NewStore returns the store at an address.
func NewStore(rpc *messenger.Client, address string) *Store { return &Store{rpc, address} }

// Address returns the address of the store, or of the host that calls it.
func (s *Store) Address() string { return s.address }

// call makes a call and marks a refusal with the error of connector.Store for its code, or with
// connector.ErrUnknown if there is none.
func (s *Store) call(ctx context.Context, method messenger.Method, params, result any) error {
	err := s.rpc.Call(ctx, s.address, method, params, result)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	if target, ok := errorsByCode[refusal.Code]; ok {
		return errors.Mark(err, target)
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

// NewestUpTo is like Newest but returns at most maxBytes of records, if the other side supports
// that limit.
func (s *Store) NewestUpTo(ctx context.Context, topic connector.Topic, part connector.Partition, after string, maxBytes int) (page connector.KeyedPage, err error) {
	err = s.call(ctx, messenger.MethodNewest, PartitionCall{Topic: topic, Partition: part, After: after, MaxBytes: maxBytes}, &page)
	return page, err
}

// Read implements connector.Store.
func (s *Store) Read(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration) (out connector.ReadResult, err error) {
	err = s.call(ctx, messenger.MethodRead, PartitionCall{Topic: topic, Partition: part, From: from, WaitMs: wait.Milliseconds()}, &out)
	return out, err
}

// ReadUpTo is like Read but returns at most maxBytes of records, unless that is zero, and requests
// a compressed answer. Either applies only if the other side supports it.
func (s *Store) ReadUpTo(ctx context.Context, topic connector.Topic, part connector.Partition, from identifier.Offset, wait time.Duration, maxBytes int) (connector.ReadResult, error) {
	var out struct {
		connector.ReadResult
		CompressedRead
	}
	err := s.call(ctx, messenger.MethodRead, PartitionCall{
		Topic: topic, Partition: part, From: from, WaitMs: wait.Milliseconds(), MaxBytes: maxBytes, AcceptCompressed: true,
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
