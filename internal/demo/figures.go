package demo

import (
	"context"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// figure prints one line: name value unit.
func (t *trial) figure(name string, value float64, unit string) {
	t.print("%s %.3f %s\n", name, value, unit)
}

// printFigures prints what the run measured.
func (t *trial) printFigures(c callers.Tally) {
	t.figure("demo_requests", float64(c.Requests), "requests")
	t.figure("demo_refused_as_not_run", float64(c.Refused), "requests")
	changes := t.events(planned...)
	t.figure("demo_broken_flows_per_planned_change", float64(len(c.Broken))/float64(max(1, changes)), "flows")
	for _, took := range t.facts.inForce {
		t.figure("demo_change_in_force_everywhere", took.Seconds(), "s")
	}
	for _, b := range t.facts.balances {
		t.figure("demo_press_burst_imbalance_"+b.name, b.imbalance, "ratio")
		t.figure("demo_press_flows_not_opened_"+b.name, float64(b.failed), "flows")
	}
	for _, name := range []string{eventEntryKilled, eventSilentPaths, eventZoneOut, eventZoneBack, eventPlatformDown} {
		t.printQuality(name)
	}
}

// flowsPerHost is the number of flows opened for each host to measure the
// imbalance.
const flowsPerHost = 100

// measureBalance opens flows to Teifi's press in one burst and notes how they
// spread.
func (t *trial) measureBalance(ctx context.Context, name string) {
	hosts := 0
	for _, node := range t.world.Nodes() {
		if node.VM().Service == press && node.Running() {
			hosts++
		}
	}
	b := callers.OpenFlows(ctx, t.world, press, hosts*flowsPerHost)
	t.note(func(f *facts) {
		f.balances = append(f.balances, balance{name: name, imbalance: b.Imbalance(hosts), failed: b.Failed})
	})
}

// answeredInTime is the time in which a submission counts as answered well.
const answeredInTime = time.Second

// printQuality prints the quality of service of Teifi's press in the windows
// of an event.
func (t *trial) printQuality(name string) {
	for _, w := range t.facts.windows {
		if w.name != name {
			continue
		}
		inTime, all, gap := t.quality(w)
		t.figure("demo_press_answers_in_time_"+name, float64(inTime)/float64(max(1, all)), "share")
		t.figure("demo_press_largest_feed_gap_"+name, gap.Seconds(), "s")
	}
}

func (t *trial) quality(w window) (inTime, all int, gap time.Duration) {
	var gaps []time.Duration
	for _, o := range t.load.Outcomes() {
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
		if o.Err == nil && o.EndedAt.Sub(o.StartedAt) <= answeredInTime {
			inTime++
		}
	}
	if len(gaps) > 0 {
		gap = slices.Max(gaps)
	}
	return inTime, all, gap
}
