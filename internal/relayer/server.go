package relayer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamcove/balsamcove/internal/connector"
	"github.com/balsamcove/balsamcove/internal/dialer"
	"github.com/balsamcove/balsamcove/internal/messenger"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// Serve answers a call of another host by making the same call to store. Ok is false if method is
// not a store method. The error is a *refuser.Refusal.
func Serve(ctx context.Context, store connector.Store, method messenger.Method, params json.RawMessage) (out any, ok bool, err error) {
	handle, ok := handlers[method]
	if !ok {
		return nil, false, nil
	}
	out, err = handle(ctx, store, params)
	if err != nil {
		return nil, true, dialer.StoreRefusal(err)
	}
	return out, true, nil
}

// handler makes one store call with JSON parameters.
type handler func(ctx context.Context, store connector.Store, params json.RawMessage) (any, error)

var handlers = map[messenger.Method]handler{
	messenger.MethodAppend: withParamsWithin(connector.GroupedAppendTimeout, func(ctx context.Context, s connector.Store, a connector.KeyedAppend) (identifier.Offset, error) {
		return s.Append(ctx, a)
	}),
	messenger.MethodNewest: withParams(func(ctx context.Context, s connector.Store, c dialer.PartitionCall) (connector.KeyedPage, error) {
		page, err := s.Newest(ctx, c.Topic, c.Partition, c.After)
		return truncatePage(page, c.MaxBytes), err
	}),
	messenger.MethodRead: withParams(func(ctx context.Context, s connector.Store, c dialer.PartitionCall) (any, error) {
		r, err := s.Read(connector.WithMaxBytes(ctx, relayLimit(c.MaxBytes)), c.Topic, c.Partition, c.From, time.Duration(c.WaitMs)*time.Millisecond)
		r = truncateRead(r, c.From, c.MaxBytes)
		if err != nil || !c.AcceptCompressed || connector.RecordBytes(r.Records...) < minCompressBytes {
			return r, err
		}
		return dialer.CompressRead(r)
	}),
	messenger.MethodJoin: withParams(func(ctx context.Context, s connector.Store, c dialer.GroupCall) (connector.Membership, error) {
		return s.Join(ctx, c.Group, c.Topic, c.Member, c.Generation, time.Duration(c.TTLMs)*time.Millisecond)
	}),
	messenger.MethodLeave: withParams(func(ctx context.Context, s connector.Store, c dialer.GroupCall) (struct{}, error) {
		return struct{}{}, s.Leave(ctx, c.Group, c.Member)
	}),
	messenger.MethodOwners: withParams(func(ctx context.Context, s connector.Store, c dialer.GroupCall) ([]connector.Ownership, error) {
		return s.Owners(ctx, c.Group)
	}),
}

// maxRelayedBytes bounds the records of a read for another host: a 2 Mbit/s link carries that much,
// encoded as JSON, within half of peerTimeout.
const maxRelayedBytes = 36 << 10

// minCompressBytes is the size of records from which a read result is compressed: a 2 Mbit/s link
// carries that much in 8 ms. Most read results are empty.
const minCompressBytes = 2 << 10

// relayLimit returns the limit in bytes of a read for another host; requested is the limit that the
// host sent, or zero.
func relayLimit(requested int) int {
	if requested <= 0 {
		return maxRelayedBytes
	}
	return min(requested, maxRelayedBytes)
}

// truncateRead cuts a read result, which starts at offset from, to relayLimit(requested) bytes of
// records, but keeps at least one record.
func truncateRead(r connector.ReadResult, from identifier.Offset, requested int) connector.ReadResult {
	limit, size := relayLimit(requested), 0
	for i, rec := range r.Records {
		size += connector.RecordBytes(rec)
		if i > 0 && size > limit {
			return connector.ReadResult{Records: r.Records[:i], Next: from + identifier.Offset(i), More: true}
		}
	}
	return r
}

// truncatePage cuts a page to relayLimit(requested) bytes of records, but keeps at least one
// record. A host that sent no limit (zero) gets the whole page.
func truncatePage(page connector.KeyedPage, requested int) connector.KeyedPage {
	if requested <= 0 {
		return page
	}
	size := 0
	for i, rec := range page.Records {
		if size += connector.RecordBytes(rec); i > 0 && size > relayLimit(requested) {
			page.Records, page.More = page.Records[:i], true
			break
		}
	}
	return page
}

// serveTimeout bounds a call made for another host, other than an append, including the time a read waits for
// records.
const serveTimeout = 2 * time.Second

// withParams returns a handler that decodes the JSON parameters and makes call within serveTimeout.
func withParams[In, Out any](call func(ctx context.Context, store connector.Store, in In) (Out, error)) handler {
	return withParamsWithin(serveTimeout, call)
}

// withParamsWithin is withParams with another timeout.
func withParamsWithin[In, Out any](timeout time.Duration, call func(ctx context.Context, store connector.Store, in In) (Out, error)) handler {
	return func(ctx context.Context, store connector.Store, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, refuser.New(refuser.CodeInvalid, "params are not readable: %v", err)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return call(ctx, store, in)
	}
}
