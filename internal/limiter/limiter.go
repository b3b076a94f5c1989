// Package limiter bounds what an entry host takes on: retries by a budget that
// grows with the requests, and waiting requests by class.
package limiter

import (
	"sync"

	"github.com/balsamcove/balsamcove/pkg/parser"
)

const (
	// retriesPerRequest is the share of requests that may be retried.
	retriesPerRequest = 0.1
	// retryReserve is the number of retries that may be saved up.
	retryReserve = 20
)

// RetryBudget allows retries in proportion to requests. The zero value starts
// with an empty reserve. Its methods are safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Deposit notes a new request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, retryReserve)
}

// TryWithdraw reports whether one retry is allowed, and takes it.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ConcurrencyLimiter bounds the requests that an entry host works on at a time. The less
// urgent class is refused first. Its methods are safe for concurrent use.
type ConcurrencyLimiter struct {
	mu    sync.Mutex
	limit int
	in    int
}

// NewConcurrencyLimiter returns a gate for at most limit requests.
func NewConcurrencyLimiter(limit int) *ConcurrencyLimiter { return &ConcurrencyLimiter{limit: limit} }

// TryAcquire reports whether a request of a class may be worked on. Leave must be
// called when it has ended.
func (g *ConcurrencyLimiter) TryAcquire(class parser.Class) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limit
	if class != parser.ClassCritical {
		limit = g.limit / 2
	}
	if g.in >= limit {
		return false
	}
	g.in++
	return true
}

// Release notes the end of a request.
func (g *ConcurrencyLimiter) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.in--
}

// InFlight returns the number of requests that are worked on.
func (g *ConcurrencyLimiter) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.in
}
