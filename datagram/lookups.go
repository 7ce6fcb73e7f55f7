package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// lookupTimeout is after how long without a word of the owner the other
	// keeper is asked: less than a requester waits before it sends again.
	lookupTimeout = 150 * time.Millisecond
	// lookupRetention is how long an unanswered question is remembered.
	lookupRetention = 3 * time.Second
)

// lookupTable holds the flows that other keepers were asked about, so that a keeper
// that does not answer is left out.
type lookupTable map[flow.Key]*lookup

type lookup struct {
	lastSent time.Duration
	// unanswered counts the questions that were left unanswered.
	unanswered int
}

// countUnanswered notes a question about the flow and returns how many were
// left unanswered before it.
func (t lookupTable) countUnanswered(key flow.Key, now time.Duration) int {
	l := t[key]
	switch {
	case l == nil:
		l = &lookup{lastSent: now}
		t[key] = l
	case now-l.lastSent >= lookupTimeout:
		l.lastSent = now
		l.unanswered++
	}
	return l.unanswered
}

func (t lookupTable) expire(now time.Duration) {
	for key, l := range t {
		if now-l.lastSent > lookupRetention {
			delete(t, key)
		}
	}
}
