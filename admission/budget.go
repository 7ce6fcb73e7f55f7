package admission

// RetryBudget bounds second tries to a share of the first ones, so that refusals
// under a surge do not multiply load. It is not safe for concurrent use.
type RetryBudget struct {
	retryRatio float64
	burst      float64
	tokens     float64
}

// NewRetryBudget returns a full budget that allows share second tries for each
// first one, and burst of them at once.
func NewRetryBudget(retryRatio, burst float64) *RetryBudget {
	return &RetryBudget{retryRatio: retryRatio, burst: burst, tokens: burst}
}

// Deposit notes a first try.
func (b *RetryBudget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.retryRatio)
}

// TryWithdraw allows a second try and reports whether it did.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
