package demo

import (
	"context"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// printFigure prints one figure in the form "name value unit".
func (r *demoRun) printFigure(name string, value float64, unit string) {
	r.print("%s %.3f %s\n", name, value, unit)
}

// printFigures prints the measurements of the run.
func (r *demoRun) printFigures(c callers.Tally) {
	r.printFigure("demo_requests", float64(c.Requests), "requests")
	r.printFigure("demo_refused_as_not_run", float64(c.Refused), "requests")
	changes := r.eventCount(plannedEvents...)
	r.printFigure("demo_broken_flows_per_planned_change", float64(len(c.Broken))/float64(max(1, changes)), "flows")
	for _, elapsed := range r.observed.activationTimes {
		r.printFigure("demo_change_in_force_everywhere", elapsed.Seconds(), "s")
	}
	for _, b := range r.observed.balances {
		r.printFigure("demo_press_burst_imbalance_"+b.name, b.imbalance, "ratio")
		r.printFigure("demo_press_flows_not_opened_"+b.name, float64(b.failed), "flows")
	}
	for _, name := range []string{eventEntryKilled, eventSilentPaths, eventZoneOut, eventZoneBack, eventPlatformDown} {
		r.printQuality(name)
	}
}

// flowsPerHost is the number of flows opened per host to measure the load
// imbalance.
const flowsPerHost = 100

// measureBalance opens flows to the press service in one burst and records how
// evenly they are distributed over its hosts. name identifies the measurement.
func (r *demoRun) measureBalance(ctx context.Context, name string) {
	hosts := 0
	for _, node := range r.world.Nodes() {
		if node.VM().Service == press && node.Running() {
			hosts++
		}
	}
	b := callers.OpenFlows(ctx, r.world, press, hosts*flowsPerHost)
	r.record(func(obs *observations) {
		obs.balances = append(obs.balances, flowBalance{name: name, imbalance: b.Imbalance(hosts), failed: b.Failed})
	})
}

// answerTimeLimit is the time within which a submission has to be answered to
// count as in time.
const answerTimeLimit = time.Second

// printQuality prints, for each occurrence of the event, the quality of
// service of the press service during it.
func (r *demoRun) printQuality(name string) {
	for _, w := range r.observed.windows {
		if w.name != name {
			continue
		}
		inTime, all, gap := r.serviceQuality(w)
		r.printFigure("demo_press_answers_in_time_"+name, float64(inTime)/float64(max(1, all)), "share")
		r.printFigure("demo_press_largest_feed_gap_"+name, gap.Seconds(), "s")
	}
}

// serviceQuality returns the number of press submissions begun in the window
// that were answered within answerTimeLimit, the number of all of them, and
// the largest gap between lines of a feed.
func (r *demoRun) serviceQuality(w eventWindow) (inTime, all int, gap time.Duration) {
	var gaps []time.Duration
	for _, o := range r.load.Outcomes() {
		if o.Service != press {
			continue
		}
		for _, g := range o.Gaps {
			if g.At.After(w.from) && g.At.Before(w.to) {
				gaps = append(gaps, g.Elapsed)
			}
		}
		if o.Feed || o.StartedAt.Before(w.from) || o.StartedAt.After(w.to) {
			continue
		}
		all++
		if o.Err == nil && o.EndedAt.Sub(o.StartedAt) <= answerTimeLimit {
			inTime++
		}
	}
	if len(gaps) > 0 {
		gap = slices.Max(gaps)
	}
	return inTime, all, gap
}
