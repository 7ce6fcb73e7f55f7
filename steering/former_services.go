package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// routeService is a service that holds flows of a route.
type routeService struct {
	destination flow.Endpoint
	serviceTag  uint32
}

// ServiceHistory records which services were found to hold open flows of which
// routes. It answers the load after a restart of all processes: a route may have
// moved to another service before, and its open flows stayed at hosts of the former
// one, which the configuration no longer names. It is not safe for concurrent use.
type ServiceHistory struct {
	seenAt map[routeService]time.Duration
}

// NewServiceHistory returns an empty history.
func NewServiceHistory() *ServiceHistory {
	return &ServiceHistory{seenAt: make(map[routeService]time.Duration)}
}

// Observe records that a host of the service holds a flow of the route with the
// given destination.
func (h *ServiceHistory) Observe(destination flow.Endpoint, serviceTag uint32, now time.Duration) {
	h.seenAt[routeService{destination, serviceTag}] = now
}

// MayHoldFlows reports whether the service was found to hold flows of the route.
func (h *ServiceHistory) MayHoldFlows(destination flow.Endpoint, serviceTag uint32) bool {
	_, ok := h.seenAt[routeService{destination, serviceTag}]
	return ok
}

// Expire removes observations that are older than the lifetime of a flow.
func (h *ServiceHistory) Expire(lifetime, now time.Duration) {
	for key, at := range h.seenAt {
		if now-at > lifetime {
			delete(h.seenAt, key)
		}
	}
}
