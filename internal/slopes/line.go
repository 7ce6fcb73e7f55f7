package slopes

import (
	"fmt"
	"strings"
)

// Term is a count of things times the cost of one.
type Term struct {
	What  string
	Count float64
	Cost  float64
	// Source names the series or the constant that the cost comes from.
	Source string
}

// Line is one figure of the capacity page: a sum of terms beside a limit.
type Line struct {
	Name string
	Unit string
	// Scale divides the sum of the terms into Unit.
	Scale float64
	Terms []Term
	// Growth holds, for each term, the part that grows with the fleet. It is
	// empty for a figure of which nothing grows.
	Growth []float64
	// Limit is the users' limit in Unit, or 0.
	Limit float64
	// Mechanism names the file and type that carry the figure.
	Mechanism string
}

// Value returns the figure.
func (l Line) Value() float64 {
	var sum float64
	for _, term := range l.Terms {
		sum += term.Count * term.Cost
	}
	return sum / l.Scale
}

// Larger returns the figure at times the size.
func (l Line) Larger(times float64) float64 {
	value := l.Value()
	for _, growth := range l.Growth {
		value += (times - 1) * growth / l.Scale
	}
	return value
}

// Over reports whether the figure is over its limit.
func (l Line) Over() bool {
	return l.Limit > 0 && l.Value() > l.Limit
}

// OverAim reports whether the figure is over half of its limit, which is the
// project's own aim.
func (l Line) OverAim() bool {
	return l.Limit > 0 && l.Value() > l.Limit/2
}

// Arithmetic shows how the figure is worked out.
func (l Line) Arithmetic() string {
	var parts []string
	for _, term := range l.Terms {
		parts = append(parts, fmt.Sprintf("%s: %s x %s (`%s`)", term.What, number(term.Count), number(term.Cost), term.Source))
	}
	return strings.Join(parts, "; ")
}

// row returns the figure as a row of a table.
func (l Line) row() string {
	limit := "-"
	if l.Limit > 0 {
		limit = number(l.Limit)
	}
	return fmt.Sprintf("| %s | %s %s | %s | %s | %s |\n", l.Name, number(l.Value()), l.Unit, limit, l.Arithmetic(), l.Mechanism)
}

// number prints a figure with three significant digits.
func number(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 1000 || x <= -1000:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}
