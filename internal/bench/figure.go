// Package bench measures the cost of entries and flows. Each figure is printed
// as "name value unit".
package bench

import "fmt"

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// String returns "name value unit".
func (f Figure) String() string {
	return fmt.Sprintf("%s %.6g %s", f.Name, f.Value, f.Unit)
}

// Measurement is a named benchmark. Run passes each figure to show as soon as it
// is known.
type Measurement struct {
	Name string
	Run  func(show func(Figure)) error
}

// Measurements returns all measurements. binary is the path of the turmericrock
// binary.
func Measurements(binary string) []Measurement {
	return []Measurement{
		{Name: "place", Run: measurePlacement},
		{Name: "control", Run: measureControl},
		{Name: "spread", Run: measurePropagation},
		{Name: "fairness", Run: measureFairness},
		{Name: "forward", Run: func(show func(Figure)) error { return measureForward(binary, show) }},
		{Name: "latency", Run: func(show func(Figure)) error { return measureLatency(binary, show) }},
	}
}
