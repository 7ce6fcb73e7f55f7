package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

// retryBudget bounds the repeats of a client to a share of its requests, so that
// a surge of refusals does not multiply load. A trickle lets a client with
// few requests repeat as well.
type retryBudget struct {
	ratio float64
	burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

const minRetryRate = 1.0 // repeats a second

func newRetryBudget(ratio, burst float64, now time.Time) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst, refilledAt: now}
}

// deposit notes a first attempt.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// withdraw reports whether a repeat is allowed, and counts it if so.
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

// backoff returns the wait before the attempt after the given one, between a
// half and three halves of the exponential mean.
func (c *Config) backoff(attempt int) time.Duration {
	mean := c.Backoff
	for range attempt - 1 {
		mean = min(2*mean, c.MaxBackoff)
	}
	return mean/2 + rand.N(mean+1)
}
