package slopes

import (
	"fmt"
	"strings"
)

// Event is one thing that happens to the fleet, with its peak.
type Event struct {
	Name string
	// Phase is the measured phase that stands for it.
	Phase string
	// Count is how often it happens.
	Count string
	// Bound tells what bounds the peak.
	Bound string

	took    float64
	reads   float64
	missed  float64
	means   map[string]float64
	maxima  map[string]float64
	inForce bool
}

// eventPlan lists the events of the page.
var eventPlan = []Event{
	{Name: "a change of one service", Phase: "one service changed", Count: "610 a day with the next", inForce: true,
		Bound: "one part and the manifest's difference travel on each link (dissemination/difference.go)"},
	{Name: "a zone taken out", Phase: "zone taken out", Count: "in the 610", inForce: true,
		Bound: "the manifest's head travels alone"},
	{Name: "a VM replaced or failed", Phase: "one VM gone from a list", Count: "895 a day, one list each",
		Bound: "a list's difference travels to the zone's nodes and to every entry"},
	{Name: "a rack or switch lost (not measured: the figures are those of one VM)", Phase: "one VM gone from a list", Count: "weekly",
		Bound: "one list changes once for all its VMs; re-parenting is one link in 100 ms a node (dissemination/link.go dialGap), word of at most 256 lost nodes is held (dissemination/presence.go)"},
	{Name: "a zone lost", Phase: "one zone lost", Count: "once or twice a year",
		Bound: "cross links turn to spares; the zone is told silent as one (Replica.ZoneSilent)"},
	{Name: "regions that lose each other, then join", Phase: "regions split", Count: "several times a year, minutes",
		Bound: "each region keeps its own watchers; cross links turn to spares and back"},
	{Name: "the platform down", Phase: "platform down", Count: "for long periods",
		Bound: "own reads share 1,000 reads a second over the greatest fleet (dissemination/config.go OwnReads), watchers 840 (WatcherReads)"},
	{Name: "the end of a platform outage", Phase: "end of outage", Count: "as above",
		Bound: "the same two rates, each node's share jittered"},
	{Name: "half of the fleet restarted at once", Phase: "half restarted", Count: "not planned",
		Bound: "a starting node asks peers first; inbound links are bounded (Config.MaxInbound)"},
	{Name: "all of the fleet started at once", Phase: "start of all", Count: "not planned",
		Bound: "own reads at the shared rate; values then travel over the mesh"},
	{Name: "empty VM lists published by mistake", Phase: "empty lists", Count: "not planned",
		Bound: "a list that loses most of its VMs at once is held back (dissemination/lists.go)"},
}

func (p *page) events() []Event {
	nodes := p.size.Nodes()
	events := make([]Event, len(eventPlan))
	for i, event := range eventPlan {
		event.took = p.at(eventSeries(event.Phase, "took"), nodes)
		event.reads = p.at(eventSeries(event.Phase, "reads"), nodes)
		event.missed = p.at(eventSeries(event.Phase, "missed"), nodes)
		event.means = make(map[string]float64)
		event.maxima = make(map[string]float64)
		for _, kind := range spreadKinds {
			event.means[kind] = p.at(eventSeries(event.Phase, kind+" mean"), nodes)
			event.maxima[kind] = p.at(eventSeries(event.Phase, kind+" max"), nodes)
		}
		events[i] = event
	}
	return events
}

// excesses returns what is over a limit in the event.
func (e Event) excesses() []string {
	var out []string
	if e.reads > limitReads {
		out = append(out, fmt.Sprintf("**over the limit**: %s: %s platform reads in a second", e.Name, number(e.reads)))
	}
	if e.inForce && e.took > limitForce {
		out = append(out, fmt.Sprintf("**over the limit**: %s: in force after %s s", e.Name, number(e.took)))
	}
	if e.missed > 0 {
		out = append(out, fmt.Sprintf("%s: %s nodes had not got there", e.Name, number(e.missed)))
	}
	for _, kind := range spreadKinds {
		if peak := e.maxima[kind] / kilobyte; peak > limitBytes {
			out = append(out, fmt.Sprintf("peak over the limit for a node's average: %s: the busiest %s carries %s KB/s for %s s", e.Name, kind, number(peak), number(e.took)))
		}
	}
	return out
}

func writeEvents(out *strings.Builder, events []Event) {
	out.WriteString("## Events\n\nMeasured with the shipped replicas of all nodes at the size designed for, under a virtual clock and an in-memory network with 0.5 ms between nodes. \"Took\" is the time until every node had the change or was confirmed again; for those without an end it is the time observed. Reads are those of the worst second, waiting watches counted. Bytes are sent and received over the phase, of which 5 s are counted at least.\n\n")
	out.WriteString("| event | how often | took | platform reads | agent mean / max | entry mean / max | watcher mean / max | what bounds it |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, e := range events {
		fmt.Fprintf(out, "| %s | %s | %s s | %s/s |", e.Name, e.Count, number(e.took), number(e.reads))
		for _, kind := range spreadKinds {
			fmt.Fprintf(out, " %s / %s KB/s |", number(e.means[kind]/kilobyte), number(e.maxima[kind]/kilobyte))
		}
		fmt.Fprintf(out, " %s |\n", e.Bound)
	}
	out.WriteString("\nA full rolling replacement of 5,930 nodes within a working day of 8 h is one node in 4.9 s: the row of one VM, steadily. 880 a day is one in 98 s.\n\n")
}
