package connector

import (
	"context"
	"time"
)

type progressKey struct{}

// WithProgress returns a context whose calls invoke report whenever a part of a large answer has
// arrived, so that a slow answer can be told from a missing one. A report function that ctx already
// has is invoked too.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, func() {
		report()
		ReportProgress(ctx)
	})
}

// WithIdleTimeout returns a context that is cancelled, with cause context.DeadlineExceeded, once no
// progress has been reported for timeout.
func WithIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	ctx = WithProgress(ctx, func() { timer.Reset(timeout) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// ReportProgress reports to ctx that a part of the answer to a call has arrived.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

type maxBytesKey struct{}

// WithMaxBytes returns a context whose reads request at most limit bytes of records, if the store
// supports that, since the caller would discard more. At least one record is returned.
func WithMaxBytes(ctx context.Context, limit int) context.Context {
	return context.WithValue(ctx, maxBytesKey{}, limit)
}

// MaxBytes returns how many bytes of records a read should request; ok is false without a limit.
func MaxBytes(ctx context.Context) (limit int, ok bool) {
	limit, ok = ctx.Value(maxBytesKey{}).(int)
	return limit, ok
}
