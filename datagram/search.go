package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

const (
	// searchInterval is the time between two searches for one flow's owner.
	searchInterval = 300 * time.Millisecond
	// searchPackets bounds the packets of a flow that one search sends to all
	// agents: as many as a requester has in flight.
	searchPackets = 16
	// searchLinger is how long a search is remembered.
	searchLinger = 5 * time.Second
	// listingSettle is how long readings must have succeeded for the list of
	// hosts to be complete: descriptions that lapsed are back within 2 s.
	listingSettle = 2500 * time.Millisecond
	// listingAge is how old the list of hosts may be for a flow to be given up.
	listingAge = 1500 * time.Millisecond
	// removedLinger is how long the agents of removed hosts are asked: a host that
	// cannot reach the store may live.
	removedLinger = 10 * time.Second
)

// search is a question to all agents for the owner of a flow.
type search struct {
	at time.Duration
	// missing are the agents that have not answered.
	missing map[[4]byte]bool
	// packets counts the packets that were sent to all agents.
	packets int
	// packet is the header of the packet that was to be delivered.
	packet flow.Packet
}

// search asks all agents whose host may hold a flow, once neither keeper knows
// the owner. If all of them answer that it does not, the flow is dead.
func (a *Agent) search(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key, data []byte, out Output) {
	agents := a.mayHold(now, c, key)
	s := a.searches[key]
	a.noteUnsettled(now, c, key, s)
	switch {
	case s == nil || now-s.at >= searchInterval:
		s = &search{at: now, missing: make(map[[4]byte]bool)}
		if !a.config.Codec.Decode(data, &s.packet) {
			return
		}
		a.searches[key] = s
		for _, agent := range agents {
			s.missing[agent] = true
		}
		a.config.Events.Note(EventProbed, key, "agents", len(agents))
	case s.packets >= searchPackets:
		a.config.Events.Drop(DropNoOwner)
		return
	case !a.config.Codec.Decode(data, &s.packet):
		return
	}
	s.packets++
	probe := *f
	probe.Kind, probe.Asker = flow.Probe, a.config.Self.Addr
	for _, agent := range agents {
		if agent == a.config.Self.Addr {
			a.answerProbe(now, key, &probe, data, out)
			continue
		}
		if c.Hosts[agent] == nil {
			a.silences.ping(a.config.Self, agent, now, out)
		}
		out.ToNode(a.endpoint(agent), &probe, data)
	}
	if s.packets > 1 {
		a.conclude(now, key, s, out)
	}
}

// noteUnsettled logs which agent a search still waits for when its flow comes
// again.
func (a *Agent) noteUnsettled(now time.Duration, c *catalog.Catalog, key flow.Key, s *search) {
	if s == nil || now-s.at < silentAfter {
		return
	}
	if agent, waiting := a.awaited(now, c, s); waiting {
		a.config.Events.Note(EventUnsettled, key, "reason", "no_answer", "agent", flow.Endpoint{Addr: agent}.AddrPort().Addr(),
			"described", c.Hosts[agent] != nil, "left", len(s.missing), "age_ms", (now - s.at).Milliseconds())
	}
}

// awaited returns an agent that a search waits for, if there is one.
func (a *Agent) awaited(now time.Duration, c *catalog.Catalog, s *search) ([4]byte, bool) {
	for agent := range s.missing {
		if !a.silences.gone(c, agent, now) {
			return agent, true
		}
	}
	return [4]byte{}, false
}

// mayHold returns the agents of the hosts that the flow may have been sent to.
func (a *Agent) mayHold(now time.Duration, c *catalog.Catalog, key flow.Key) [][4]byte {
	route := c.Config.Routes[key.Service]
	// Versions before the first snapshot may have sent the flow anywhere.
	anywhere := route == nil || now-c.FirstPublishedAt < a.config.FlowLifetime
	listed := func(service string) bool { return anywhere || route.MayHoldFlows(service) }
	var agents [][4]byte
	for _, agent := range c.Agents {
		if listed(c.Hosts[agent].Service) {
			agents = append(agents, agent)
		}
	}
	for _, r := range c.Removed {
		if c.Hosts[r.Agent] == nil && now-r.RemovedAt < removedLinger && listed(r.Service) {
			agents = append(agents, r.Agent)
		}
	}
	return agents
}

// answerProbe tries a flow that is searched for at the host, or answers that
// the host does not hold it. An agent that can tell neither stays silent, so
// that the flow is not given up.
func (a *Agent) answerProbe(now time.Duration, key flow.Key, f *flow.Frame, data []byte, out Output) {
	if a.try(now, key, f, data, out) {
		return
	}
	if a.unsure(now) && !a.mayTry(f, key) && !a.hostIsYoung() {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	a.answerAbsent(now, f.Asker, key, out)
}

// answerAbsent tells the searching agent that the host does not hold a flow.
func (a *Agent) answerAbsent(now time.Duration, asker [4]byte, key flow.Key, out Output) {
	if asker == a.config.Self.Addr {
		a.absent(now, key, asker, out)
		return
	}
	f := a.report(flow.Absent, key)
	out.ToNode(a.endpoint(asker), &f, nil)
}

// absent notes an agent's answer.
func (a *Agent) absent(now time.Duration, key flow.Key, agent [4]byte, out Output) {
	if r := a.records[key]; r != nil && r.owner == agent {
		delete(a.records, key)
	}
	s := a.searches[key]
	if s == nil || !s.missing[agent] {
		return
	}
	delete(s.missing, agent)
	a.conclude(now, key, s, out)
}

// conclude tells the requester that its flow is gone once every agent has
// answered or ended, so that it need not wait for its timeout.
func (a *Agent) conclude(now time.Duration, key flow.Key, s *search, out Output) {
	c := a.config.Catalog()
	if c == nil || s.packet.Rst {
		return
	}
	if _, waiting := a.awaited(now, c, s); waiting {
		return
	}
	if !listingComplete(now, c) {
		a.config.Events.Note(EventUnsettled, key, "reason", "hosts_may_be_missing", "list_age_ms", (now - c.ConfirmedAt).Milliseconds(),
			"steady_ms", (now - c.HealthySince).Milliseconds())
		return
	}
	a.config.Events.Note(EventLost, key, "reason", "no_host_holds_flow", "list_age_ms", (now - c.ConfirmedAt).Milliseconds())
	reset(a.config.Codec, &s.packet, out)
}

// listingComplete reports whether every host that lives is described.
func listingComplete(now time.Duration, c *catalog.Catalog) bool {
	return now-c.HealthySince >= listingSettle && now-c.ConfirmedAt <= listingAge
}
