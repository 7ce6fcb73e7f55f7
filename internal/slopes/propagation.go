package slopes

import (
	"time"

	"github.com/turmericrock/turmericrock/internal/controlscale"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

const propagationSeed = 1

// propagationMeasurements returns the measurements of the propagation of
// configurations, VM lists and the presence of nodes. They run the production
// replicas of a whole fleet under a virtual clock and an in-memory network.
func propagationMeasurements() []Measurement {
	bench := &propagationBench{results: make(map[float64]controlscale.Result)}
	measurements := []Measurement{bench.measurement("spread_step_cpu", "us", func(r controlscale.Result) float64 {
		return microseconds(r.StepTime)
	})}
	for _, event := range propagationPhases {
		measurements = append(measurements, bench.phaseMeasurements(event)...)
	}
	return measurements
}

// propagationPhases are the phases of controlscale.Measure that are measured.
var propagationPhases = []string{
	"start of all",
	"steady",
	"one service changed",
	"zone taken out",
	"one VM gone from a list",
	"platform down",
	"end of outage",
	"half restarted",
	"empty lists",
	"lists restored",
	"one zone lost",
	"regions split",
}

var nodeKinds = []string{controlscale.KindAgent, controlscale.KindEntry, controlscale.KindWatcher}

type propagationBench struct {
	results map[float64]controlscale.Result
}

func (b *propagationBench) measurement(name, unit string, cost func(controlscale.Result) float64) Measurement {
	return Measurement{
		Name:  name,
		Unit:  unit,
		Per:   "node",
		Sizes: sampleSizes(fleetgen.DesignSize().Nodes()),
		Run: func(nodes float64) (float64, error) {
			result, err := b.measure(nodes)
			if err != nil {
				return 0, err
			}
			return cost(result), nil
		},
	}
}

func (b *propagationBench) measure(nodes float64) (controlscale.Result, error) {
	if result, found := b.results[nodes]; found {
		return result, nil
	}
	design := fleetgen.DesignSize()
	result, err := controlscale.Measure(design.Scaled(nodes/float64(design.Nodes())), propagationSeed)
	b.results[nodes] = result
	return result, err
}

// phaseMeasurements returns the measurements of the named phase.
func (b *propagationBench) phaseMeasurements(name string) []Measurement {
	costOfPhase := func(cost func(controlscale.Phase) float64) func(controlscale.Result) float64 {
		return func(r controlscale.Result) float64 { return cost(findPhase(r, name)) }
	}
	measurements := []Measurement{
		b.measurement(phaseSeriesName(name, "took"), "s", costOfPhase(func(p controlscale.Phase) float64 { return seconds(p.Elapsed) })),
		b.measurement(phaseSeriesName(name, "reads"), "reads/s", costOfPhase(func(p controlscale.Phase) float64 { return float64(p.PeakReads) })),
		b.measurement(phaseSeriesName(name, "missed"), "nodes", costOfPhase(func(p controlscale.Phase) float64 { return float64(p.Unfinished) })),
	}
	for _, kind := range nodeKinds {
		measurements = append(measurements,
			b.measurement(phaseSeriesName(name, kind+" mean"), "B/s", costOfPhase(func(p controlscale.Phase) float64 { return p.Loads[kind].MeanBytes })),
			b.measurement(phaseSeriesName(name, kind+" max"), "B/s", costOfPhase(func(p controlscale.Phase) float64 { return p.Loads[kind].MaxBytes })),
			b.measurement(phaseSeriesName(name, kind+" messages"), "1/s", costOfPhase(func(p controlscale.Phase) float64 { return p.Loads[kind].MeanMessages })),
		)
	}
	return measurements
}

// phaseSeriesName returns the name of the series of one figure of a phase.
func phaseSeriesName(event, figure string) string {
	return "spread/" + event + "/" + figure
}

func findPhase(r controlscale.Result, name string) controlscale.Phase {
	for _, p := range r.Phases {
		if p.Name == name {
			return p
		}
	}
	return controlscale.Phase{}
}

func seconds(d time.Duration) float64 {
	return d.Seconds()
}
