package slopes

import (
	"fmt"
	"strings"
)

// Term is a count of things times the cost of one.
type Term struct {
	Label string
	Count float64
	Cost  float64
	// Source names the series or the constant that the cost comes from.
	Source string
}

// Figure is one figure of the capacity page: a sum of terms beside a limit.
type Figure struct {
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
func (l Figure) Value() float64 {
	var sum float64
	for _, term := range l.Terms {
		sum += term.Count * term.Cost
	}
	return sum / l.Scale
}

// ScaledValue returns the figure at times the size.
func (l Figure) ScaledValue(factor float64) float64 {
	value := l.Value()
	for _, growth := range l.Growth {
		value += (factor - 1) * growth / l.Scale
	}
	return value
}

// ExceedsLimit reports whether the figure is over its limit.
func (l Figure) ExceedsLimit() bool {
	return l.Limit > 0 && l.Value() > l.Limit
}

// ExceedsTarget reports whether the figure is over half of its limit, which is the
// project's own aim.
func (l Figure) ExceedsTarget() bool {
	return l.Limit > 0 && l.Value() > l.Limit/2
}

// Arithmetic shows how the figure is worked out.
func (l Figure) Arithmetic() string {
	var parts []string
	for _, term := range l.Terms {
		parts = append(parts, fmt.Sprintf("%s: %s x %s (`%s`)", term.Label, formatNumber(term.Count), formatNumber(term.Cost), term.Source))
	}
	return strings.Join(parts, "; ")
}

// tableRow returns the figure as a tableRow of a table.
func (l Figure) tableRow() string {
	limit := "-"
	if l.Limit > 0 {
		limit = formatNumber(l.Limit)
	}
	return fmt.Sprintf("| %s | %s %s | %s | %s | %s |\n", l.Name, formatNumber(l.Value()), l.Unit, limit, l.Arithmetic(), l.Mechanism)
}

// formatNumber prints a figure with three significant digits.
func formatNumber(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 1000 || x <= -1000:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}
