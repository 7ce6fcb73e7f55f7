package reload

import "sync/atomic"

// counters counts changed files by result.
type counters struct {
	changed atomic.Int64
	refused atomic.Int64
}
