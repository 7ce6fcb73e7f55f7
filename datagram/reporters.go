package datagram

import (
	"math"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// Reporters are the agents that read the store for others, and their substitutes. Agents of
// unlisted hosts announce themselves to them, and agents that search for flows ask them. All
// processes choose the same ones, and their number hardly grows with the fleet, so that an
// announcement costs little and can be repeated often.

// receivedReport is a report of a reporter on unlisted hosts.
type receivedReport struct {
	receivedAt, listening time.Duration
}

// maxReportersAsked is the number of reporters that an agent asks.
const maxReportersAsked = 4

// tellReporters announces this agent to the reporters.
func (a *Agent) tellReporters(now time.Duration, out Output) {
	n := &a.announcements
	if now-n.reportersToldAt < steering.ReporterAnnounceInterval {
		return
	}
	n.reportersToldAt = now
	f := a.newReport(flow.Unlisted, flow.Key{})
	for _, reporter := range n.reporters {
		out.ToNode(a.endpoint(reporter), &f, nil)
	}
}

// updateReporters determines the reporters: the agents that read the store for others and
// their substitutes, which all processes choose alike.
func (a *Agent) updateReporters(now time.Duration, c *catalog.Catalog) {
	n := &a.announcements
	if n.reportersOf == c {
		return
	}
	n.reportersOf = c
	n.reporters = append(catalog.Readers(c), catalog.SubstituteReaders(c)...)
	isReporter := slices.Contains(n.reporters, a.config.Self.Addr)
	if isReporter && !n.isReporter {
		n.reporterSince = now
	}
	n.isReporter = isReporter
}

// askReporters asks the reporters which agents have announced themselves to them.
func (a *Agent) askReporters(now time.Duration, c *catalog.Catalog, out Output) {
	n := &a.announcements
	if n.askedAt != 0 && now-n.askedAt < steering.ReporterAnnounceInterval {
		return
	}
	n.askedAt = now
	f := a.newReport(flow.UnlistedQuery, flow.Key{})
	for _, reporter := range n.reporters[:min(maxReportersAsked, len(n.reporters))] {
		if reporter == a.config.Self.Addr {
			n.reports[reporter] = receivedReport{receivedAt: now, listening: now - n.reporterSince}
			continue
		}
		out.ToNode(a.endpoint(reporter), &f, nil)
	}
}

// reportUnlisted answers which agents have announced themselves. An agent that does not
// count itself among the reporters does not answer, since it may not have been told.
func (a *Agent) reportUnlisted(now time.Duration, to [4]byte, out Output) {
	n := &a.announcements
	if !n.isReporter {
		return
	}
	var agents []flow.UnlistedAgent
	for agent, u := range n.received {
		if now-u.heardAt <= unlistedRetention {
			agents = append(agents, flow.UnlistedAgent{Agent: agent, ServiceTag: u.serviceTag})
		}
	}
	if len(agents) > flow.MaxUnlisted {
		return
	}
	f := a.newReport(flow.UnlistedReport, flow.Key{})
	f.ListeningMS = uint32(min((now - n.reporterSince).Milliseconds(), math.MaxUint32))
	out.ToNode(a.endpoint(to), &f, flow.AppendUnlisted(nil, agents))
}

// recordReport stores what a reporter knows of unlisted hosts.
func (a *Agent) recordReport(f *flow.Frame, list []byte, now time.Duration) {
	agents, ok := flow.ParseUnlisted(list)
	if !ok {
		a.config.Events.Drop(DropMalformed)
		return
	}
	if !slices.Contains(a.announcements.reporters, f.Sender) {
		return
	}
	for _, u := range agents {
		if u.Agent != a.config.Self.Addr {
			a.announcements.received[u.Agent] = unlistedAgent{serviceTag: u.ServiceTag, heardAt: now}
		}
	}
	a.announcements.reports[f.Sender] = receivedReport{receivedAt: now, listening: time.Duration(f.ListeningMS) * time.Millisecond}
}
