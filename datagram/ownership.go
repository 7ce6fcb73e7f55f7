package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// mayHaveUnknownFlows reports whether the host may hold flows that this agent
// does not know, because the agent restarted less than a flow lifetime ago.
func (a *Agent) mayHaveUnknownFlows(now time.Duration) bool {
	return a.config.Restarted && now-a.config.ClockStart <= a.config.FlowLifetime
}

// hostStartedWithAgent reports whether the host started together with the
// agent or later, so that the agent has seen all its flows. Both start times
// are from the clock of the same machine. That of an unlisted host is not known.
func (a *Agent) hostStartedWithAgent() bool {
	if a.config.HostWasDown != nil && a.config.HostWasDown() {
		return true
	}
	c := a.config.Catalog()
	if c == nil {
		return false
	}
	host := c.Hosts[a.config.Self.Addr]
	return host != nil && host.StartUnixMilli >= a.config.StartedAt.Add(-maxStartSkew).UnixMilli()
}

// isAddressed reports whether a packet of an unknown flow may be meant for this
// agent's host: its sender names the host's service, or took this agent for the
// flow's owner, or the service is known to hold flows of the route. A search names
// the host's service only if the searching agent knows that it holds such flows.
func (a *Agent) isAddressed(f *flow.Frame, key flow.Key) bool {
	return f.ServiceTag == a.tag || f.Kind == flow.Deliver || a.isOwnService(f, key)
}

// isOwnService reports whether the host's service is known to hold flows of the
// packet's route, or this agent's configuration is too old to tell and the sender
// names the service.
func (a *Agent) isOwnService(f *flow.Frame, key flow.Key) bool {
	c := a.config.Catalog()
	if c == nil || f.ConfigVersion > c.Config.Version {
		return f.ServiceTag == a.tag
	}
	route := c.Config.Routes[key.Destination]
	return route != nil && route.MayHoldFlows(a.config.Service) || a.serviceHistory.MayHoldFlows(key.Destination, a.tag)
}

// tryHost sends the host a packet of a flow that the agent does not know, to
// find out whether the host holds it: the host returns packets of flows that
// it does not hold. This is done only while the host may hold flows from
// before the agent's start. It reports false if the packet cannot be tried or
// the host is known not to hold the flow.
func (a *Agent) tryHost(now time.Duration, key flow.Key, f *flow.Frame, data []byte, out Output) bool {
	if !a.mayHaveUnknownFlows(now) || !a.isAddressed(f, key) || a.hostStopped(now) {
		return false
	}
	t := a.trials[key]
	if t != nil && t.packets >= steering.MaxStrayTrials && now-t.lastSentAt < a.config.StrayWindow && a.limitsTrials(now, a.config.Catalog(), key) {
		// Its host is slow to return the packets, or answers them soon.
		return !t.returned
	}
	if !a.isOwnService(f, key) {
		return a.tryOtherService(now, key, t, f, data, out)
	}
	switch {
	case t == nil:
		t = &trialDelivery{frame: *f, firstSentAt: now, count: 1}
		a.trials[key] = t
	case t.returned:
		return false
	case now-t.firstSentAt > steering.TrialReturnTimeout:
		// The host did not return the last packets: it holds the flow or is
		// down.
		t.frame, t.firstSentAt, t.count = *f, now, 1
	case t.count >= maxTrialPackets:
		return true
	default:
		t.frame = *f
		t.count++
	}
	t.recordPacket(now, a.config.StrayWindow)
	a.sendToHost(now, data, out)
	return true
}

// recordPacket records that a packet was sent to the host.
func (t *trialDelivery) recordPacket(now, window time.Duration) {
	if now-t.lastSentAt >= window {
		t.packets = 0
	}
	t.lastSentAt = now
	t.packets++
}

// tryOtherService is tryHost for a route that this agent does not know to have flows at
// hosts of this service, for a packet whose sender took this agent for the flow's owner or
// knows more of the route. The host gets one packet of the flow. Packets that it would
// leave unanswered if it held the flow are not tried, since nothing would follow from them.
func (a *Agent) tryOtherService(now time.Duration, key flow.Key, t *trialDelivery, f *flow.Frame, data []byte, out Output) bool {
	switch {
	case a.hostStartedWithAgent() || t != nil && t.returned:
		return false
	case t != nil:
		t.frame = *f
		a.config.Events.Drop(DropNoOwner)
		return true
	case !callsForAnswer(&a.packet):
		a.config.Events.Drop(DropNoOwner)
		return true
	}
	t = &trialDelivery{frame: *f, firstSentAt: now, count: 1}
	t.recordPacket(now, a.config.StrayWindow)
	a.trials[key] = t
	a.sendToHost(now, data, out)
	return true
}

