package agent

import "time"

const (
	// decisionTTL is the minimum time for which the decision on a new flow is
	// kept, unless the cache fills up earlier.
	decisionTTL = 10 * time.Second
	// maxDecisions bounds the number of cached decisions.
	maxDecisions = 1 << 16
)

// flowDecision determines how the packets of a new flow are handled.
type flowDecision uint8

const (
	// flowAccepted delivers the packets to the QUIC transport.
	flowAccepted flowDecision = iota + 1
	// flowForwarded forwards the packets to the second choice.
	flowForwarded
	// flowRefused makes the QUIC listener respond with CONNECTION_REFUSED.
	flowRefused
)

// decisionCache holds the decisions on new flows by the connection ID that the
// caller chose, so that the same decision applies to all packets of a handshake.
// It is not safe for concurrent use: only the goroutine that reads the tunnel
// socket uses it.
type decisionCache struct {
	current   map[string]flowDecision
	previous  map[string]flowDecision
	rotatedAt time.Time
}

func newDecisionCache(now time.Time) *decisionCache {
	return &decisionCache{
		current:   make(map[string]flowDecision),
		previous:  make(map[string]flowDecision),
		rotatedAt: now,
	}
}

// decide returns the cached decision for the connection ID. If there is none, it
// calls choose and caches the result.
func (c *decisionCache) decide(now time.Time, id []byte, choose func() flowDecision) flowDecision {
	c.rotate(now)
	if decision, found := c.current[string(id)]; found {
		return decision
	}
	decision, found := c.previous[string(id)]
	if !found {
		decision = choose()
	}
	c.current[string(id)] = decision
	return decision
}

// rotate discards the older half of the cache when decisionTTL has passed since
// the last rotation, so that a decision not used again is dropped at an age of
// one to two decisionTTL. It does so earlier when the newer half is full, as in
// a flood of new flows.
func (c *decisionCache) rotate(now time.Time) {
	expired := now.Sub(c.rotatedAt) >= decisionTTL
	if !expired && len(c.current) < maxDecisions/2 {
		return
	}
	c.previous = c.current
	c.current = make(map[string]flowDecision)
	c.rotatedAt = now
}
