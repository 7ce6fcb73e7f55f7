package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/steering"
)

// WriteText writes an explanation for readers.
func WriteText(w io.Writer, x *datagram.Explanation) error {
	var b strings.Builder
	writeFlow(&b, x)
	writeDecision(&b, x)
	if x.Entry != nil {
		writeEntry(&b, x)
	}
	if x.Agent != nil {
		writeAgent(&b, x.Agent)
	}
	if err := writeCandidates(&b, x); err != nil {
		return err
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// line writes a labeled line.
func line(b *strings.Builder, label, format string, args ...any) {
	fmt.Fprintf(b, "%-11s %s\n", label, fmt.Sprintf(format, args...))
}

func writeFlow(b *strings.Builder, x *datagram.Explanation) {
	bulk := ""
	if x.Bulk {
		bulk = ", bulk"
	}
	line(b, "process", "%s, configuration %d, confirmed %d ms ago", x.Role, x.ConfigVersion, x.CatalogAgeMS)
	line(b, "route", "%s (%s), priority %d, target latency %d ms, time limit %d ms%s",
		x.Route, x.RouteName, x.Priority, x.TargetLatencyMS, x.TimeoutMS, bulk)
	requester := x.Requester
	if x.Example {
		requester += " (an example; -requester gives the host of one flow)"
	}
	if x.Zone != "" {
		requester += ", zone " + x.Zone
	}
	line(b, "requester", "%s", requester)
	service := x.Service
	if !x.ServiceKnown {
		service += " (not declared)"
	}
	if len(x.Targets) > 1 {
		var targets []string
		for _, t := range x.Targets {
			targets = append(targets, fmt.Sprintf("%s %g", t.Service, t.Weight))
		}
		service += ", by the weights " + strings.Join(targets, ", ")
	}
	line(b, "service", "%s", service)
}

func writeDecision(b *strings.Builder, x *datagram.Explanation) {
	decision := strings.ReplaceAll(x.Decision, "_", " ")
	switch x.Decision {
	case "placed":
		decision += " at " + x.Host
	case "passed_on":
		decision += " to " + x.Host
	case "held":
		decision = "the flow exists and is held at " + x.Host
	case "accepted":
		decision += " by this host, " + x.Host
	}
	if x.Reason != "" {
		decision += ", because: " + x.Reason
	}
	line(b, "decision", "%s", decision)
	if x.IgnoresServiceTime {
		line(b, "", "one of the few flows that are placed without regard to service times")
	}
}

func writeEntry(b *strings.Builder, x *datagram.Explanation) {
	e := x.Entry
	switch {
	case e.Refuses:
		line(b, "at once", "refused: each of the %d hosts has said, the longest %d ms ago, that it admits no priority below %d",
			e.Hosts, e.OldestReportMS, e.Lowest)
	case e.Placed == string(steering.PlacedProbe):
		line(b, "at once", "not refused: one of the few openings that are placed whatever the hosts say")
	case e.Placed == string(steering.PlacedHostMayAdmit):
		line(b, "at once", "not refused: %s has not recently said that it refuses the priority", e.Admitting)
	case e.Placed == string(steering.PlacedNoHost):
		line(b, "at once", "not refused: no usable host could have said so")
	}
	if e.Unresponsive != "" {
		line(b, "avoided", "%s has not answered an earlier copy of this opening", e.Unresponsive)
	}
}

func writeAgent(b *strings.Builder, a *datagram.AgentExplanation) {
	line(b, "host", "service %s, %d slots, %d unanswered requests of which %d wait here, %d flows, service time %.1f ms",
		a.Service, a.Slots, a.Busy, a.Waiting, a.Flows, a.ServiceMS)
	for _, q := range a.Queue {
		line(b, "queue", "priority %d: %d wait, %d ahead of the new request", q.Priority, q.Waiting, q.Ahead)
	}
	if a.Stalled {
		line(b, "", "the host has answered nothing for long: everything that waits is ahead")
	}
	if a.Admission != nil {
		writeAdmission(b, "admission", a.Admission)
	}
	if a.LastAdmission != nil {
		writeAdmission(b, "last asked", a.LastAdmission)
	}
	if c := a.Cold; c != nil {
		text := fmt.Sprintf("%d of %d new flows in the last second", c.Recent, c.Limit)
		if c.AssumedUsed {
			text += ", counts as used up since the agent restarted"
		}
		line(b, "cold", "%s: %s", admits(c.Admits), text)
	}
	if a.Alternative != "" {
		line(b, "if busy", "passed on to %s", a.Alternative)
	}
}

func admits(yes bool) string {
	if yes {
		return "accept"
	}
	return "refuse"
}

func writeAdmission(b *strings.Builder, label string, a *datagram.AdmissionExplanation) {
	switch {
	case a.FreeSlot:
		line(b, label, "%s: a slot is free (%d requests ahead)", a.Decision, a.Ahead)
		return
	case a.RefuseAbove == 0:
		line(b, label, "%s: the route has no target latency", a.Decision)
		return
	}
	line(b, label, "%s: %d requests ahead, estimated latency %.1f ms, share %.2f (passed on above %.2f, refused above %.2f)",
		a.Decision, a.Ahead, a.EstimateMS, a.Share, a.ForwardAbove, a.RefuseAbove)
	if l := a.Late; l != nil {
		line(b, "late", "%s: %d requests ahead, expected wait %.1f ms, late requests get %.2f of the releases",
			admits(l.Admitted), l.Ahead, l.WaitMS, l.Share)
	}
}

func writeCandidates(b *strings.Builder, x *datagram.Explanation) error {
	if len(x.Candidates) == 0 {
		line(b, "candidates", "none were considered")
		return nil
	}
	line(b, "candidates", "%d, those of the lowest cost first, %d more left out", len(x.Candidates), x.Omitted)
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for i := range x.Candidates {
		h := &x.Candidates[i]
		cost, terms := strconv.FormatFloat(h.Cost, 'f', 3, 64), describeTerms(&h.Terms)
		if h.Excluded != "" {
			cost, terms = "-", h.Excluded
		}
		if _, err := fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\n", cost, h.Host, h.Zone, terms, describeState(h)); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(table.Flush())
}

// describeTerms lists the terms that are not 0.
func describeTerms(t *steering.CostTerms) string {
	var terms []string
	for _, term := range []struct {
		name string
		cost float64
	}{
		{"assumed", t.Assumed}, {"busy", t.Busy}, {"flows", t.Flows}, {"slow", t.Slow}, {"late", t.Late}, {"wait", t.Wait},
		{"suspect", t.Suspect}, {"refusing", t.Refusing}, {"failing", t.Failing}, {"zone", t.Zone}, {"bulk", t.Bulk},
		{"cold", t.Cold}, {"lapsed", t.Lapsed}, {"tie_break", t.TieBreak},
	} {
		if term.cost != 0 {
			terms = append(terms, fmt.Sprintf("%s %.3f", term.name, term.cost))
		}
	}
	return strings.Join(terms, " + ")
}

// describeState describes the last report of a host.
func describeState(h *datagram.HostExplanation) string {
	if !h.Reported {
		return fmt.Sprintf("no recent report, placed since %d", h.Placed)
	}
	text := fmt.Sprintf("%d slots, busy %d, flows %d, placed since %d", h.Slots, h.Busy, h.Flows, h.Placed)
	if h.ServiceMS > 0 {
		text += fmt.Sprintf(", service time %d ms", h.ServiceMS)
	}
	if h.AdmitPriority != nil && *h.AdmitPriority != steering.AdmitsAll {
		text += fmt.Sprintf(", admits priority %d", *h.AdmitPriority)
	}
	return text + fmt.Sprintf(", %d ms ago", h.ReportAgeMS)
}