// callsForAnswer reports whether a host that holds the packet's flow answers the
// packet.
func callsForAnswer(p *flow.Packet) bool {
	return p.Size > 0 || p.Fin
}

// adopt registers a flow that the host has held since before the agent's
// start, as a packet from the host shows.
func (a *Agent) adopt(now time.Duration, key flow.Key, p *flow.Packet, origin flow.Endpoint, out Output) *ownedFlow {
	// The host has received the data that it acknowledges, so copies of it begin no
	// request.
	fl := &ownedFlow{
		state: flowEstablished, origin: origin, lastSeenAt: now, acceptedAt: now,
		received: receivedData{end: p.AckSeq, known: p.Ack},
	}
	a.flows[key] = fl
	a.openFlows++
	delete(a.searches, key)
	a.config.Events.Log(EventAdopted, key, "entry", origin.AddrPort().Addr())
	isNew := a.observeService(key.Destination, a.tag, now)
	a.announce(key, origin, true, out)
	if isNew {
		// All agents search for flows of the route and have yet to learn of the service.
		a.announceToAll(key, out)
	}
	return fl
}

// observeService records that hosts of a service hold flows of a route that is not
// configured for the service, and reports whether that was not known.
func (a *Agent) observeService(destination flow.Endpoint, serviceTag uint32, now time.Duration) bool {
	c := a.config.Catalog()
	if c == nil {
		return false
	}
	route, service := c.Config.Routes[destination], c.ByTag[serviceTag]
	if route == nil || service == nil || route.MayHoldFlows(service.Name) {
		return false
	}
	isNew := !a.serviceHistory.MayHoldFlows(destination, serviceTag)
	a.serviceHistory.Observe(destination, serviceTag, now)
	return isNew
}

// forwardToOwner forwards a packet to the owner of its flow, another agent. If
// the owner is not recorded here, it asks the keepers and finally all agents.
func (a *Agent) forwardToOwner(now time.Duration, f *flow.Frame, key flow.Key, data []byte, out Output) {
	next := *f
	next.Hops++
	c := a.config.Catalog()
	if c == nil || next.Hops > maxHops {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	self := a.config.Self
	if r := a.records[key]; r != nil && r.owner != self.Addr && !f.Avoids(r.owner) {
		if c.Hosts[r.owner] == nil || a.liveness.hasEnded(c, r.owner, now) {
			a.probeOwnerOrSearch(now, c, r, &next, key, data, out)
			return
		}
		next.Kind, next.ServiceTag = flow.Deliver, r.serviceTag
		next.AddAvoid(self.Addr)
		out.ToNode(a.endpoint(r.owner), &next, data)
		return
	}
	first, second, _ := steering.Keepers(c, key.Hash())
	next.AddAvoid(self.Addr)
	if a.lookups.countUnanswered(key, now) > 0 {
		first, second = self.Addr, self.Addr
	}
	for _, keeper := range [2][4]byte{first, second} {
		if keeper != self.Addr && !next.Avoids(keeper) {
			next.Kind = flow.Lookup
			out.ToNode(a.endpoint(keeper), &next, data)
			return
		}
	}
	a.search(now, c, &next, key, data, out)
}

// probeOwnerOrSearch handles a packet whose recorded owner may have ended,
// because the owner's host is not listed or its agent reported the end. Once
// the owner has ended, it starts a search. Until then it pings the owner and
// sends it the packet as a Probe rather than a Deliver, so that the owner
// answers whether its host holds the flow. If the host does not, the answer
// removes the record, and later packets lead to a search.
func (a *Agent) probeOwnerOrSearch(now time.Duration, c *catalog.Catalog, r *ownerRecord, f *flow.Frame, key flow.Key, data []byte, out Output) {
	if a.liveness.hasEnded(c, r.owner, now) {
		a.search(now, c, f, key, data, out)
		return
	}
	a.liveness.ping(a.config.Self, r.owner, now, out)
	f.Kind, f.ReplyTo, f.ServiceTag = flow.Probe, a.config.Self.Addr, r.serviceTag
	out.ToNode(a.endpoint(r.owner), f, data)
}
