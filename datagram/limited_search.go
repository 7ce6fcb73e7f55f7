package datagram

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// secondKeeperDelay is how much longer than the first keeper of a flow other agents count a trial.
// Otherwise both keepers would try a packet at the same moment, once an earlier trial no longer
// counts, before either has received the other's report.
const secondKeeperDelay = 250 * time.Millisecond

// trialReportPatience is how long a search with limited trials waits for agents to say
// whether others have tried packets of the flow at their hosts.
const trialReportPatience = 50 * time.Millisecond

// reportTrial sets in an answer what was tried of the flow at the host.
func (a *Agent) reportTrial(now time.Duration, answer *flow.Frame) {
	if t := a.trials[answer.Key]; t != nil {
		answer.TrialAgeMS = uint16(min(math.MaxUint16, (now - t.lastSentAt).Milliseconds()))
		answer.TrialPackets = uint8(min(math.MaxUint8, t.packets))
	}
}

// recordTrial records the trials at the host of an agent that the agent reports in its answer.
func (a *Agent) recordTrial(answer *flow.Frame, now time.Duration) {
	if answer.TrialPackets > 0 {
		a.budget(answer.Key).Report(answer.Sender, int(answer.TrialPackets), now-time.Duration(answer.TrialAgeMS)*time.Millisecond)
	}
}

// limitsTrials reports whether packets of an unknown flow may be tried at a few hosts only, since
// the flow may be at a host of a service that nobody knows to hold flows of its route. Flows of the
// route that were found are no evidence against that: those of a former service may pause. If the
// hosts of all services are known to hold flows of the route, the flow's own host is among those
// that are tried.
func (a *Agent) limitsTrials(now time.Duration, c *catalog.Catalog, key flow.Key) bool {
	return a.routeKnowledge(now, c).LimitsTrials() && (c == nil || a.mayBeAtOtherService(now, c, key))
}

// mayBeAtOtherService reports whether a running host may be of a service that is not known to hold
// flows of the route.
func (a *Agent) mayBeAtOtherService(now time.Duration, c *catalog.Catalog, key flow.Key) bool {
	if c.HasUndeclaredHosts || !a.hostListEvidence(now, c).Complete() {
		return true
	}
	scope := a.searchScope(now, c, key, 0)
	isOther := func(agent [4]byte) bool { return !a.isNamed(c, scope, agent) }
	for _, s := range c.Services {
		if len(s.Hosts) > 0 && !scope.Names(s.Name) {
			return true
		}
	}
	for _, r := range c.Removed {
		if c.Hosts[r.Agent] == nil && !scope.Names(r.Service) {
			return true
		}
	}
	return slices.ContainsFunc(slices.Collect(maps.Keys(a.announcements.received)), isOther)
}

// routeKnowledge returns what is known of the configurations that were in force while flows were
// opened.
func (a *Agent) routeKnowledge(now time.Duration, c *catalog.Catalog) steering.RouteKnowledge {
	known := time.Duration(0)
	if c != nil {
		known = now - c.ConfigsKnownSince
	}
	return steering.RouteKnowledge{
		KnownFor: known, RunningFor: now - a.config.ClockStart,
		FlowLifetime: a.config.FlowLifetime, RecoveryTime: a.config.RecoveryTime,
	}
}

// budget returns the trials of a flow. It adds an empty one if there is none.
func (a *Agent) budget(key flow.Key) *steering.TrialBudget {
	b := a.budgets[key]
	if b == nil {
		b = &steering.TrialBudget{}
		a.budgets[key] = b
	}
	return b
}

// trialsLeft returns how many packets of a flow may be tried while trials are limited.
func (a *Agent) trialsLeft(now time.Duration, c *catalog.Catalog, key flow.Key) int {
	if !a.routeKnowledge(now, c).KnowsTrials(a.config.StrayWindow) {
		return 0
	}
	window := a.config.StrayWindow
	if keepersOf(c, key.Hash())[0] != a.config.Self.Addr {
		window += secondKeeperDelay
	}
	return a.budget(key).Left(window, now)
}

// shareTrials tells the other keepers of a flow, while trials are limited, at which hosts its
// packets were tried. An agent that restarts forgets the trials at its host, and either keeper may
// go on with the search.
func (a *Agent) shareTrials(now time.Duration, c *catalog.Catalog, key flow.Key, out Output) {
	if a.limitsTrials(now, c, key) {
		keepers := keepersOf(c, key.Hash())
		a.sendTrials(now, key, slices.Compact(keepers[:]), out)
	}
}

