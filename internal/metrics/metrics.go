// Package metrics names what the roles count, apart from how it is exported.
package metrics

// Sample is one figure at one moment.
type Sample struct {
	// Name is the metric's name without the program's prefix.
	Name string
	// Cause tells apart what is counted under one name. It may be empty.
	Cause string
	Value int64
	// Gauge tells a current value from a count that only rises.
	Gauge bool
}

// Source is a part of the program that counts.
type Source interface {
	// Collect emits each sample. It is safe for concurrent use.
	Collect(emit func(Sample))
}
