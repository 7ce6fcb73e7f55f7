package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

// retryBudget limits retries to a fraction of a client's requests, so that a
// burst of refusals does not multiply the load on the service. It is a token
// bucket: each request adds ratio tokens, and each retry takes one. A small
// constant refill (minRetryRate) lets clients with few requests retry as well.
type retryBudget struct {
	ratio float64
	burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

const minRetryRate = 1.0 // retries per second

func newRetryBudget(ratio, burst float64, now time.Time) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst, refilledAt: now}
}

// deposit adds the tokens earned by a new request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// withdraw reports whether a retry is allowed, and takes a token if it is.
func (b *retryBudget) withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+minRetryRate*elapsed.Seconds())
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff returns the delay before the attempt that follows the given one. It
// is drawn uniformly from 0.5 to 1.5 times the exponential mean.
func (c *Config) backoff(attempt int) time.Duration {
	mean := c.Backoff
	for range attempt - 1 {
		mean = min(2*mean, c.MaxBackoff)
	}
	return mean/2 + rand.N(mean+1)
}
