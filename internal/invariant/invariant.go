// Package invariant checks invariants at run time in production code. A
// violation increments a counter under the invariant's name; tests install a
// handler that fails the test.
package invariant

import (
	"sync"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Handler is called with the name of each violated invariant.
type Handler func(name string)

var state struct {
	mu      sync.Mutex
	handler Handler
	counts  map[string]int64
}

// SetHandler sets the handler for violations; nil removes it.
func SetHandler(handler Handler) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.handler = handler
}

// Check reports whether the invariant holds. If not, it counts a violation
// under name and calls the handler.
func Check(name string, holds bool) bool {
	if holds {
		return true
	}
	state.mu.Lock()
	if state.counts == nil {
		state.counts = make(map[string]int64)
	}
	state.counts[name]++
	handler := state.handler
	state.mu.Unlock()
	if handler != nil {
		handler(name)
	}
	return false
}

// Violations returns the number of violations since the process started.
func Violations() int64 {
	state.mu.Lock()
	defer state.mu.Unlock()
	total := int64(0)
	for _, count := range state.counts {
		total += count
	}
	return total
}

// Source exports the violation counts as metrics.
type Source struct{}

// Collect implements metrics.Source.
func (Source) Collect(emit func(metrics.Sample)) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for name, count := range state.counts {
		emit(metrics.Sample{Name: "invariant_violations", Cause: name, Value: count})
	}
}
