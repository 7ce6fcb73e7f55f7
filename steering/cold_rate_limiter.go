package steering

import "time"

// coldWindow is the sliding window in which the new flows of a cold host are
// counted.
const coldWindow = time.Second

// ColdRateLimiter limits the number of new flows that a cold host accepts in any
// second. It protects hosts that have just started from callers that all
// reconnect at once. It is not safe for concurrent use.
type ColdRateLimiter struct {
	// admittedAt is a ring buffer of the times of the last new flows.
	admittedAt []time.Duration
	next       int
	// assumedUsedAt is when the limit is assumed to have been used up, valid if
	// assumedUsed is set.
	assumedUsedAt time.Duration
	assumedUsed   bool
}

// AssumeUsed makes the limit count as used up at a time, because the new flows of the
// second before are not known.
//
// Load pattern: the processes beside cold hosts restart one after the other while
// callers reconnect.
func (l *ColdRateLimiter) AssumeUsed(at time.Duration) {
	l.assumedUsedAt, l.assumedUsed = at, true
}

// ForgetAssumed takes AssumeUsed back, because there were no new flows before.
func (l *ColdRateLimiter) ForgetAssumed() { l.assumedUsed = false }

// ColdLimit returns how many new flows a cold host may accept in any second, at
// least 1. The host tolerates perSecond*overage+slack, where perSecond is its
// declared rate. The result is one less, because the host counts by its own
// clock, so that its seconds may differ from those counted here.
func ColdLimit(perSecond, overage, slack float64) int {
	return max(1, int(perSecond*overage+slack)-1)
}

// Admit reports whether one more new flow is within the limit, and counts it if
// so.
func (l *ColdRateLimiter) Admit(now time.Duration, limit int) bool {
	if !l.Use(now).Admits(limit) {
		return false
	}
	l.Count(now)
	return true
}

// ColdRateUse is how much of the limit of a cold host is used.
type ColdRateUse struct {
	// Recent is the number of new flows in the last second.
	Recent int
	// AssumedUsed reports that the limit counts as used up (see AssumeUsed).
	AssumedUsed bool
}

// Admits reports whether one more new flow is within the limit.
func (u ColdRateUse) Admits(limit int) bool { return !u.AssumedUsed && u.Recent < limit }

// Use returns how much of the limit is used.
func (l *ColdRateLimiter) Use(now time.Duration) ColdRateUse {
	return ColdRateUse{Recent: l.countRecent(now), AssumedUsed: l.assumedUsed && isRecent(l.assumedUsedAt, now)}
}

// Count counts a new flow that was accepted without a limit, so that the limit
// already covers such flows when the host becomes known to be cold.
func (l *ColdRateLimiter) Count(now time.Duration) {
	if len(l.admittedAt) < coldHistorySize {
		l.admittedAt = append(l.admittedAt, now)
		return
	}
	l.admittedAt[l.next] = now
	l.next = (l.next + 1) % coldHistorySize
}

// coldHistorySize is the number of new flows whose times are stored.
const coldHistorySize = 256

// countRecent returns the number of new flows counted within the last
// coldWindow.
func (l *ColdRateLimiter) countRecent(now time.Duration) int {
	n := 0
	for _, at := range l.admittedAt {
		if isRecent(at, now) {
			n++
		}
	}
	return n
}

// isRecent reports whether a time is within the last coldWindow. Packets take time to
// reach the host, so the window is extended a little.
func isRecent(at, now time.Duration) bool {
	return now-at <= coldWindow+coldTransitMargin
}

// coldTransitMargin covers the time that the first packet of a flow may take to
// reach the host.
const coldTransitMargin = 50 * time.Millisecond
