package limiter

import "sync"

// BudgetBurst is the greatest number of saved tokens. It lets a service with little traffic hedge at all, and keeps a pause in
// the faults from paying for a wave of extra requests later.
const BudgetBurst = 10

// percentUnit is the price of one extra request: a first attempt earns percent units.
const percentUnit = 100

// Budget bounds extra requests (hedges or retries) to a percentage of first attempts by a token bucket. Its methods are safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int
	// units satisfies 0 <= units <= BudgetBurst*percentUnit.
	units int
}

// NewBudget returns a full budget that first attempts fill at percent, which is 0 to 100. At 0 nothing can be spent.
func NewBudget(percent int) *Budget {
	return &Budget{
		percent: percent,
		units:   BudgetBurst * percentUnit,
	}
}

// Deposit adds the share of n first attempts.
func (b *Budget) Deposit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.units+n*b.percent, BudgetBurst*percentUnit)
}

// TryWithdraw takes one token and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.percent <= 0 || b.units < percentUnit {
		return false
	}
	b.units -= percentUnit
	return true
}

// SetPercent changes the share for first attempts from now on.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = percent
}
