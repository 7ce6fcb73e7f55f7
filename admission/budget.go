package admission

// RetryBudget limits retries to a fraction of the first attempts, so that
// refusals during a surge do not multiply the load. It is not safe for
// concurrent use.
type RetryBudget struct {
	retryRatio float64
	burst      float64
	tokens     float64
}

// NewRetryBudget returns a full budget that allows retryRatio retries for each
// first attempt, and at most burst retries at once.
func NewRetryBudget(retryRatio, burst float64) *RetryBudget {
	return &RetryBudget{retryRatio: retryRatio, burst: burst, tokens: burst}
}

// Deposit records a first attempt, which adds to the budget.
func (b *RetryBudget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.retryRatio)
}

// TryWithdraw takes one retry from the budget and reports whether one was left.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
