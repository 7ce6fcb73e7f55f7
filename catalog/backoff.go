package catalog

import "time"

const (
	// startRetry is the time before the first reading of a process that knows
	// nothing is repeated, startRetryMost the longest such time.
	startRetry     = 50 * time.Millisecond
	startRetryMost = 500 * time.Millisecond
	// startRetryGrowth is by how much the time grows with each failure.
	startRetryGrowth = 1.5
)

// startBackoff spaces the readings of a process that knows nothing. It can serve
// nobody, so that it tries again soon; a store that is away for long is spared.
type startBackoff struct {
	next time.Duration
}

// delay returns the time until the next reading.
func (b *startBackoff) delay() time.Duration {
	d := max(b.next, startRetry)
	b.next = min(startRetryMost, time.Duration(float64(d)*startRetryGrowth))
	return d
}
