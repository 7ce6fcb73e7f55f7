package admission

// Budget bounds second tries to a share of the first ones, so that refusals
// under a surge do not multiply load. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget that allows share second tries for each
// first one, and burst of them at once.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Earn notes a first try.
func (b *Budget) Earn() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Spend allows a second try and reports whether it did.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
