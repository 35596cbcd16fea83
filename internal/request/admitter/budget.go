package admitter

import (
	"sync"

	"golang.org/x/time/rate"
)

// The limits of a RetryBudget.
const (
	RetriesPerRequest   = 0.1 // retries earned by each request
	MaxEarnedRetries    = 100 // maximum of earned retries that are kept
	MinRetriesPerSecond = 10  // retries per second that are allowed without earned ones
)

// RetryBudget limits retries to a share of the requests, so that the failure of one
// instance does not multiply the load on the others.
type RetryBudget struct {
	mu      sync.Mutex
	earned  float64       // earned retries that have not been spent
	minimum *rate.Limiter // allows MinRetriesPerSecond retries per second
}

// NewRetryBudget returns a RetryBudget without earned retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{minimum: rate.NewLimiter(MinRetriesPerSecond, MinRetriesPerSecond)}
}

// RecordRequest records a request, which earns RetriesPerRequest of a retry.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	b.earned = min(b.earned+RetriesPerRequest, MaxEarnedRetries)
	b.mu.Unlock()
}

// AllowRetry reports whether a retry is allowed now, and takes it from the budget if so.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	return b.minimum.Allow()
}
