package agent

import "time"

const (
	// handshakeMemory is how long the decision on a new flow sticks.
	decisionTTL = 10 * time.Second
	// maxHandshakes bounds the decisions that are remembered.
	maxDecisions = 1 << 16
)

// flowDecision is what becomes of the packets of a new flow.
type flowDecision uint8

const (
	flowAccepted flowDecision = iota + 1
	flowForwarded
	flowRefused
)

// handshakes remembers decisions on new flows by the connection ID that the
// caller chose, so that all packets of one handshake meet the same one. It
// belongs to the goroutine that reads the tunnel.
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

// decide returns the decision remembered for the ID, or the one that choose
// makes now.
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

// turn forgets decisions between one and two spans of handshakeMemory old,
// and earlier when a flood fills the memory.
func (c *decisionCache) rotate(now time.Time) {
	expired := now.Sub(c.rotatedAt) >= decisionTTL
	if !expired && len(c.current) < maxDecisions/2 {
		return
	}
	c.previous = c.current
	c.current = make(map[string]flowDecision)
	c.rotatedAt = now
}
