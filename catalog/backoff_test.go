package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against slow startup: a process that started during a store outage
// retried only every quarter of a second.
func TestStartupBackoffIsShortAtFirstAndBounded(t *testing.T) {
	var b startupBackoff
	elapsed, calls := time.Duration(0), 0
	for elapsed < 10*time.Second {
		wait := b.delay()
		// The delay is at most half of the time already waited, plus the
		// minimum.
		must.LessEq(t, max(minStartupRetry, min(maxStartupRetry, elapsed/2+minStartupRetry)), wait)
		elapsed += wait
		calls++
	}
	must.LessEq(t, 30, calls)
}
