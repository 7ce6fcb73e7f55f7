package datagram

import (
	"strconv"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Reasons for which an opening is answered with a reset. reasonOverloaded is that of an agent
// whose host cannot serve it in time, reasonServiceOverloaded that of an entry which was told
// so by all hosts of the service.
const (
	reasonOverloaded        = "overloaded"
	reasonServiceOverloaded = "service_overloaded"
	reasonNoHost            = "no_host"
	reasonNoRoute           = "no_route"
)

// refusal is a kind of refused opening.
type refusal struct {
	reason string
	// priority is that of the route, valid if known is set.
	priority int
	known    bool
}

// refusalCounts counts the openings refused, by kind.
type refusalCounts map[refusal]int64

// count counts a refusal. The route may be nil.
func (r refusalCounts) count(reason string, route *catalog.Route) {
	kind := refusal{reason: reason}
	if route != nil {
		kind.priority, kind.known = route.Priority, true
	}
	r[kind]++
}

// collect emits the counters. Their cause is the reason, followed by the priority unless
// the route is not known.
func (r refusalCounts) collect(emit func(metrics.Sample)) {
	for kind, n := range r {
		cause := kind.reason
		if kind.known {
			cause += "_" + priorityCause(kind.priority)
		}
		emit(metrics.Sample{Name: "openings_refused", Cause: cause, Value: n})
	}
}

// priorityCause returns the cause under which metrics of a priority are exported.
func priorityCause(priority int) string {
	return "priority_" + strconv.Itoa(priority)
}

// refuse resets a flow that is not opened. The requester knows from this at once that none
// of its requests was run. The log line has the state that decided it.
func (a *Agent) refuse(now time.Duration, f *flow.Frame, p *flow.Packet, reason string, out Output) {
	key := p.FromRequester()
	pairs := []any{
		"reason", reason, "service", a.config.Service, "hops", f.Hops, "busy", a.unansweredRequests,
		"service_ms", a.serviceTime.Mean().Milliseconds(), "admit_priority", a.level.Lowest(),
	}
	var route *catalog.Route
	if c := a.config.Catalog(); c != nil {
		route = c.Config.Routes[key.Destination]
	}
	if route != nil {
		pairs = append(pairs, a.admissionState(now, route, p, reason)...)
	}
	a.refusals.count(reason, route)
	a.config.Events.Log(EventRefused, key, pairs...)
	reset(a.config.Codec, p, out)
}

// admissionState returns what admission depends on for an opening of a route, as pairs of
// names and values. late_considered tells whether the time limit was also considered, and
// late_latency_ms the estimate that was compared with left_ms, the time until this limit.
func (a *Agent) admissionState(now time.Duration, route *catalog.Route, p *flow.Packet, reason string) []any {
	backlog := a.backlogAhead(now, route.Priority)
	late := reason == reasonOverloaded && route.Timeout > 0
	pairs := []any{
		"priority", route.Priority, "target_ms", route.TargetLatency.Milliseconds(),
		"latency_ms", backlog.EstimatedLatency().Milliseconds(), "slots", backlog.Slots, "running", a.requestsAtHost(),
		"waiting_ahead", backlog.Busy - a.requestsAtHost(), "waiting", a.scheduler.queue.Len(), "late_considered", late,
	}
	if late {
		pairs = append(pairs,
			"late_latency_ms", a.scheduler.queue.LateLatency(now, route.Priority, backlog).Milliseconds(),
			"left_ms", (route.Timeout - p.OpeningAge).Milliseconds())
	}
	return pairs
}
