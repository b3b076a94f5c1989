package connector

import (
	"context"
	"time"
)

type arrivalsKey struct{}

// WithArrivals returns a context whose calls report each part of a large answer that has
// arrived, which tells an answer that takes long from none.
func WithArrivals(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, arrivalsKey{}, func() {
		report()
		Arrived(ctx)
	})
}

// WithSilence returns a context that ends when nothing has arrived for a time.
func WithSilence(ctx context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence, func() { cancel(context.DeadlineExceeded) })
	ctx = WithArrivals(ctx, func() { timer.Reset(silence) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Arrived reports that a part of the answer to a call has arrived.
func Arrived(ctx context.Context) {
	if report, ok := ctx.Value(arrivalsKey{}).(func()); ok {
		report()
	}
}

type mostBytesKey struct{}

// WithMostBytes returns a context whose reads ask the store for no more than so many bytes of
// records where they can, since the caller would not take more; there is at least one record.
func WithMostBytes(ctx context.Context, most int) context.Context {
	return context.WithValue(ctx, mostBytesKey{}, most)
}

// MostBytes returns how many bytes of records a read is to ask for; ok is false without a bound.
func MostBytes(ctx context.Context) (most int, ok bool) {
	most, ok = ctx.Value(mostBytesKey{}).(int)
	return most, ok
}
