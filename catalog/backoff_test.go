package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A process that started while the store was away read it again only every
// quarter of a second.
func TestStartIsRetriedSoonAndSparesAStoreThatIsAway(t *testing.T) {
	var b startBackoff
	elapsed, calls := time.Duration(0), 0
	for elapsed < 10*time.Second {
		wait := b.delay()
		// The wait is at most half of what the process has waited already.
		must.LessEq(t, max(startRetry, min(startRetryMost, elapsed/2+startRetry)), wait)
		elapsed += wait
		calls++
	}
	must.LessEq(t, 30, calls)
}
