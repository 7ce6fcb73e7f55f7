package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// lookupTimeout is how long a keeper has for an answer before the other
	// keeper is asked. It is shorter than the requesters' retransmission
	// interval.
	lookupTimeout = 150 * time.Millisecond
	// lookupRetention is how long an unanswered lookup is retained.
	lookupRetention = 3 * time.Second
)

// lookupTable holds the flows whose owner was looked up, so that a keeper that
// does not answer is bypassed.
type lookupTable map[flow.Key]*lookup

// lookup is the state of the lookups of one flow's owner.
type lookup struct {
	// waitingSince is when the lookup that waits for an answer was sent. Lookups
	// repeated within lookupTimeout do not count separately.
	waitingSince time.Duration
	// unanswered is the number of lookups that timed out.
	unanswered int
}

// countUnanswered records a lookup of the flow's owner and returns how many
// earlier lookups timed out.
func (t lookupTable) countUnanswered(key flow.Key, now time.Duration) int {
	l := t[key]
	switch {
	case l == nil:
		l = &lookup{waitingSince: now}
		t[key] = l
	case now-l.waitingSince >= lookupTimeout:
		l.waitingSince = now
		l.unanswered++
	}
	return l.unanswered
}

// expire removes lookups that are older than lookupRetention.
func (t lookupTable) expire(now time.Duration) {
	for key, l := range t {
		if now-l.waitingSince > lookupRetention {
			delete(t, key)
		}
	}
}
