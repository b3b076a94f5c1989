// Package limiter bounds the work in flight: retries by a token budget, requests at an entry
// host by a limit for each class, and calls to workers by an adaptive congestion window.
package limiter

import (
	"sync"

	"github.com/balsamcove/balsamcove/pkg/parser"
)

const (
	// retriesPerRequest is the fraction of requests that may be retried.
	retriesPerRequest = 0.1
	// maxSavedRetries is the capacity of the budget, in retries.
	maxSavedRetries = 20
)

// RetryBudget is a token bucket that allows retries in proportion to requests, so that retries
// do not multiply the load of an overloaded server. The zero value is empty. Its methods are
// safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Deposit credits the budget for a new request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries)
}

// TryWithdraw takes one retry from the budget, and returns false if there is none.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ConcurrencyLimiter bounds the number of requests that an entry host processes at a time.
// Requests that are not latency-critical may use only half of the limit, so that they are
// refused first under load. Its methods are safe for concurrent use.
type ConcurrencyLimiter struct {
	mu       sync.Mutex
	limit    int
	inFlight int
}

// NewConcurrencyLimiter returns a limiter for at most limit requests in flight.
func NewConcurrencyLimiter(limit int) *ConcurrencyLimiter { return &ConcurrencyLimiter{limit: limit} }

// TryAcquire admits a request of a class, and returns false if the limit for the class is
// reached. The caller must call Release when an admitted request has ended.
func (l *ConcurrencyLimiter) TryAcquire(class parser.Class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit
	if class != parser.ClassCritical {
		limit = l.limit / 2
	}
	if l.inFlight >= limit {
		return false
	}
	l.inFlight++
	return true
}

// Release ends a request that TryAcquire has admitted.
func (l *ConcurrencyLimiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// InFlight returns the number of requests that are being processed.
func (l *ConcurrencyLimiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
