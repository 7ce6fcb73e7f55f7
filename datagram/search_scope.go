package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// isNamed reports whether the agent's host is of a service that is known to hold flows of
// the route.
func (a *Agent) isNamed(c *catalog.Catalog, scope steering.SearchScope, agent [4]byte) bool {
	service, known := a.serviceOf(c, agent)
	return known && scope.Names(service)
}

// serviceOf returns the service of an agent's host, which is listed, was removed recently
// or was announced as unlisted, and false if it is not known.
func (a *Agent) serviceOf(c *catalog.Catalog, agent [4]byte) (string, bool) {
	if h := c.Hosts[agent]; h != nil {
		return h.Service, true
	}
	if u, announced := a.announcements.received[agent]; announced {
		if s := c.ByTag[u.serviceTag]; s != nil {
			return s.Name, true
		}
	}
	for _, r := range c.Removed {
		if r.Agent == agent {
			return r.Service, true
		}
	}
	return "", false
}

// widen extends a search to the agents of all zones and to those of services that are not
// known to hold flows of the route.
func (a *Agent) widen(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, out Output) {
	s.widened = true
	a.query(now, c, key, s, a.candidateAgents(now, c, key), out)
}

// knowsNotHeld reports whether this agent, which does not know the flow, can tell that
// its host does not hold it: it has seen all flows of the host, or the host has returned
// a packet of this one.
func (a *Agent) knowsNotHeld(now time.Duration, key flow.Key) bool {
	t := a.trials[key]
	return !a.mayHaveUnknownFlows(now) || a.hostStartedWithAgent() || t != nil && t.returned
}

// answerProbe tells an agent that searched for a flow with the given trial that this
// agent's host holds it, unless it is told as a keeper.
func (a *Agent) answerProbe(trial *flow.Frame, key flow.Key, out Output) {
	c := a.config.Catalog()
	if trial.Kind != flow.Probe || trial.ReplyTo == a.config.Self.Addr || c == nil {
		return
	}
	if keepers := keepersOf(c, key.Hash()); trial.ReplyTo != keepers[0] && trial.ReplyTo != keepers[1] {
		a.sendOwned(a.endpoint(trial.ReplyTo), key, true, out)
	}
}