// sendTrials tells agents at which hosts packets of a flow were tried.
func (a *Agent) sendTrials(now time.Duration, key flow.Key, to [][4]byte, out Output) {
	var trials []flow.Trial
	for _, t := range a.budget(key).Recent(a.config.StrayWindow, now) {
		trials = append(trials, flow.Trial{
			Agent: t.Agent, AgeMS: uint16(min(math.MaxUint16, t.Age.Milliseconds())), Packets: uint8(min(math.MaxUint8, t.Packets)),
		})
	}
	if len(trials) == 0 {
		return
	}
	f := a.newReport(flow.Tried, key)
	list := flow.AppendTrials(nil, trials[:min(flow.MaxTrials, len(trials))])
	for _, agent := range to {
		if agent != a.config.Self.Addr {
			out.ToNode(a.endpoint(agent), &f, list)
		}
	}
}

// handleTried records the trials that another agent reports.
func (a *Agent) handleTried(f *flow.Frame, list []byte, now time.Duration) {
	trials, ok := flow.ParseTrials(list)
	if !ok {
		a.config.Events.Drop(DropMalformed)
		return
	}
	b := a.budget(f.Key)
	for _, t := range trials {
		b.Report(t.Agent, int(t.Packets), now-time.Duration(t.AgeMS)*time.Millisecond)
	}
}

// probeLimited sends a packet of the flow to the next of the agents that may hold it, if the
// trials allow and the host of the last one has returned its packet. Both keepers of a flow may
// search for it, so it first waits for the agents that can tell of trials.
func (a *Agent) probeLimited(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, out Output) {
	window := a.config.StrayWindow
	if a.trialsLeft(now, c, key) == 0 {
		a.logLimit(now, c, key, s)
		return
	}
	if now-s.startedAt < trialReportPatience && a.awaitsTrialReport(now, c, key, s) {
		return
	}
	data := a.packetForTrial(s)
	if data == nil {
		return
	}
	agents, trials := a.trialOrder(now, c, key, s), a.budget(key)
	awaited := slices.ContainsFunc(agents, func(agent [4]byte) bool { return trials.Tried(agent, window, now) })
	if len(agents) > 0 && !awaited {
		a.probe(now, c, key, s, agents[0], data, out)
	}
}

// probeLikelyOwners sends a further packet of the flow to the agents that own it and, as far as
// the trials allow, to one whose host has not returned the last one. A host that does not hold
// the flow returns it soon, unless it is slow.
func (a *Agent) probeLikelyOwners(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, data []byte, out Output) {
	trials := a.budget(key)
	for _, agent := range slices.Collect(maps.Keys(s.mayHold)) {
		if s.owners[agent] || trials.IsUnreturned(agent, a.config.StrayWindow, now) && a.trialsLeft(now, c, key) > 0 {
			a.probe(now, c, key, s, agent, data, out)
		}
	}
}

// logLimit logs once that the hosts that were tried do not hold the flow and no further ones
// may be tried yet.
func (a *Agent) logLimit(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch) {
	trials := a.budget(key)
	for agent := range s.mayHold {
		if trials.Tried(agent, a.config.StrayWindow, now) {
			return
		}
	}
	if !s.limitLogged {
		s.limitLogged = true
		a.config.Events.Log(EventOwnerUndecided, key, "reason", "trials_limited", "left", len(s.pending),
			"known_ms", (now - c.ConfigsKnownSince).Milliseconds())
	}
}

// awaitsTrialReport reports whether an agent that can tell of a trial has yet to answer.
func (a *Agent) awaitsTrialReport(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch) bool {
	scope := a.searchScope(now, c, key, 0)
	for agent := range s.pending {
		if !s.mayHold[agent] && a.isNamed(c, scope, agent) && !a.liveness.hasEnded(c, agent, now) {
			return true
		}
	}
	return false
}

// packetForTrial returns the latest packet of the search that a host which holds the flow
// answers, or nil if there is none.
func (a *Agent) packetForTrial(s *ownerSearch) []byte {
	var p flow.Packet
	for _, data := range slices.Backward(s.packets) {
		if a.config.Codec.Decode(data, &p) && callsForAnswer(&p) {
			return data
		}
	}
	return nil
}

// trialOrder returns the agents that may hold the flow: first those that know so although
// this agent does not, then those of the requester's zone. Both keepers of a flow have the
// same order, and flows have different ones.
func (a *Agent) trialOrder(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch) [][4]byte {
	scope, hash := a.searchScope(now, c, key, s.frame.OriginZone), key.Hash()
	group := func(agent [4]byte) int {
		switch {
		case !a.isNamed(c, scope, agent):
			return 0
		case scope.IsLikely(c.Hosts[agent]):
			return 1
		default:
			return 2
		}
	}
	return slices.SortedFunc(maps.Keys(s.mayHold), func(x, y [4]byte) int {
		return cmp.Or(cmp.Compare(group(x), group(y)), cmp.Compare(steering.TrialRank(hash, x), steering.TrialRank(hash, y)))
	})
}
