package slopes

import (
	"time"

	"github.com/turmericrock/turmericrock/internal/controlscale"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

const spreadSeed = 1

// spreadMeasures are the costs of spreading configuration, lists and word of
// nodes, taken with the shipped replicas of a whole fleet under a virtual
// clock and an in-memory network.
func spreadMeasures() []Measure {
	bench := &spreadBench{taken: make(map[float64]controlscale.Result)}
	measures := []Measure{bench.measure("spread_step_cpu", "us", func(r controlscale.Result) float64 {
		return microseconds(r.StepTime)
	})}
	for _, event := range spreadEvents {
		measures = append(measures, bench.event(event)...)
	}
	return measures
}

// spreadEvents are the phases of controlscale.Measure.
var spreadEvents = []string{
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

var spreadKinds = []string{controlscale.KindAgent, controlscale.KindEntry, controlscale.KindWatcher}

type spreadBench struct {
	taken map[float64]controlscale.Result
}

func (b *spreadBench) measure(name, unit string, cost func(controlscale.Result) float64) Measure {
	return Measure{
		Name:  name,
		Unit:  unit,
		Per:   "node",
		Sizes: sizesOf(fleetgen.DesignSize().Nodes()),
		Run: func(nodes float64) (float64, error) {
			result, err := b.take(nodes)
			if err != nil {
				return 0, err
			}
			return cost(result), nil
		},
	}
}

func (b *spreadBench) take(nodes float64) (controlscale.Result, error) {
	if result, found := b.taken[nodes]; found {
		return result, nil
	}
	design := fleetgen.DesignSize()
	result, err := controlscale.Measure(design.Scaled(nodes/float64(design.Nodes())), spreadSeed)
	b.taken[nodes] = result
	return result, err
}

// event returns the measures of one phase.
func (b *spreadBench) event(name string) []Measure {
	of := func(cost func(controlscale.Phase) float64) func(controlscale.Result) float64 {
		return func(r controlscale.Result) float64 { return cost(phase(r, name)) }
	}
	measures := []Measure{
		b.measure(eventSeries(name, "took"), "s", of(func(p controlscale.Phase) float64 { return seconds(p.Elapsed) })),
		b.measure(eventSeries(name, "reads"), "reads/s", of(func(p controlscale.Phase) float64 { return float64(p.PeakReads) })),
		b.measure(eventSeries(name, "missed"), "nodes", of(func(p controlscale.Phase) float64 { return float64(p.Unfinished) })),
	}
	for _, kind := range spreadKinds {
		measures = append(measures,
			b.measure(eventSeries(name, kind+" mean"), "B/s", of(func(p controlscale.Phase) float64 { return p.Loads[kind].MeanBytes })),
			b.measure(eventSeries(name, kind+" max"), "B/s", of(func(p controlscale.Phase) float64 { return p.Loads[kind].MaxBytes })),
			b.measure(eventSeries(name, kind+" messages"), "1/s", of(func(p controlscale.Phase) float64 { return p.Loads[kind].MeanMessages })),
		)
	}
	return measures
}

// eventSeries names the series of one figure of a phase.
func eventSeries(event, figure string) string {
	return "spread/" + event + "/" + figure
}

func phase(r controlscale.Result, name string) controlscale.Phase {
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
