package datagram

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// searchInterval is the minimum time between two searches for the owner of
	// one flow.
	searchInterval = 300 * time.Millisecond
	// maxSearchPackets limits the packets of a flow that one search sends to
	// agents. It is the number of packets that a requester has in flight.
	maxSearchPackets = 16
	// maxSearches limits the concurrent searches of an agent, and maxBufferedPackets
	// about how many packets they hold together, about 10 MB. Packets with invented
	// addresses would otherwise exhaust the memory.
	maxSearches        = 8192
	maxBufferedPackets = 8192
	// searchWidenAfter is how long a search waits for the agents of the requester's
	// zone before it asks those of other zones.
	searchWidenAfter = 150 * time.Millisecond
	// searchRetention is how long the state of a search is retained.
	searchRetention = 5 * time.Second
)

// ownerSearch is the state of a search for the owner of a flow.
type ownerSearch struct {
	startedAt time.Duration
	// frame is the frame of the Probes, for the service that the route names.
	frame flow.Frame
	// packets holds the packets of the flow that arrived during the search.
	packets [][]byte
	// pending holds the agents that were asked and have not answered whether their
	// hosts hold the flow, mayHold those of them that need its packets to find out.
	// notHeld holds the agents whose hosts do not hold the flow. A host cannot come
	// to hold an open flow later.
	pending, mayHold, notHeld map[[4]byte]bool
	// owners holds the agents that have answered that they own the flow.
	owners map[[4]byte]bool
	// limitLogged reports that the end of the trials was logged (see Agent.logLimit).
	limitLogged bool
	// widened reports that the agents of all zones were asked, and those of services that
	// are not known to hold flows of the route, not only the likely ones of the zone that
	// the requester's packets arrive in.
	widened bool
	// delayed is how long the search's questions have waited at most to be sent together
	// with others.
	delayed time.Duration
	// lastPacket is the header of the latest packet, which arrived at lastPacketAt.
	lastPacket   flow.Packet
	lastPacketAt time.Duration
	// reset reports that the flow was reset after its last packet.
	reset bool
}

