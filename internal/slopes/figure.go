package slopes

import (
	"fmt"
	"strings"
)

// Term is a product of a count and a cost per item.
type Term struct {
	Label string
	Count float64
	Cost  float64
	// Source names the series or constant from which the cost is taken.
	Source string
}

// Figure is one figure of the capacity page: a sum of terms with an optional
// limit.
type Figure struct {
	Name string
	Unit string
	// Scale is the divisor that converts the sum of the terms to Unit.
	Scale float64
	Terms []Term
	// Growth holds, for each term, the part of its value that is proportional to
	// the size of the fleet. It is empty if no part is.
	Growth []float64
	// Limit is the limit required by the users, in Unit, or 0 if there is none.
	Limit float64
	// Mechanism names the files and types that determine the figure.
	Mechanism string
}

// Value returns the sum of the terms in Unit.
func (l Figure) Value() float64 {
	var sum float64
	for _, term := range l.Terms {
		sum += term.Count * term.Cost
	}
	return sum / l.Scale
}

// ScaledValue returns the value for a fleet that is larger by the given factor.
func (l Figure) ScaledValue(factor float64) float64 {
	value := l.Value()
	for _, growth := range l.Growth {
		value += (factor - 1) * growth / l.Scale
	}
	return value
}

// ExceedsLimit reports whether the value is greater than the limit.
func (l Figure) ExceedsLimit() bool {
	return l.Limit > 0 && l.Value() > l.Limit
}

// ExceedsTarget reports whether the value is greater than half of the limit,
// which is the project's own target.
func (l Figure) ExceedsTarget() bool {
	return l.Limit > 0 && l.Value() > l.Limit/2
}

// Arithmetic returns the calculation of the value as text.
func (l Figure) Arithmetic() string {
	var parts []string
	for _, term := range l.Terms {
		parts = append(parts, fmt.Sprintf("%s: %s x %s (`%s`)", term.Label, formatNumber(term.Count), formatNumber(term.Cost), term.Source))
	}
	return strings.Join(parts, "; ")
}

// tableRow returns the figure as a row of a Markdown table.
func (l Figure) tableRow() string {
	limit := "-"
	if l.Limit > 0 {
		limit = formatNumber(l.Limit)
	}
	return fmt.Sprintf("| %s | %s %s | %s | %s | %s |\n", l.Name, formatNumber(l.Value()), l.Unit, limit, l.Arithmetic(), l.Mechanism)
}

// formatNumber formats x with three significant digits, or as an integer if its
// absolute value is at least 1000.
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
