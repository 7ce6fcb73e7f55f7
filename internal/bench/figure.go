// Package bench measures what an entry and a flow cost. Each figure is
// printed as "name value unit".
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

// Measure takes figures and hands each to show.
type Measure struct {
	Name string
	Run  func(show func(Figure)) error
}

// Measures returns all measures. binary is the path of the shipped binary.
func Measures(binary string) []Measure {
	return []Measure{
		{Name: "place", Run: measurePlace},
		{Name: "control", Run: measureControl},
		{Name: "spread", Run: measureSpread},
		{Name: "fairness", Run: measureFairness},
		{Name: "forward", Run: func(show func(Figure)) error { return measureForward(binary, show) }},
		{Name: "latency", Run: func(show func(Figure)) error { return measureLatency(binary, show) }},
	}
}
