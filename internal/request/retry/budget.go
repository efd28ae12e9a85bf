// Package retry decides whether a request may be sent again, and which
// upstreams are left alone for a while.
package retry

import "sync"

// Budget bounds the retries of a service to a share of its requests.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// burst is how many retries may be saved up.
const burst = 10

// NewBudget returns a budget that is full.
func NewBudget() *Budget {
	return &Budget{tokens: burst}
}

// Deposit adds the share of one first try.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+share)
}

// TryWithdraw takes one retry, if there is one left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
