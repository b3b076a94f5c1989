package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/balsamcove/balsamcove/internal/sleeper"
)

// refreshGap is for how long questions about unknown jobs gather until one read of the
// inbox answers them all.
const refreshGap = 30 * time.Millisecond

// refreshes lets several callers share a read. The zero value is ready for use.
type refreshes struct {
	mu      sync.Mutex
	waiting []chan error
	busy    bool
}

// wait returns once a read that began after the call is done.
func (r *refreshes) wait(ctx context.Context, read func(context.Context) error) error {
	done := make(chan error, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, done)
	lead := !r.busy
	r.busy = true
	r.mu.Unlock()
	if lead {
		go r.run(read)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run reads until nobody waits.
func (r *refreshes) run(read func(context.Context) error) {
	for {
		sleeper.Pause(context.Background(), refreshGap)
		r.mu.Lock()
		waiting := r.waiting
		r.waiting = nil
		r.busy = len(waiting) > 0
		r.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := read(ctx)
		cancel()
		for _, done := range waiting {
			done <- err
		}
	}
}
