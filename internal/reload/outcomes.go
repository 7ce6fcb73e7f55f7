package reload

import "sync/atomic"

// outcomes counts what became of changed files.
type outcomes struct {
	changed atomic.Int64
	refused atomic.Int64
}
