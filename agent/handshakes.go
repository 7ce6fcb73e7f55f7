package agent

import "time"

const (
	// handshakeMemory is how long the decision on a new flow sticks.
	handshakeMemory = 10 * time.Second
	// maxHandshakes bounds the decisions that are remembered.
	maxHandshakes = 1 << 16
)

// flowDecision is what becomes of the packets of a new flow.
type flowDecision uint8

const (
	flowTaken flowDecision = iota + 1
	flowPassed
	flowRefused
)

// handshakes remembers decisions on new flows by the connection ID that the
// caller chose, so that all packets of one handshake meet the same one. It
// belongs to the goroutine that reads the tunnel.
type handshakes struct {
	current  map[string]flowDecision
	previous map[string]flowDecision
	turnedAt time.Time
}

func newHandshakes(now time.Time) *handshakes {
	return &handshakes{
		current:  make(map[string]flowDecision),
		previous: make(map[string]flowDecision),
		turnedAt: now,
	}
}

// decide returns the decision remembered for the ID, or the one that choose
// makes now.
func (h *handshakes) decide(now time.Time, id []byte, choose func() flowDecision) flowDecision {
	h.turn(now)
	if decision, found := h.current[string(id)]; found {
		return decision
	}
	decision, found := h.previous[string(id)]
	if !found {
		decision = choose()
	}
	h.current[string(id)] = decision
	return decision
}

// turn forgets decisions between one and two spans of handshakeMemory old,
// and earlier when a flood fills the memory.
func (h *handshakes) turn(now time.Time) {
	old := now.Sub(h.turnedAt) >= handshakeMemory
	if !old && len(h.current) < maxHandshakes/2 {
		return
	}
	h.previous = h.current
	h.current = make(map[string]flowDecision)
	h.turnedAt = now
}
