package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// minFoundFlows is the number of flows of a route that an agent must have found to take the services that it knows for all that hold flows of the route. Each agent
// of a fleet searches for others, so that together they have found several times as many.
const minFoundFlows = 6

// minMissedFlows is the number of flows of a route that an agent must have missed for others to
// be told. The host of a single one may have ended just before the restart.
const minMissedFlows = 2

// RouteEvidence records, by the destination of a route, what searches for its flows have
// shown since the process started.
//
// Load pattern: all processes are killed and start again while the route has not moved for as
// long as flows live. In the recovery time packets are tried at all hosts, and each search
// finds its flow. If flows were at a service that nobody knows, some of these searches would
// have found none. It is not safe for concurrent use.
type RouteEvidence struct {
	routes map[flow.Endpoint]*routeSearches
}

// routeSearches holds the results of the searches for flows of one route.
type routeSearches struct {
	found int
	// missed holds the flows that were missed, at most minMissedFlows. isMissing reports that
	// so many were, here or at another agent.
	missed    map[flow.Key]bool
	isMissing bool
	updatedAt time.Duration
}

// NewRouteEvidence returns a record without searches.
func NewRouteEvidence() *RouteEvidence {
	return &RouteEvidence{routes: make(map[flow.Endpoint]*routeSearches)}
}

func (e *RouteEvidence) update(destination flow.Endpoint, now time.Duration) *routeSearches {
	r := e.routes[destination]
	if r == nil {
		r = &routeSearches{missed: make(map[flow.Key]bool)}
		e.routes[destination] = r
	}
	r.updatedAt = now
	return r
}

// RecordFound records that a search has found a flow of the route.
func (e *RouteEvidence) RecordFound(destination flow.Endpoint, now time.Duration) {
	e.update(destination, now).found++
}

// RecordMissed records that no host of a service that is known to hold flows of the route holds
// this one, and reports whether other agents are to be told.
func (e *RouteEvidence) RecordMissed(key flow.Key, now time.Duration) bool {
	r := e.update(key.Destination, now)
	if r.isMissing {
		return false
	}
	r.missed[key] = true
	r.isMissing = len(r.missed) >= minMissedFlows
	return r.isMissing
}

// RecordMissing records that another agent has missed flows of the route.
func (e *RouteEvidence) RecordMissing(destination flow.Endpoint, now time.Duration) {
	e.update(destination, now).isMissing = true
}

// AllServicesKnown reports whether the searches show that no other services hold flows of the
// route than those that are known to.
func (e *RouteEvidence) AllServicesKnown(destination flow.Endpoint) bool {
	r := e.routes[destination]
	return r != nil && r.found >= minFoundFlows && !r.isMissing
}

// Forget removes what is recorded of a route, once a further service is known to hold its flows.
func (e *RouteEvidence) Forget(destination flow.Endpoint) {
	delete(e.routes, destination)
}

// Expire removes the routes without a search in the lifetime of a flow.
func (e *RouteEvidence) Expire(lifetime, now time.Duration) {
	for destination, r := range e.routes {
		if now-r.updatedAt > lifetime {
			delete(e.routes, destination)
		}
	}
}
