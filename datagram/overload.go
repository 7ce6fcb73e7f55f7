package datagram

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// levelLogInterval is the minimum time between two log lines of the admission level,
// which changes many times a second at a saturated host.
const levelLogInterval = time.Second

// reportedLevel is the admission level that an agent reports.
type reportedLevel struct {
	steering.AdmissionLevel
	// openings are the kinds of openings that the host may get as of a catalog.
	openings   []steering.Opening
	openingsOf *catalog.Catalog
	// logged is the level of the last log line, changes the number of changes since.
	logged, changes int
	loggedAt        time.Duration
}

// encoded returns the level as frames carry it.
func (l *reportedLevel) encoded() uint8 {
	return uint8(min(l.Lowest()+1, flow.AdmitsAll))
}

// openingOf returns the kind of a route's openings.
func openingOf(r *catalog.Route) steering.Opening {
	return steering.Opening{Priority: r.Priority, TargetLatency: r.TargetLatency, Timeout: r.Timeout}
}

// openingsOfService returns the kinds of openings that hosts of a service may get,
// without duplicates.
func openingsOfService(c *catalog.Catalog, service string) []steering.Opening {
	var openings []steering.Opening
	for _, r := range c.Config.Routes {
		if r.Allows(service) {
			openings = append(openings, openingOf(r))
		}
	}
	slices.SortFunc(openings, func(a, b steering.Opening) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.TargetLatency, b.TargetLatency), cmp.Compare(a.Timeout, b.Timeout))
	})
	return slices.Compact(openings)
}

// updateLevel determines the admission level that the next reports carry, and logs a
// change. The catalog may be nil.
func (a *Agent) updateLevel(now time.Duration, c *catalog.Catalog) {
	if c == nil {
		return
	}
	l := &a.level
	if l.openingsOf != c {
		l.openings, l.openingsOf = openingsOfService(c, a.config.Service), c
	}
	before := l.Lowest()
	l.Update(now, &a.scheduler.queue, l.openings, func(priority int) steering.Backlog { return a.backlogAhead(now, priority) })
	if l.Lowest() != before {
		l.changes++
	}
	if l.changes == 0 || l.loggedAt > 0 && now-l.loggedAt < levelLogInterval {
		return
	}
	from := l.logged
	if l.loggedAt == 0 {
		from = steering.AdmitsAll
	}
	a.config.Events.Log(EventAdmissionLevel, flow.Key{}, "service", a.config.Service, "from", from, "to", l.Lowest(), "changes", l.changes,
		"busy", a.unansweredRequests, "waiting", a.scheduler.queue.Len(), "service_ms", a.serviceTime.Mean().Milliseconds())
	l.logged, l.loggedAt, l.changes = l.Lowest(), now, 0
}

// refuseOverloaded resets an opening whose service is overloaded on all its hosts.
func (e *Entry) refuseOverloaded(d *placementDecision, p *flow.Packet, out Output) {
	e.refusals.count(reasonServiceOverloaded, d.route)
	e.config.Events.Log(EventRefused, p.FromRequester(), "reason", reasonServiceOverloaded, "service", d.service.Name, "priority", d.route.Priority,
		"target_ms", d.route.TargetLatency.Milliseconds(), "latency_ms", d.level.LeastLatency.Milliseconds(), "busy", d.level.LeastBusy,
		"admit_priority", d.level.Lowest, "hosts", d.level.Hosts, "oldest_report_ms", d.level.OldestAge.Milliseconds())
	reset(e.config.Codec, p, out)
}
