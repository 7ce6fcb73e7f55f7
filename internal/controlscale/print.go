package controlscale

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// Name returns the name of a size in benchmarks and printed results.
func Name(size fleetgen.Size) string {
	return fmt.Sprintf("%d_nodes", size.Nodes())
}

// String returns a printable report, one line per phase and kind of node.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s step %v cpu %.3f%%\n", Name(r.Size), r.StepTime, 100*r.CPUFraction)
	for _, phase := range r.Phases {
		fmt.Fprintf(&b, "%-24s took %8v reads/s %5d age %8v missed %d\n",
			phase.Name, phase.Elapsed.Round(1e6), phase.PeakReads, phase.MaxConfirmationAge.Round(1e6), phase.Unfinished)
		for _, kind := range slices.Sorted(maps.Keys(phase.Loads)) {
			load := phase.Loads[kind]
			fmt.Fprintf(&b, "    %-8s nodes %5d bytes/s mean %6.0f max %7.0f messages/s mean %5.1f max %5.1f\n",
				kind, load.Nodes, load.MeanBytes, load.MaxBytes, load.MeanMessages, load.MaxMessages)
		}
	}
	return b.String()
}
