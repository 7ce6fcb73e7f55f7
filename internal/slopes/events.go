package slopes

import (
	"fmt"
	"strings"
)

// Event is a change or failure in the fleet, with the peak load that it causes.
type Event struct {
	Name string
	// Phase is the phase of controlscale.Measure whose figures are used.
	Phase string
	// Frequency tells how often the event occurs.
	Frequency string
	// BoundedBy describes what limits the peak load.
	BoundedBy string

	duration         float64
	peakReads        float64
	missedNodes      float64
	meanBytes        map[string]float64
	maxBytes         map[string]float64
	limitsActivation bool
}

// eventDefinitions lists the events of the page.
var eventDefinitions = []Event{
	{Name: "a change of one service", Phase: "one service changed", Frequency: "610 a day with the next", limitsActivation: true,
		BoundedBy: "one part and the manifest's difference travel on each link (dissemination/difference.go)"},
	{Name: "a zone taken out", Phase: "zone taken out", Frequency: "in the 610", limitsActivation: true,
		BoundedBy: "the manifest's head travels alone"},
	{Name: "a VM replaced or failed", Phase: "one VM gone from a list", Frequency: "895 a day, one list each",
		BoundedBy: "a list's difference travels to the zone's nodes and to every entry"},
	{Name: "a rack or switch lost (not measured: the figures are those of one VM)", Phase: "one VM gone from a list", Frequency: "weekly",
		BoundedBy: "one list changes once for all its VMs; re-parenting is one link in 100 ms a node (dissemination/link.go dialGap), word of at most 256 lost nodes is held (dissemination/presence.go)"},
	{Name: "a zone lost", Phase: "one zone lost", Frequency: "once or twice a year",
		BoundedBy: "cross links turn to spares; the zone is told silent as one (Replica.ZoneSilent)"},
	{Name: "regions that lose each other, then join", Phase: "regions split", Frequency: "several times a year, minutes",
		BoundedBy: "each region keeps its own watchers; cross links turn to spares and back"},
	{Name: "the platform down", Phase: "platform down", Frequency: "for long periods",
		BoundedBy: "own reads share 1,000 reads a second over the greatest fleet (dissemination/config.go OwnReads), watchers 840 (WatcherReads)"},
	{Name: "the end of a platform outage", Phase: "end of outage", Frequency: "as above",
		BoundedBy: "the same two rates, each node's share jittered"},
	{Name: "half of the fleet restarted at once", Phase: "half restarted", Frequency: "not planned",
		BoundedBy: "a starting node asks peers first; inbound links are bounded (Config.MaxInbound)"},
	{Name: "all of the fleet started at once", Phase: "start of all", Frequency: "not planned",
		BoundedBy: "own reads at the shared rate; values then travel over the mesh"},
	{Name: "empty VM lists published by mistake", Phase: "empty lists", Frequency: "not planned",
		BoundedBy: "a list that loses most of its VMs at once is held back (dissemination/lists.go)"},
}

func (p *pageBuilder) events() []Event {
	nodes := p.size.Nodes()
	events := make([]Event, len(eventDefinitions))
	for i, event := range eventDefinitions {
		event.duration = p.costAt(phaseSeriesName(event.Phase, "took"), nodes)
		event.peakReads = p.costAt(phaseSeriesName(event.Phase, "reads"), nodes)
		event.missedNodes = p.costAt(phaseSeriesName(event.Phase, "missed"), nodes)
		event.meanBytes = make(map[string]float64)
		event.maxBytes = make(map[string]float64)
		for _, kind := range nodeKinds {
			event.meanBytes[kind] = p.costAt(phaseSeriesName(event.Phase, kind+" mean"), nodes)
			event.maxBytes[kind] = p.costAt(phaseSeriesName(event.Phase, kind+" max"), nodes)
		}
		events[i] = event
	}
	return events
}

// limitViolations returns one line for each limit that the event exceeds, and one
// if nodes had not received the change or become current by the end.
func (e Event) limitViolations() []string {
	var out []string
	if e.peakReads > limitReads {
		out = append(out, fmt.Sprintf("**over the limit**: %s: %s platform reads in a second", e.Name, formatNumber(e.peakReads)))
	}
	if e.limitsActivation && e.duration > limitActivation {
		out = append(out, fmt.Sprintf("**over the limit**: %s: in force after %s s", e.Name, formatNumber(e.duration)))
	}
	if e.missedNodes > 0 {
		out = append(out, fmt.Sprintf("%s: %s nodes had not got there", e.Name, formatNumber(e.missedNodes)))
	}
	for _, kind := range nodeKinds {
		if peak := e.maxBytes[kind] / kilobyte; peak > limitBytes {
			out = append(out, fmt.Sprintf("peak over the limit for a node's average: %s: the busiest %s carries %s KB/s for %s s", e.Name, kind, formatNumber(peak), formatNumber(e.duration)))
		}
	}
	return out
}

func writeEvents(out *strings.Builder, events []Event) {
	out.WriteString("## Events\n\nMeasured with the shipped replicas of all nodes at the size designed for, under a virtual clock and an in-memory network with 0.5 ms between nodes. \"Took\" is the time until every node had the change or was confirmed again; for those without an end it is the time observed. Reads are those of the worst second, waiting watches counted. Bytes are sent and received over the phase, of which 5 s are counted at least.\n\n")
	out.WriteString("| event | how often | took | platform reads | agent mean / max | entry mean / max | watcher mean / max | what bounds it |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, e := range events {
		fmt.Fprintf(out, "| %s | %s | %s s | %s/s |", e.Name, e.Frequency, formatNumber(e.duration), formatNumber(e.peakReads))
		for _, kind := range nodeKinds {
			fmt.Fprintf(out, " %s / %s KB/s |", formatNumber(e.meanBytes[kind]/kilobyte), formatNumber(e.maxBytes[kind]/kilobyte))
		}
		fmt.Fprintf(out, " %s |\n", e.BoundedBy)
	}
	out.WriteString("\nA full rolling replacement of 5,930 nodes within a working day of 8 h is one node in 4.9 s: the row of one VM, steadily. 880 a day is one in 98 s.\n\n")
}
