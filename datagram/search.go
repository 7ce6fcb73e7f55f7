package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

const (
	// searchInterval is the minimum time between two searches for the owner of
	// one flow.
	searchInterval = 300 * time.Millisecond
	// maxSearchPackets limits the packets of a flow that one search sends to
	// all agents. It is the number of packets that a requester has in flight.
	maxSearchPackets = 16
	// searchRetention is how long the state of a search is retained.
	searchRetention = 5 * time.Second
	// removedHostSearchPeriod is how long searches still include the agents of
	// removed hosts. A host that cannot reach the store may still be running. The
	// catalog lists removed hosts for longer.
	removedHostSearchPeriod = 10 * time.Second
)

// ownerSearch is the state of a query to all agents for the owner of a flow.
type ownerSearch struct {
	startedAt time.Duration
	// pending holds the agents that have not answered, notHeld those that have
	// answered that their hosts do not hold the flow. A host cannot come to hold an
	// open flow later.
	pending, notHeld map[[4]byte]bool
	// packetsSent counts the packets that were sent to all agents.
	packetsSent int
	// lastPacket is the header of the latest packet that was sent.
	lastPacket flow.Packet
	// reset reports that the flow was reset after its last packet.
	reset bool
}

// search sends a packet to all agents whose hosts may hold its flow. It is
// used when neither keeper knows the owner. If all agents answer that their
// hosts do not hold the flow, the flow is lost.
func (a *Agent) search(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key, data []byte, out Output) {
	agents := a.candidateAgents(now, c, key)
	s := a.searches[key]
	a.logPendingAgent(now, c, key, s)
	switch {
	case s == nil || now-s.startedAt >= searchInterval:
		next := &ownerSearch{startedAt: now, pending: make(map[[4]byte]bool), notHeld: make(map[[4]byte]bool)}
		if !a.config.Codec.Decode(data, &next.lastPacket) {
			return
		}
		if s != nil {
			next.notHeld = s.notHeld
		}
		s = next
		a.searches[key] = s
		for _, agent := range agents {
			if !s.notHeld[agent] {
				s.pending[agent] = true
			}
		}
		a.config.Events.Log(EventSearchStarted, key, "agents", len(agents))
	case s.packetsSent >= maxSearchPackets:
		a.config.Events.Drop(DropNoOwner)
		return
	case !a.config.Codec.Decode(data, &s.lastPacket):
		return
	}
	s.packetsSent++
	s.reset = false
	probe := *f
	probe.Kind, probe.ReplyTo = flow.Probe, a.config.Self.Addr
	serviceTag := probe.ServiceTag
	for _, agent := range agents {
		if c.Hosts[agent] == nil && agent != a.config.Self.Addr {
			a.liveness.ping(a.config.Self, agent, now, out)
		}
		if s.notHeld[agent] {
			continue
		}
		probe.ServiceTag = a.probeServiceTag(c, agent, key, serviceTag)
		if agent == a.config.Self.Addr {
			a.handleProbe(now, key, &probe, data, out)
			continue
		}
		out.ToNode(a.endpoint(agent), &probe, data)
	}
	if s.packetsSent > 1 || len(s.pending) == 0 {
		a.resetIfNotHeld(now, key, s, out)
	}
}

// probeServiceTag returns the service that a probe of an agent is for: the service of
// the agent's host if that was found to hold flows of the route, so that the agent
// tries the packet at its host.
func (a *Agent) probeServiceTag(c *catalog.Catalog, agent [4]byte, key flow.Key, configured uint32) uint32 {
	if h := c.Hosts[agent]; h != nil {
		if tag := catalog.Tag(h.Service); a.serviceHistory.MayHoldFlows(key.Destination, tag) {
			return tag
		}
	}
	return configured
}

// logPendingAgent logs an agent that a search is still waiting for when another
// packet of the flow arrives.
func (a *Agent) logPendingAgent(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch) {
	if s == nil || now-s.startedAt < pingTimeout {
		return
	}
	if agent, waiting := a.pendingAgent(now, c, s); waiting {
		a.config.Events.Log(EventOwnerUndecided, key, "reason", "no_answer", "agent", flow.Endpoint{Addr: agent}.AddrPort().Addr(),
			"described", c.Hosts[agent] != nil, "left", len(s.pending), "age_ms", (now - s.startedAt).Milliseconds())
	}
}

