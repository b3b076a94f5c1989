// Package breaker tells whether a dependency answers, so that calls which cannot succeed are refused
// at once instead of timing out one by one.
package breaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamcove/balsamcove/internal/logger"
	"github.com/balsamcove/balsamcove/internal/sleeper"
)

const (
	// probeTimeout bounds a probe. A slow store takes up to 300 ms to answer one.
	probeTimeout = 800 * time.Millisecond
	// probeInterval is the pause between two probes.
	probeInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound how long callers are told to wait. Within them, an outage
	// is expected to last as long again as it has lasted.
	minRetryAfter = 700 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retrySpread is the fraction of that time by which it varies, so that callers do not return at
	// the same moment.
	retrySpread = 0.3
)

// Breaker is open while a dependency does not answer. Failed calls only raise a suspicion; a probe
// decides. It is safe for concurrent use.
type Breaker struct {
	probe      func(context.Context) error
	dependency logger.Dependency
	// suspicions has an element if the dependency is to be probed. ended is closed once Run has ended,
	// after which nothing is probed.
	suspicions, ended chan struct{}

	mu sync.Mutex
	// suspectedAt is when the suspicion began that opened the breaker.
	suspectedAt time.Time
	// probed is closed and replaced after each probe.
	probed chan struct{}
	// opened is closed while the breaker is open, and closed while it is closed.
	opened, closed chan struct{}
}

// New returns a closed breaker. Probe makes a cheap call to the dependency, and name identifies it in
// the log.
func New(name string, probe func(context.Context) error, l *zap.Logger) *Breaker {
	b := &Breaker{probe: probe, dependency: logger.Dependency{Name: name, Logger: l}, suspicions: make(chan struct{}, 1), ended: make(chan struct{}), probed: make(chan struct{}), opened: make(chan struct{}), closed: make(chan struct{})}
	close(b.closed)
	return b
}

// Suspect reports that a call was not answered in time. The dependency is probed, and the breaker
// opens if the probe fails.
func (b *Breaker) Suspect() {
	select {
	case b.suspicions <- struct{}{}:
	default:
	}
}

// Confirm probes the dependency and reports whether it answers; false if ctx ends before. Once Run has
// ended, it reports what was known last.
func (b *Breaker) Confirm(ctx context.Context) bool {
	b.mu.Lock()
	probed := b.probed
	b.mu.Unlock()
	b.Suspect()
	select {
	case <-probed:
	case <-b.ended:
	case <-ctx.Done():
		return false
	}
	_, open := b.RetryAfter()
	return !open
}

// Run probes the dependency after each suspicion, until it answers. It returns nil when ctx ends, and must
// be called once.
func (b *Breaker) Run(ctx context.Context) error {
	defer close(b.ended)
	for ctx.Err() == nil {
		select {
		case <-b.suspicions:
			b.probeUntilAnswered(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// probeUntilAnswered probes the dependency until it answers. The breaker is open from the first
// failure on.
func (b *Breaker) probeUntilAnswered(ctx context.Context) {
	suspectedAt, answered := time.Now(), false
	for !answered && ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		answered = b.recordProbe(suspectedAt, b.probe(probeCtx))
		cancel()
		if !answered {
			sleeper.Pause(ctx, probeInterval)
		}
	}
}

// recordProbe opens or closes the breaker; it returns true if the dependency has answered.
func (b *Breaker) recordProbe(suspectedAt time.Time, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dependency.Report(err)
	close(b.probed)
	b.probed = make(chan struct{})
	switch open := b.isOpen(); {
	case err != nil && !open:
		b.suspectedAt = suspectedAt
		close(b.opened)
		b.closed = make(chan struct{})
	case err == nil && open:
		close(b.closed)
		b.opened = make(chan struct{})
	}
	return err == nil
}

// isOpen reports whether the breaker is open. The caller holds mu.
func (b *Breaker) isOpen() bool {
	select {
	case <-b.opened:
		return true
	default:
		return false
	}
}

// RetryAfter reports whether the breaker is open, and then how long a caller should wait. Callers that
// ask later wait longer, so that those refused first return first.
func (b *Breaker) RetryAfter() (wait time.Duration, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isOpen() {
		return 0, false
	}
	wait = min(max(time.Since(b.suspectedAt), minRetryAfter), maxRetryAfter)
	return wait + time.Duration(retrySpread*rand.Float64()*float64(wait)), true
}

// WhileClosed returns a context that is cancelled as soon as the breaker opens.
func (b *Breaker) WhileClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	b.mu.Lock()
	opened := b.opened
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-opened:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// AwaitClosed waits until the breaker is closed or ctx ends.
func (b *Breaker) AwaitClosed(ctx context.Context) {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}
