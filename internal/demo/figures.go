package demo

import (
	"context"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// printFigure prints one line: name value unit.
func (r *demoRun) printFigure(name string, value float64, unit string) {
	r.print("%s %.3f %s\n", name, value, unit)
}

// printFigures prints what the run measured.
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

// flowsPerHost is the number of flows opened for each host to measure the
// imbalance.
const flowsPerHost = 100

// measureBalance opens flows to Teifi's press in one burst and notes how they
// spread.
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

// answerTimeLimit is the time in which a submission counts as answered well.
const answerTimeLimit = time.Second

// printQuality prints the quality of service of Teifi's press in the windows
// of an event.
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

func (r *demoRun) serviceQuality(w eventWindow) (inTime, all int, gap time.Duration) {
	var gaps []time.Duration
	for _, o := range r.load.Outcomes() {
		if o.Service != press {
			continue
		}
		for _, g := range o.Gaps {
			if g.At.After(w.from) && g.At.Before(w.to) {
				gaps = append(gaps, g.Length)
			}
		}
		if o.Feed || o.Began.Before(w.from) || o.Began.After(w.to) {
			continue
		}
		all++
		if o.Err == nil && o.Ended.Sub(o.Began) <= answerTimeLimit {
			inTime++
		}
	}
	if len(gaps) > 0 {
		gap = slices.Max(gaps)
	}
	return inTime, all, gap
}
