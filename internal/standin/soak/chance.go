package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomDrops returns a function that returns true with the given probability.
func randomDrops(seed uint64, probability float64) func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 3))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < probability
	}
}

// randomDelays returns a function that returns random durations below the
// limit.
func randomDelays(seed uint64, limit time.Duration) func() time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 4))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(int64(limit)))
	}
}
