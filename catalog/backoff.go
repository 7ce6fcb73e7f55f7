package catalog

import "time"

const (
	// minStartupRetry is the time before the first reading of a process that knows
	// nothing is repeated, startRetryMost the longest such time.
	minStartupRetry = 50 * time.Millisecond
	maxStartupRetry = 500 * time.Millisecond
	// startupRetryFactor is by how much the time grows with each failure.
	startupRetryFactor = 1.5
)

// startupBackoff spaces the readings of a process that knows nothing. It can serve
// nobody, so that it tries again soon; a store that is away for long is spared.
type startupBackoff struct {
	next time.Duration
}

// delay returns the time until the next reading.
func (b *startupBackoff) delay() time.Duration {
	d := max(b.next, minStartupRetry)
	b.next = min(maxStartupRetry, time.Duration(float64(d)*startupRetryFactor))
	return d
}
