package steering

import "time"

// coldWindow is the span over which a cold host's openings are counted.
const coldWindow = time.Second

// ColdRateLimiter bounds the openings that a cold host takes in any second. It
// answers the load of callers that all reconnect at once to hosts that have
// just started. It is not safe for concurrent use.
type ColdRateLimiter struct {
	// admittedAt holds the times of the last openings as a ring.
	admittedAt []time.Duration
	next       int
}

// ColdLimit returns how many openings a cold host may take in a second, for
// its declared rate, the tolerated factor over it and the tolerated surplus.
// One opening is kept back, since the host counts by its own clock.
func ColdLimit(perSecond, overage, slack float64) int {
	return max(1, int(perSecond*overage+slack)-1)
}

// Admit reports whether one more opening keeps to the limit, and counts it
// when it does.
func (g *ColdRateLimiter) Admit(now time.Duration, limit int) bool {
	if g.countRecent(now) >= limit {
		return false
	}
	g.Count(now)
	return true
}

// Count counts an opening that was taken without a limit, so that the limit
// holds from the first moment at which the host is known to be cold.
func (g *ColdRateLimiter) Count(now time.Duration) {
	if len(g.admittedAt) < coldHistorySize {
		g.admittedAt = append(g.admittedAt, now)
		return
	}
	g.admittedAt[g.next] = now
	g.next = (g.next + 1) % coldHistorySize
}

// coldHistorySize is how many openings are remembered.
const coldHistorySize = 256

func (g *ColdRateLimiter) countRecent(now time.Duration) int {
	n := 0
	for _, at := range g.admittedAt {
		// A little more than the window, since packets take time to the host.
		if now-at <= coldWindow+coldTransitMargin {
			n++
		}
	}
	return n
}

// coldTransitMargin covers the time that an opening may wait on its way to the host.
const coldTransitMargin = 50 * time.Millisecond
