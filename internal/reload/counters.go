package reload

import "sync/atomic"

// counters counts what became of changed files.
type counters struct {
	changed atomic.Int64
	refused atomic.Int64
}
