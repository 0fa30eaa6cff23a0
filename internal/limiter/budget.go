package limiter

import "sync"

// BudgetBurst is the greatest number of saved tokens. It lets a service with little traffic hedge at all, and bounds the extra
// attempts that can be made in a burst after a period without faults.
const BudgetBurst = 10

// unitsPerToken is the cost of one extra attempt in units. Each first attempt adds Budget.percent units.
const unitsPerToken = 100

// Budget bounds extra attempts (hedges or retries) to a percentage of first attempts by a token bucket. Its methods are safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int
	// units satisfies 0 <= units <= BudgetBurst*unitsPerToken.
	units int
}

// NewBudget returns a full budget that allows extra attempts for percent of the first attempts, 0 to 100. At 0 no token can be
// withdrawn.
func NewBudget(percent int) *Budget {
	return &Budget{
		percent: percent,
		units:   BudgetBurst * unitsPerToken,
	}
}

// Deposit adds the units of n first attempts.
func (b *Budget) Deposit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.units+n*b.percent, BudgetBurst*unitsPerToken)
}

// TryWithdraw withdraws one token and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.percent <= 0 || b.units < unitsPerToken {
		return false
	}
	b.units -= unitsPerToken
	return true
}

// SetPercent changes the percentage for future first attempts. Tokens that were saved before stay, but cannot be used at 0.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = percent
}
