package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A process that started while the store was away read it again only every
// quarter of a second.
func TestStartupBackoffIsShortAtFirstAndBounded(t *testing.T) {
	var b startupBackoff
	elapsed, calls := time.Duration(0), 0
	for elapsed < 10*time.Second {
		wait := b.delay()
		// The wait is at most half of what the process has waited already.
		must.LessEq(t, max(minStartupRetry, min(maxStartupRetry, elapsed/2+minStartupRetry)), wait)
		elapsed += wait
		calls++
	}
	must.LessEq(t, 30, calls)
}
