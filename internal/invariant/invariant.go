// Package invariant checks, in the shipped code, what must always hold. A
// violation is counted under its name; a test sets a handler that fails.
package invariant

import (
	"sync"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Handler is told the name of each violated invariant.
type Handler func(name string)

var state struct {
	mu      sync.Mutex
	handler Handler
	counts  map[string]int64
}

// SetHandler sets the handler of violations.
func SetHandler(handler Handler) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.handler = handler
}

// Check counts a violation of the named invariant unless it holds, and
// reports whether it holds.
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

// Violations returns the number of violations so far.
func Violations() int64 {
	state.mu.Lock()
	defer state.mu.Unlock()
	total := int64(0)
	for _, count := range state.counts {
		total += count
	}
	return total
}

// Source is the metrics source of the violations.
type Source struct{}

// Collect implements metrics.Source.
func (Source) Collect(emit func(metrics.Sample)) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for name, count := range state.counts {
		emit(metrics.Sample{Name: "invariant_violations", Cause: name, Value: count})
	}
}
