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

// Serve answers a call of another host by the same call of a store. Ok is false for
// a method that is not one of a store.
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

// handler answers one method.
type handler func(ctx context.Context, store connector.Store, params json.RawMessage) (any, error)

var handlers = map[messenger.Method]handler{
	messenger.MethodAppend: decoded(func(ctx context.Context, s connector.Store, a connector.KeyedAppend) (identifier.Offset, error) {
		return s.Append(ctx, a)
	}),
	messenger.MethodNewest: decoded(func(ctx context.Context, s connector.Store, c dialer.PartitionCall) (connector.KeyedPage, error) {
		page, err := s.Newest(ctx, c.Topic, c.Partition, c.After)
		return firstOfPage(page, c.MaxBytes), err
	}),
	messenger.MethodRead: decoded(func(ctx context.Context, s connector.Store, c dialer.PartitionCall) (any, error) {
		r, err := s.Read(connector.WithMaxBytes(ctx, boundOf(c.MaxBytes)), c.Topic, c.Partition, c.From, time.Duration(c.WaitMs)*time.Millisecond)
		r = firstOf(r, c.From, c.MaxBytes)
		if err != nil || !c.AcceptCompressed || connector.RecordBytes(r.Records...) < leastPacked {
			return r, err
		}
		return dialer.CompressRead(r)
	}),
	messenger.MethodJoin: decoded(func(ctx context.Context, s connector.Store, c dialer.GroupCall) (connector.Membership, error) {
		return s.Join(ctx, c.Group, c.Topic, c.Member, c.Generation, time.Duration(c.TTLMs)*time.Millisecond)
	}),
	messenger.MethodLeave: decoded(func(ctx context.Context, s connector.Store, c dialer.GroupCall) (struct{}, error) {
		return struct{}{}, s.Leave(ctx, c.Group, c.Member)
	}),
	messenger.MethodOwners: decoded(func(ctx context.Context, s connector.Store, c dialer.GroupCall) ([]connector.Ownership, error) {
		return s.Owners(ctx, c.Group)
	}),
}

// relayedBytes bounds the records of a read for another host: what a link of 2 Mbit/s
// carries as JSON within half of peerTimeout.
const relayedBytes = 36 << 10

// leastPacked is from how many bytes of records on a reading is worth compressing: what a
// link of 2 Mbit/s carries in 8 ms. Most readings are empty.
const leastPacked = 2 << 10

// boundOf returns the bound of a read for another host, which asked for one or told zero.
func boundOf(asked int) int {
	if asked <= 0 {
		return relayedBytes
	}
	return min(asked, relayedBytes)
}

// firstOf returns the first records of a reading that may be relayed, at least one; asked is
// what the other host asked for, or zero.
func firstOf(r connector.ReadResult, from identifier.Offset, asked int) connector.ReadResult {
	most, size := boundOf(asked), 0
	for i, rec := range r.Records {
		size += connector.RecordBytes(rec)
		if i > 0 && size > most {
			return connector.ReadResult{Records: r.Records[:i], Next: from + identifier.Offset(i), More: true}
		}
	}
	return r
}

// firstOfPage returns the first records of a page that may be relayed, at least one; asked is
// what the other host asked for. One that told no bound takes the whole page.
func firstOfPage(page connector.KeyedPage, asked int) connector.KeyedPage {
	if asked <= 0 {
		return page
	}
	size := 0
	for i, rec := range page.Records {
		if size += connector.RecordBytes(rec); i > 0 && size > boundOf(asked) {
			page.Records, page.More = page.Records[:i], true
			break
		}
	}
	return page
}

// serveTimeout bounds a call that was made for another host, beyond its wait.
const serveTimeout = 2 * time.Second

// decoded returns a handler that decodes the params of a call.
func decoded[In, Out any](call func(ctx context.Context, store connector.Store, in In) (Out, error)) handler {
	return func(ctx context.Context, store connector.Store, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, refuser.New(refuser.CodeInvalid, "params are not readable: %v", err)
		}
		ctx, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		return call(ctx, store, in)
	}
}
