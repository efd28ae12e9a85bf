// Package retry limits retries with a budget per service, and has requests avoid
// failing upstreams with circuit breakers.
package retry

import "sync"

// Budget limits the retries of a service to a share of its requests.
type Budget struct {
	mu sync.Mutex
	// tokens is the number of available retries; fractions accumulate.
	tokens float64
}

// maxTokens is the number of retries that may accumulate, and thus the largest burst
// of retries.
const maxTokens = 10

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: maxTokens}
}

// Deposit must be called once for each first attempt of a request. It adds share
// retries, from 0 to 1.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+share)
}

// TryWithdraw takes one retry from the budget; false when less than one is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
