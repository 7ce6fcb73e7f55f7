package controlscale_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/controlscale"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// readBudget is the number of reads per second that the platform serves to all
// its readers together.
const readBudget = 2000

func TestPlatformReadsStayWithinBudget(t *testing.T) {
	result, err := controlscale.Measure(fleetgen.DesignSize().Scaled(0.1), 1)
	must.NoError(t, err)
	for _, phase := range result.Phases {
		must.Less(t, readBudget, phase.PeakReads, must.Sprint(phase.Name))
		must.Zero(t, phase.Unfinished, must.Sprint(phase.Name))
	}
}

func BenchmarkControl(b *testing.B) {
	for _, share := range []float64{0.125, 0.25, 0.5, 1} {
		size := fleetgen.DesignSize().Scaled(share)
		b.Run(controlscale.Name(size), func(b *testing.B) {
			for b.Loop() {
				result, err := controlscale.Measure(size, 1)
				must.NoError(b, err)
				fmt.Print(result.String())
			}
		})
	}
}
