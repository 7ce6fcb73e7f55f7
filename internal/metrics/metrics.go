// Package metrics defines the samples that the components of a process report,
// independent of the exporter.
package metrics

// Sample is the value of a metric at one point in time.
type Sample struct {
	// Name is the metric's name without the "turmericrock" namespace.
	Name string
	// Cause is the value of the "cause" label, or empty for no label.
	Cause string
	Value int64
	// Gauge is true for a gauge and false for a monotonic counter.
	Gauge bool
}

// Source reports metrics of one component.
type Source interface {
	// Collect calls emit for each sample. It is safe for concurrent use.
	Collect(emit func(Sample))
}