// search looks for the owner of a flow that neither keeper knows. It asks the agents
// whose hosts may hold the flow, first those of the requester's zone, where most of
// its flows are, and sends the packet to those that need it to find out. An agent of a
// service that is not known to hold flows of the route is asked, but gets no packet
// unless it answers that its host may hold the flow. If all agents answer that their
// hosts do not hold the flow, the flow is lost.
func (a *Agent) search(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key, data []byte, out Output) {
	var p flow.Packet
	if !a.config.Codec.Decode(data, &p) {
		return
	}
	s := a.searches[key]
	a.logPendingAgent(now, c, key, s)
	if s == nil && len(a.searches) >= maxSearches {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	started := s == nil || now-s.startedAt >= searchInterval
	if started {
		s = newOwnerSearch(now, s)
		a.searches[key] = s
	}
	if len(s.packets) >= a.maxPacketsPerSearch() {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	s.lastPacket, s.lastPacketAt, s.reset = p, now, false
	s.packets = append(s.packets, slices.Clone(data))
	s.frame = *f
	s.frame.Kind, s.frame.ReplyTo = flow.Probe, a.config.Self.Addr
	agents := a.candidateAgents(now, c, key)
	a.pingUnlisted(now, c, agents, out)
	if started {
		a.requestConfirmation(now)
		a.config.Events.Log(EventSearchStarted, key, "agents", len(agents), "not_held", len(s.notHeld), "limited", a.limitsTrials(now, c, key))
		a.query(now, c, key, s, agents, out)
		return
	}
	a.probeAgain(now, c, key, s, data, out)
	a.resetIfNotHeld(now, key, s, out)
}

// newOwnerSearch returns the state of a search that begins anew after an earlier one
// for the same flow, which may be nil.
func newOwnerSearch(now time.Duration, previous *ownerSearch) *ownerSearch {
	s := &ownerSearch{
		startedAt: now, pending: make(map[[4]byte]bool), mayHold: make(map[[4]byte]bool), notHeld: make(map[[4]byte]bool),
		owners: make(map[[4]byte]bool),
	}
	if previous != nil {
		s.notHeld, s.widened, s.limitLogged = previous.notHeld, previous.widened, previous.limitLogged
	}
	return s
}

// maxPacketsPerSearch returns how many packets of its flow a search may hold.
func (a *Agent) maxPacketsPerSearch() int {
	return min(maxSearchPackets, max(1, maxBufferedPackets/len(a.searches)))
}

// pingUnlisted pings the agents of hosts that are not listed, which may have ended.
func (a *Agent) pingUnlisted(now time.Duration, c *catalog.Catalog, agents [][4]byte, out Output) {
	for _, agent := range agents {
		if c.Hosts[agent] == nil && agent != a.config.Self.Addr {
			a.liveness.ping(a.config.Self, agent, now, out)
		}
	}
}

// query asks agents whether their hosts may hold the flow: first those of the
// requester's zone whose services are known to hold flows of the route or, if there
// are none or the search was widened, all of them. An agent of another service may be
// unable to answer.
func (a *Agent) query(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, agents [][4]byte, out Output) {
	var chosen [][4]byte
	scope := a.searchScope(now, c, key, s.frame.OriginZone)
	for _, agent := range agents {
		if s.notHeld[agent] || s.pending[agent] {
			continue
		}
		if s.widened || scope.IsLikely(c.Hosts[agent]) {
			chosen = append(chosen, agent)
		}
	}
	if len(chosen) == 0 && !s.widened {
		s.widened = true
		a.query(now, c, key, s, agents, out)
		return
	}
	for _, agent := range chosen {
		s.pending[agent] = true
	}
	var delay time.Duration
	for _, agent := range chosen {
		serviceTag := a.queryServiceTag(c, scope, agent, s.frame.ServiceTag)
		if agent == a.config.Self.Addr {
			q := a.newReport(flow.Query, key)
			q.ServiceTag = serviceTag
			a.answerQuery(now, &q, out)
			continue
		}
		delay = max(delay, a.ask(now, key, s, agent, serviceTag, out))
	}
	s.delayed += delay
	if a.questions.batcher.Full() {
		a.sendQuestions(now, out)
	}
	if s.widened {
		// The agents that were asked may all have ended.
		a.resetIfNotHeld(now, key, s, out)
	}
}

// answerQuery tells the searching agent whether the host may hold the flow. If the
// agent cannot find out, it does not answer, so that the flow is not declared lost.
func (a *Agent) answerQuery(now time.Duration, f *flow.Frame, out Output) {
	switch a.answerTo(now, f, f.Key) {
	case flow.NotHeld:
		a.sendNotHeld(now, f.Sender, f.Key, out)
	case flow.MayHold:
		a.sendMayHold(now, f.Sender, f.Key, out)
	}
}

// answerTo returns the kind of the answer to a query for a flow, or 0 if the agent cannot
// find out whether its host holds it.
func (a *Agent) answerTo(now time.Duration, f *flow.Frame, key flow.Key) flow.Kind {
	switch {
	case a.flows[key] != nil:
		return flow.MayHold
	case a.knowsNotHeld(now, key):
		return flow.NotHeld
	case !a.isAddressed(f, key):
		a.config.Events.Drop(DropNoOwner)
		return 0
	}
	return flow.MayHold
}

// sendMayHold tells the searching agent that the host may hold the flow.
func (a *Agent) sendMayHold(now time.Duration, searcher [4]byte, key flow.Key, out Output) {
	answer := a.newReport(flow.MayHold, key)
	fl := a.flows[key]
	answer.Established = fl != nil && fl.state != flowOpening
	a.reportTrial(now, &answer)
	if searcher == a.config.Self.Addr {
		a.handleMayHold(now, &answer, out)
		return
	}
	out.ToNode(a.endpoint(searcher), &answer, nil)
}

// handleMayHold sends the packets of a flow to an agent that needs them to find out
// whether its host holds the flow, unless the trials are limited.
func (a *Agent) handleMayHold(now time.Duration, f *flow.Frame, out Output) {
	key, agent := f.Key, f.Sender
	s, c := a.searches[key], a.config.Catalog()
	if s == nil || c == nil || !s.pending[agent] || s.mayHold[agent] {
		return
	}
	a.recordTrial(f, now)
	s.mayHold[agent], s.owners[agent] = true, f.Established
	if a.limitsTrials(now, c, key) && !f.Established {
		if data := a.packetForTrial(s); data != nil {
			a.probeLikelyOwners(now, c, key, s, data, out)
		}
		a.probeLimited(now, c, key, s, out)
		return
	}
	a.probeUntried(now, c, key, s, agent, out)
}

// probeUntried sends the packets of the flow to an agent and, if the trials were limited until now,
// to the others that may hold it, so that the flow's own host is among those that are tried.
func (a *Agent) probeUntried(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, agent [4]byte, out Output) {
	trials := a.budget(key)
	for _, other := range slices.Collect(maps.Keys(s.mayHold)) {
		if other != agent && trials.Tried(other, a.config.StrayWindow, now) {
			continue
		}
		for _, data := range s.packets {
			a.probe(now, c, key, s, other, data, out)
		}
	}
}

// probeAgain sends a further packet of the flow to the agents that need the flow's
// packets, and to those that have left the query unanswered and whose services are known
// to hold flows of the route.
func (a *Agent) probeAgain(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, data []byte, out Output) {
	if a.limitsTrials(now, c, key) {
		a.probeLikelyOwners(now, c, key, s, data, out)
		a.probeLimited(now, c, key, s, out)
		return
	}
	overdue := now-s.startedAt >= lookupTimeout
	scope := a.searchScope(now, c, key, 0)
	for _, agent := range slices.Collect(maps.Keys(s.pending)) {
		if s.mayHold[agent] || overdue && a.isNamed(c, scope, agent) {
			a.probe(now, c, key, s, agent, data, out)
		}
	}
}

// probe sends a packet of the flow to an agent, so that it is tried at its host.
func (a *Agent) probe(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, agent [4]byte, data []byte, out Output) {
	a.budget(key).Record(agent, a.config.StrayWindow, now)
	a.shareTrials(now, c, key, out)
	f := s.frame
	f.ServiceTag = a.probeServiceTag(c, a.searchScope(now, c, key, 0), agent, f.ServiceTag)
	if agent != a.config.Self.Addr {
		out.ToNode(a.endpoint(agent), &f, data)
		return
	}
	if a.config.Codec.Decode(data, &a.packet) {
		a.handleProbe(now, key, &f, data, out)
	}
}

// probeServiceTag returns the service that a query or probe of an agent is for: that of
// the agent's host if it is known to hold flows of the route, so that the agent tries the
// packet there even if it does not know so itself, and the given one otherwise.
func (a *Agent) probeServiceTag(c *catalog.Catalog, scope steering.SearchScope, agent [4]byte, configured uint32) uint32 {
	if service, known := a.serviceOf(c, agent); known && scope.Names(service) {
		return catalog.Tag(service)
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
	scope := a.searchScope(now, c, key, 0)
	return a.appendUnlisted(scope.Candidates(c, now), now, c, scope)
}

// searchScope returns what is known about where the flow may be.
func (a *Agent) searchScope(now time.Duration, c *catalog.Catalog, key flow.Key, zoneTag uint16) steering.SearchScope {
	return steering.SearchScope{
		Destination: key.Destination, Route: c.Config.Routes[key.Destination], ZoneTag: zoneTag,
		// Configurations before the process's first snapshot, or that it has missed, may
		// have routed the flow to any service.
		AnyService: now-max(c.FirstPublishedAt, c.ConfigsKnownSince) < a.config.FlowLifetime, History: a.serviceHistory,
	}
}

// handleProbe sends a probed packet to the host, or answers that the host does
// not hold the flow. If the agent can do neither, it does not answer, so that
// the flow is not declared lost.
func (a *Agent) handleProbe(now time.Duration, key flow.Key, f *flow.Frame, data []byte, out Output) {
	if a.tryHost(now, key, f, data, out) {
		return
	}
	if !a.knowsNotHeld(now, key) && !a.isAddressed(f, key) {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	a.sendNotHeld(now, f.ReplyTo, key, out)
}

// sendNotHeld reports to the searching agent that the host does not hold a
// flow.
func (a *Agent) sendNotHeld(now time.Duration, replyTo [4]byte, key flow.Key, out Output) {
	f := a.newReport(flow.NotHeld, key)
	a.reportTrial(now, &f)
	if replyTo == a.config.Self.Addr {
		a.handleNotHeld(now, &f, out)
		return
	}
	out.ToNode(a.endpoint(replyTo), &f, nil)
}

// handleNotHeld records that an agent's host does not hold a flow.
func (a *Agent) handleNotHeld(now time.Duration, f *flow.Frame, out Output) {
	key, agent := f.Key, f.Sender
	if r := a.records[key]; r != nil && r.owner == agent {
		delete(a.records, key)
	}
	s := a.searches[key]
	if s == nil || !s.pending[agent] {
		return
	}
	a.recordTrial(f, now)
	delete(s.pending, agent)
	delete(s.mayHold, agent)
	s.notHeld[agent] = true
	c := a.config.Catalog()
	if c != nil && a.limitsTrials(now, c, key) {
		a.probeLimited(now, c, key, s, out)
	}
	a.resetIfNotHeld(now, key, s, out)
}

// askMissing asks the agents that have become known since the search asked, such as those
// that have announced that their hosts are not listed. It reports false if there are none.
func (a *Agent) askMissing(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, out Output) bool {
	agents := a.candidateAgents(now, c, key)
	isKnown := func(agent [4]byte) bool {
		return s.notHeld[agent] || s.pending[agent] || a.liveness.hasEnded(c, agent, now)
	}
	missing := slices.DeleteFunc(agents, isKnown)
	if len(missing) == 0 {
		return false
	}
	a.pingUnlisted(now, c, missing, out)
	a.query(now, c, key, s, missing, out)
	return true
}

// resetIfNotHeld resets the requester's flow once every agent has answered or
// ended, so that the requester does not have to wait for its timeout. Nothing
// is reset while the host list may be incomplete: the host of a flow that was
// open when its packet arrived was listed by then.
func (a *Agent) resetIfNotHeld(now time.Duration, key flow.Key, s *ownerSearch, out Output) {
	c := a.config.Catalog()
	if c == nil || s.reset || s.lastPacket.Rst {
		return
	}
	if _, waiting := a.pendingAgent(now, c, s); waiting {
		return
	}
	if !s.widened {
		a.widen(now, c, key, s, out)
		return
	}
	if !a.hostListEvidence(now, c).Complete() {
		a.config.Events.Log(EventOwnerUndecided, key, "reason", "hosts_may_be_missing", "list_age_ms", (now - c.ConfirmedAt).Milliseconds(),
			"steady_ms", (now - c.HealthySince).Milliseconds())
		return
	}
	if !a.isListCompleteAsOf(c, s.lastPacketAt) {
		a.config.Events.Log(EventOwnerUndecided, key, "reason", "list_unconfirmed", "list_age_ms", (now - c.ConfirmedAt).Milliseconds(),
			"revision", c.Revision)
		return
	}
	if a.askMissing(now, c, key, s, out) {
		return
	}
	a.config.Events.Log(EventLost, key, "reason", "no_host_holds_flow", "list_age_ms", (now - c.ConfirmedAt).Milliseconds(),
		"revision", c.Revision)
	s.reset, a.lostAt = true, now
	reset(a.config.Codec, &s.lastPacket, out)
}
