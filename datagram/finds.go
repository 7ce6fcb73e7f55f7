package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// findPatience is after how long without a word of the owner the other
	// keeper is asked: less than a requester waits before it sends again.
	findPatience = 150 * time.Millisecond
	// findLinger is how long an unanswered question is remembered.
	findLinger = 3 * time.Second
)

// finds holds the flows that other keepers were asked about, so that a keeper
// that does not answer is left out.
type finds map[flow.Key]*find

type find struct {
	at time.Duration
	// tries counts the questions that were left unanswered.
	tries int
}

// countUnanswered notes a question about the flow and returns how many were
// left unanswered before it.
func (f finds) countUnanswered(key flow.Key, now time.Duration) int {
	q := f[key]
	switch {
	case q == nil:
		q = &find{at: now}
		f[key] = q
	case now-q.at >= findPatience:
		q.at = now
		q.tries++
	}
	return q.tries
}

func (f finds) expire(now time.Duration) {
	for key, q := range f {
		if now-q.at > findLinger {
			delete(f, key)
		}
	}
}
