package slopes

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// Sweep holds what a bench measured of the roles that carry opaque flows, in fleets of
// several sizes with the same load a machine.
type Sweep struct {
	// Source says what was played, where.
	Source string `json:"source"`
	// Machines are the sizes: the number of machines of the system.
	Machines []float64 `json:"machines"`
	// Figures are those of the roles and of the whole fleet.
	Figures []SweepFigure `json:"figures"`
}

// SweepFigure is one cost at the sizes of a Sweep.
type SweepFigure struct {
	// Role is the role that has the cost, or "fleet".
	Role string `json:"role"`
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Middle and Busiest are the costs of the middle and of the busiest machine. The fleet
	// has only Middle.
	Middle  []float64 `json:"middle"`
	Busiest []float64 `json:"busiest,omitempty"`
	// Single marks a figure that depends on when an event falls, such as a time to recover,
	// and is not carried on to other sizes.
	Single bool `json:"single,omitempty"`
	// Limit is the users' limit, or 0 if there is none.
	Limit float64 `json:"limit,omitempty"`
	// Mechanism names the code that has the cost.
	Mechanism string `json:"mechanism"`
}

// SweepError reports a figure whose values do not match the sizes.
type SweepError struct {
	Figure string
}

// Error implements error.
func (e *SweepError) Error() string {
	return "sweep: " + e.Figure + " does not have one value for each size"
}

// LoadSweep reads a sweep. The error is a *SweepError if a figure is incomplete.
func LoadSweep(path string) (*Sweep, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	sweep := &Sweep{}
	if err := json.Unmarshal(data, sweep); err != nil {
		return nil, errors.WithStack(err)
	}
	for _, f := range sweep.Figures {
		if len(f.Middle) != len(sweep.Machines) || len(f.Busiest) > 0 && len(f.Busiest) != len(sweep.Machines) {
			return nil, errors.WithStack(&SweepError{Figure: f.Role + ", " + f.Name})
		}
	}
	return sweep, nil
}

// carriedOn returns the cost of a machine at a size, on the line through the given costs. A
// cost that falls with the size counts as it is at the largest size measured.
func (s *Sweep) carriedOn(costs []float64, machines float64) (cost, slope float64) {
	var points []Point
	for i, y := range costs {
		points = append(points, Point{X: s.Machines[i], Y: y})
	}
	fit := FitLine(points)
	if fit.Slope <= 0 {
		return costs[len(costs)-1], fit.Slope
	}
	return fit.At(machines), fit.Slope
}

const sweepHeader = `## Opaque flows on the platform

From docs/sweep.json, the committed figures of a sweep of the bench: %s. Each size has the same
load a machine. The slope is that of the line through the sizes; at the size above, %s
machines, a figure stands on that line, or, where it falls as the fleet grows, as it is at the
largest size played. A day of a sweep holds losses of processes and of a zone and planned work,
and KB a second hold the requests and answers of callers too, so that the users' limits for
control (in brackets) are met with room to spare where the figure is below them, and not
necessarily missed where it is above.

`

// writeTo writes the section of the capacity page.
func (s *Sweep) writeTo(out *strings.Builder, size fleetgen.Size) {
	target := float64(size.Nodes())
	fmt.Fprintf(out, sweepHeader, s.Source, formatNumber(target))
	var sizes []string
	for _, n := range s.Machines {
		sizes = append(sizes, formatNumber(n))
	}
	fmt.Fprintf(out, "| role | figure, middle and busiest machine | %s machines | slope for 100 machines, busiest | at %s machines, busiest | mechanism |\n| --- | --- | --- | --- | --- | --- |\n",
		strings.Join(sizes, ", "), formatNumber(target))
	var over []string
	for _, f := range s.Figures {
		costs := f.Middle
		if len(f.Busiest) > 0 {
			costs = f.Busiest
		}
		if f.Single {
			fmt.Fprintf(out, "| %s | %s | %s %s | - | - | %s |\n", f.Role, f.Name, f.values(), f.Unit, f.Mechanism)
			continue
		}
		cost, slope := s.carriedOn(costs, target)
		limit := ""
		if f.Limit > 0 {
			limit = " (" + formatNumber(f.Limit) + ")"
			if cost > f.Limit {
				over = append(over, fmt.Sprintf("%s, %s: %s %s, limit %s", f.Role, f.Name, formatNumber(cost), f.Unit, formatNumber(f.Limit)))
			}
		}
		fmt.Fprintf(out, "| %s | %s | %s %s | %s | %s %s%s | %s |\n", f.Role, f.Name, f.values(), f.Unit,
			formatNumber(100*slope), formatNumber(cost), f.Unit, limit, f.Mechanism)
	}
	out.WriteString("\nAbove a limit on its line, at the whole load of the day:\n\n")
	if len(over) == 0 {
		out.WriteString("- nothing\n")
	}
	for _, line := range over {
		out.WriteString("- " + line + "\n")
	}
	out.WriteString("\n")
}

// values returns the costs at all sizes, with that of the busiest machine after a slash.
func (f *SweepFigure) values() string {
	var values []string
	for i, middle := range f.Middle {
		value := formatNumber(middle)
		if len(f.Busiest) > 0 {
			value += " / " + formatNumber(f.Busiest[i])
		}
		values = append(values, value)
	}
	return strings.Join(values, ", ")
}
