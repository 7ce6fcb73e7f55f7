package bench

import (
	"strings"

	"github.com/turmericrock/turmericrock/internal/controlscale"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

const propagationSeed = 1

// propagationSizes are the fleets for which propagation is measured: the fleets
// of both customers today, and an eighth of the design size. The figures for the
// full design size are in docs/CAPACITY.md.
var propagationSizes = []struct {
	name string
	size fleetgen.Size
}{
	{"today", fleetgen.Size{Regions: 2, Zones: 7, Entries: 8, Hosts: 21, Services: 4, Parts: 4}},
	{"eighth", fleetgen.DesignSize().Scaled(0.125)},
}

// measurePropagation measures how configurations, VM lists and the presence of
// nodes propagate through the mesh: time, platform reads, bytes and processor
// time.
func measurePropagation(show func(Figure)) error {
	for _, s := range propagationSizes {
		result, err := controlscale.Measure(s.size, propagationSeed)
		if err != nil {
			return err
		}
		show(Figure{Name: "spread_" + s.name + "_step_cpu", Value: float64(result.StepTime.Nanoseconds()) / 1000, Unit: "us"})
		for _, phase := range result.Phases {
			reportPhase("spread_"+s.name+"_"+strings.ReplaceAll(phase.Name, " ", "_"), phase, show)
		}
	}
	return nil
}

func reportPhase(name string, phase controlscale.Phase, show func(Figure)) {
	show(Figure{Name: name + "_took", Value: phase.Elapsed.Seconds(), Unit: "s"})
	show(Figure{Name: name + "_platform_reads_worst_second", Value: float64(phase.PeakReads), Unit: "reads/s"})
	for _, kind := range []string{controlscale.KindAgent, controlscale.KindEntry, controlscale.KindWatcher} {
		load, found := phase.Loads[kind]
		if !found {
			continue
		}
		show(Figure{Name: name + "_" + kind + "_mean", Value: load.MeanBytes, Unit: "B/s"})
		show(Figure{Name: name + "_" + kind + "_max", Value: load.MaxBytes, Unit: "B/s"})
	}
}
