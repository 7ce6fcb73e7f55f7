package catalog

import "time"

const (
	// minStartupRetry is the delay before the first retry of a process that has
	// not yet read a snapshot from the store, and maxStartupRetry the longest
	// such delay.
	minStartupRetry = 50 * time.Millisecond
	maxStartupRetry = 500 * time.Millisecond
	// startupRetryFactor is the factor by which the delay grows with each
	// failure.
	startupRetryFactor = 1.5
)

// startupBackoff computes the delays between reads until a process has read its
// first snapshot from the store. Without a snapshot the process cannot serve
// traffic, so it retries soon at first; the growing delay limits the load on a
// store that is down for longer.
type startupBackoff struct {
	next time.Duration
}

// delay returns the time until the next read and increases the following delay.
func (b *startupBackoff) delay() time.Duration {
	d := max(b.next, minStartupRetry)
	b.next = min(maxStartupRetry, time.Duration(float64(d)*startupRetryFactor))
	return d
}
