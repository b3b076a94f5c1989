package connector

import (
	"context"
	"time"
)

type arrivalsKey struct{}

// WithProgress returns a context whose calls report each part of a large answer that has
// arrived, which tells an answer that takes long from none.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, arrivalsKey{}, func() {
		report()
		ReportProgress(ctx)
	})
}

// WithIdleTimeout returns a context that ends when nothing has arrived for a time.
func WithIdleTimeout(ctx context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence, func() { cancel(context.DeadlineExceeded) })
	ctx = WithProgress(ctx, func() { timer.Reset(silence) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// ReportProgress reports that a part of the answer to a call has arrived.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(arrivalsKey{}).(func()); ok {
		report()
	}
}

type mostBytesKey struct{}

// WithMaxBytes returns a context whose reads ask the store for no more than so many bytes of
// records where they can, since the caller would not take more; there is at least one record.
func WithMaxBytes(ctx context.Context, most int) context.Context {
	return context.WithValue(ctx, mostBytesKey{}, most)
}

// MaxBytes returns how many bytes of records a read is to ask for; ok is false without a bound.
func MaxBytes(ctx context.Context) (most int, ok bool) {
	most, ok = ctx.Value(mostBytesKey{}).(int)
	return most, ok
}
