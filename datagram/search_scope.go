package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// namedAnswerTimeout is how long an agent of a service that is known to hold flows of
	// the route may leave a search unanswered before others are asked as well. It is the
	// time between a requester's first and second retransmission.
	namedAnswerTimeout = 400 * time.Millisecond
	// namedTrialTimeout is how long such an agent may take to find out whether its host
	// holds the flow. A host that holds it may leave a request unacknowledged while it is
	// queued and served, and must not make the search ask others; a host that does not
	// returns the packet at once, unless it is paused.
	namedTrialTimeout = time.Second
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

// widen extends a search to the agents of all zones or, if these were asked, to those of
// services that are not known to hold flows of the route.
//
// Load pattern: a route moves to another service, and all processes restart, so that none
// knows that open flows of the route stayed at hosts of the former one. A host that does
// not hold a flow must get few of its packets, so the hosts of the route's own services
// come first.
func (a *Agent) widen(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, out Output) {
	s.widened, s.extended = true, s.widened
	a.query(now, c, key, s, a.candidateAgents(now, c, key), out)
}

// canExtend reports whether the agents of services that are known to hold flows of the
// route have all answered that their hosts do not hold this one, or cannot be asked. That
// they leave the search unanswered counts only when a further packet arrives, which shows
// that the requester still waits.
func (a *Agent) canExtend(now time.Duration, c *catalog.Catalog, s *ownerSearch) bool {
	for agent := range s.pending {
		limit := namedAnswerTimeout
		if s.mayHold[agent] {
			limit = namedTrialTimeout
		}
		if !a.liveness.hasEnded(c, agent, now) && now-s.firstStartedAt < limit {
			return false
		}
	}
	return true
}

// probeOnce sends the search's trial packet to an agent whose host is not known to be of a
// service that holds flows of the route, unless the agent has got it.
func (a *Agent) probeOnce(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, agent [4]byte, out Output) {
	if s.trialPacket == nil || s.triedElsewhere[agent] {
		return
	}
	if s.triedElsewhere == nil {
		s.triedElsewhere = make(map[[4]byte]bool)
	}
	s.triedElsewhere[agent] = true
	a.probe(now, c, key, s, agent, s.trialPacket, out)
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
