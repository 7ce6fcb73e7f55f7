package datagram

import (
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// announce reports to the entry and to the keepers of a flow that this agent
// owns it.
func (a *Agent) announce(key flow.Key, origin flow.Endpoint, established bool, out Output) {
	if origin != (flow.Endpoint{}) {
		a.sendOwned(origin, key, established, out)
	}
	c := a.config.Catalog()
	if c == nil {
		return
	}
	first, second, ok := steering.Keepers(c, key.Hash())
	if !ok {
		return
	}
	a.sendOwnedToKeeper(first, key, established, out)
	if second != first {
		a.sendOwnedToKeeper(second, key, established, out)
	}
}

// sendOwnedToKeeper reports to a keeper that this agent owns the flow, unless
// the agent itself is that keeper.
func (a *Agent) sendOwnedToKeeper(keeper [4]byte, key flow.Key, established bool, out Output) {
	if keeper != a.config.Self.Addr {
		a.sendOwned(a.endpoint(keeper), key, established, out)
	}
}

// announceToAll reports to all other agents that this agent owns the flow.
func (a *Agent) announceToAll(key flow.Key, out Output) {
	c := a.config.Catalog()
	if c == nil {
		return
	}
	for _, agent := range c.Agents {
		if agent != a.config.Self.Addr {
			a.sendOwned(a.endpoint(agent), key, true, out)
		}
	}
}

// Start tells all other agents that this one has started, so that they resend
// the records it is to keep.
func (a *Agent) Start(c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broadcast(c, flow.AgentStarted, out)
}

// AgentsListed tells the agents that are listed in a catalog and were not in the previous one
// that this agent has started, if it may lack records of their flows: their hosts may have been
// unknown when it started.
func (a *Agent) AgentsListed(now time.Duration, old, c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.mayHaveUnknownFlows(now) {
		return
	}
	f := a.newReport(flow.AgentStarted, flow.Key{})
	for _, agent := range c.Agents {
		if old.Hosts[agent] == nil && agent != a.config.Self.Addr {
			out.ToNode(a.endpoint(agent), &f, nil)
		}
	}
}

// broadcast sends a report of the given kind to all other agents.
func (a *Agent) broadcast(c *catalog.Catalog, kind flow.Kind, out Output) {
	f := a.newReport(kind, flow.Key{})
	for _, agent := range c.Agents {
		if agent != a.config.Self.Addr {
			out.ToNode(a.endpoint(agent), &f, nil)
		}
	}
}

// resendOwned announces to a keeper that has just started the flows that it is
// to record. A closed flow is announced as established, so that a report on an
// accepted duplicate of its opening does not replace its record, and late
// packets reach its host.
func (a *Agent) resendOwned(keeper [4]byte, out Output) {
	c := a.config.Catalog()
	if c == nil {
		return
	}
	for key, fl := range a.flows {
		if fl.state == flowOpening {
			continue
		}
		if first, second, ok := steering.Keepers(c, key.Hash()); ok && (first == keeper || second == keeper) {
			a.sendOwnedToKeeper(keeper, key, fl.state != flowAccepted, out)
		}
	}
}

// KeepersChanged announces the flows whose keepers differ between two catalogs
// to their new keepers. As in resendOwned, closed flows count as established. The new keepers of
// flows that are searched for are told at which hosts packets were tried.
func (a *Agent) KeepersChanged(now time.Duration, old, c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, fl := range a.flows {
		if fl.state == flowOpening {
			continue
		}
		for _, keeper := range newKeepers(old, c, key) {
			a.sendOwnedToKeeper(keeper, key, fl.state != flowAccepted, out)
		}
	}
	if !a.routeKnowledge(now, c).LimitsTrials() {
		return
	}
	for key := range a.budgets {
		a.sendTrials(now, key, newKeepers(old, c, key), out)
	}
}

// newKeepers returns the keepers of a flow that it did not have in an older catalog.
func newKeepers(old, c *catalog.Catalog, key flow.Key) [][4]byte {
	before, keepers := keepersOf(old, key.Hash()), keepersOf(c, key.Hash())
	return slices.DeleteFunc(slices.Compact(keepers[:]), func(keeper [4]byte) bool {
		return keeper == before[0] || keeper == before[1]
	})
}

// keepersOf returns the two keepers of the flow with the given hash, which are
// equal if there is only one agent.
func keepersOf(c *catalog.Catalog, hash uint64) [2][4]byte {
	first, second, _ := steering.Keepers(c, hash)
	return [2][4]byte{first, second}
}

// sendOwned reports to another process that this agent owns the flow.
func (a *Agent) sendOwned(to flow.Endpoint, key flow.Key, established bool, out Output) {
	f := a.newReport(flow.Owned, key)
	f.Established = established
	out.ToNode(to, &f, nil)
}

// newReport returns a frame of a kind that reports on its sender: on its
// ownership of the flow with the given key, or on the agent as a whole, for
// which the key is zero. Every report carries the load of the host.
func (a *Agent) newReport(kind flow.Kind, key flow.Key) flow.Frame {
	version := uint64(0)
	if c := a.config.Catalog(); c != nil {
		version = c.Config.Version
	}
	return flow.Frame{
		Kind: kind, Key: key, Sender: a.config.Self.Addr, ServiceTag: a.tag, StartedAt: uint32(a.config.StartedAt.Unix()), ConfigVersion: version,
		FailureShare: a.failureShare, ServiceMillis: serviceMillis(a.serviceTime.Comparable()),
		AdmitPriority: a.level.encoded(), AcceptsBatches: true,
		Flows: uint16(min(a.openFlows, 1<<16-1)), Busy: uint16(min(a.unansweredRequests, 1<<16-1)),
	}
}
