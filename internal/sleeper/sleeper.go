// Package sleeper provides a sleep that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Pause blocks for d or until ctx is done, whichever comes first. It returns immediately if d is
// zero or negative, without checking ctx.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