// pendingAgent returns an agent that the search is still waiting for, and
// false if there is none.
func (a *Agent) pendingAgent(now time.Duration, c *catalog.Catalog, s *ownerSearch) ([4]byte, bool) {
	for agent := range s.pending {
		if !a.liveness.hasEnded(c, agent, now) {
			return agent, true
		}
	}
	return [4]byte{}, false
}

// candidateAgents returns the agents of all hosts that may hold the flow.
func (a *Agent) candidateAgents(now time.Duration, c *catalog.Catalog, key flow.Key) [][4]byte {
	route := c.Config.Routes[key.Destination]
	// Configurations before the process's first snapshot may have routed the
	// flow to any service.
	anyService := route == nil || now-c.FirstPublishedAt < a.config.FlowLifetime
	eligible := func(service string) bool { return anyService || route.MayHoldFlows(service) }
	var agents [][4]byte
	for _, agent := range c.Agents {
		if eligible(c.Hosts[agent].Service) {
			agents = append(agents, agent)
		}
	}
	for _, r := range c.Removed {
		if c.Hosts[r.Agent] == nil && now-r.RemovedAt < removedHostSearchPeriod && eligible(r.Service) {
			agents = append(agents, r.Agent)
		}
	}
	return a.appendUnlisted(agents, now, c, route)
}

// handleProbe sends a probed packet to the host, or answers that the host does
// not hold the flow. If the agent can do neither, it does not answer, so that
// the flow is not declared lost.
func (a *Agent) handleProbe(now time.Duration, key flow.Key, f *flow.Frame, data []byte, out Output) {
	if a.tryHost(now, key, f, data, out) {
		return
	}
	if a.mayHaveUnknownFlows(now) && !a.matchesService(f, key) && !a.hostStartedWithAgent() {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	a.sendNotHeld(now, f.ReplyTo, key, out)
}

// sendNotHeld reports to the searching agent that the host does not hold a
// flow.
func (a *Agent) sendNotHeld(now time.Duration, replyTo [4]byte, key flow.Key, out Output) {
	if replyTo == a.config.Self.Addr {
		a.handleNotHeld(now, key, replyTo, out)
		return
	}
	f := a.newReport(flow.NotHeld, key)
	out.ToNode(a.endpoint(replyTo), &f, nil)
}

// handleNotHeld records that an agent's host does not hold a flow.
func (a *Agent) handleNotHeld(now time.Duration, key flow.Key, agent [4]byte, out Output) {
	if r := a.records[key]; r != nil && r.owner == agent {
		delete(a.records, key)
	}
	s := a.searches[key]
	if s == nil || !s.pending[agent] {
		return
	}
	delete(s.pending, agent)
	s.notHeld[agent] = true
	a.resetIfNotHeld(now, key, s, out)
}

// resetIfNotHeld resets the requester's flow once every agent has answered or
// ended, so that the requester does not have to wait for its timeout. Nothing
// is reset while the host list may be incomplete.
func (a *Agent) resetIfNotHeld(now time.Duration, key flow.Key, s *ownerSearch, out Output) {
	c := a.config.Catalog()
	if c == nil || s.lastPacket.Rst {
		return
	}
	if _, waiting := a.pendingAgent(now, c, s); waiting {
		return
	}
	if !a.hostListEvidence(now, c).Complete() {
		a.config.Events.Log(EventOwnerUndecided, key, "reason", "hosts_may_be_missing", "list_age_ms", (now - c.ConfirmedAt).Milliseconds(),
			"steady_ms", (now - c.HealthySince).Milliseconds())
		return
	}
	a.config.Events.Log(EventLost, key, "reason", "no_host_holds_flow", "list_age_ms", (now - c.ConfirmedAt).Milliseconds())
	s.reset = true
	reset(a.config.Codec, &s.lastPacket, out)
}
