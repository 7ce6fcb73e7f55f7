package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// minFoundFlows is the number of flows of a route that an agent must have found, and none
// missed, to take the services that it knows for all that hold flows of the route. Each agent
// of a fleet searches for others, so that together they have found several times as many.
const minFoundFlows = 6

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
	found     int
	missing   bool
	updatedAt time.Duration
}

// NewRouteEvidence returns a record without searches.
func NewRouteEvidence() *RouteEvidence {
	return &RouteEvidence{routes: make(map[flow.Endpoint]*routeSearches)}
}

func (e *RouteEvidence) update(destination flow.Endpoint, now time.Duration) *routeSearches {
	r := e.routes[destination]
	if r == nil {
		r = &routeSearches{}
		e.routes[destination] = r
	}
	r.updatedAt = now
	return r
}

// RecordFound records that a search has found a flow of the route.
func (e *RouteEvidence) RecordFound(destination flow.Endpoint, now time.Duration) {
	e.update(destination, now).found++
}

// RecordMissing records that no host of a service that is known to hold flows of the route
// holds one of them, and reports whether that is news.
func (e *RouteEvidence) RecordMissing(destination flow.Endpoint, now time.Duration) bool {
	r := e.update(destination, now)
	isNew := !r.missing
	r.missing = true
	return isNew
}

// AllServicesKnown reports whether the searches show that no other services hold flows of the
// route than those that are known to.
func (e *RouteEvidence) AllServicesKnown(destination flow.Endpoint) bool {
	r := e.routes[destination]
	return r != nil && r.found >= minFoundFlows && !r.missing
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
