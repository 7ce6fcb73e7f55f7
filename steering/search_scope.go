package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// removedHostSearchPeriod is how long searches still include the agents of removed
// hosts. A host that cannot reach the store may still be running. The catalog lists
// removed hosts for longer.
const removedHostSearchPeriod = 10 * time.Second

// SearchScope is what is known about where a flow may be that no keeper knows. After a
// restart of all processes every open flow is searched for at the same time, so that
// each agent that need not be asked counts.
type SearchScope struct {
	Destination flow.Endpoint
	// Route is the flow's route in the current configuration, or nil.
	Route *catalog.Route
	// ZoneTag is the availability zone that the requester's packets arrive in, or 0 if
	// it is not known.
	ZoneTag uint16
	// AnyService reports that services which the configuration no longer names may
	// hold flows of the route without being known to.
	AnyService bool
	// History holds the services that were found to hold flows.
	History *ServiceHistory
}

// Names reports whether the service is known to hold flows of the route: the
// configuration names it, or it was found to.
func (s SearchScope) Names(service string) bool {
	return s.Route != nil && s.Route.MayHoldFlows(service) || s.History.MayHoldFlows(s.Destination, catalog.Tag(service))
}

// IsLikely reports whether the host is in the requester's zone and its service is known
// to hold flows of the route. Such hosts hold most flows, and their agents can tell.
func (s SearchScope) IsLikely(h *catalog.Host) bool {
	return h != nil && s.ZoneTag != 0 && catalog.ZoneTag(h.Zone) == s.ZoneTag && s.Names(h.Service)
}

// MayHold reports whether hosts of the service may hold the flow, whether or not the
// service is known to.
func (s SearchScope) MayHold(service string) bool {
	return s.AnyService || s.Route == nil || s.Names(service)
}

// Candidates returns the agents of all listed and recently removed hosts that may hold
// the flow.
func (s SearchScope) Candidates(c *catalog.Catalog, now time.Duration) [][4]byte {
	var agents [][4]byte
	for _, agent := range c.Agents {
		if s.MayHold(c.Hosts[agent].Service) {
			agents = append(agents, agent)
		}
	}
	for _, r := range c.Removed {
		if c.Hosts[r.Agent] == nil && now-r.RemovedAt < removedHostSearchPeriod && s.MayHold(r.Service) {
			agents = append(agents, r.Agent)
		}
	}
	return agents
}
