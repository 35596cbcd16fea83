package admitter

import (
	"sync"

	"golang.org/x/time/rate"
)

// Defaults of a Budget.
const (
	DefaultRetryShare   = 0.1 // retries for each request
	DefaultRetryReserve = 100 // retries that can be saved up
	DefaultRetryMinimum = 10  // retries a second that are always allowed
)

// Budget limits retries to a share of the requests, so that a fault of an
// instance does not multiply the load on the others.
type Budget struct {
	mu      sync.Mutex
	saved   float64
	minimum *rate.Limiter
}

// NewBudget returns a budget with the default limits.
func NewBudget() *Budget {
	return &Budget{minimum: rate.NewLimiter(DefaultRetryMinimum, DefaultRetryMinimum)}
}

// Earn records a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.saved = min(b.saved+DefaultRetryShare, DefaultRetryReserve)
	b.mu.Unlock()
}

// Spend reports whether a retry is allowed now.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved >= 1 {
		b.saved--
		return true
	}
	return b.minimum.Allow()
}
