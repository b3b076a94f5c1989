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
