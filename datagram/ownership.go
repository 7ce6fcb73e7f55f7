package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// unsure reports whether the host may hold flows that the agent does not know.
func (a *Agent) unsure(now time.Duration) bool {
	return a.config.Restarted && now <= a.config.FlowLifetime
}

// hostIsYoung reports whether the host started with the agent or after it, so
// that the agent has seen all of its flows. Both stamps are of one clock.
func (a *Agent) hostIsYoung() bool {
	c := a.config.Catalog()
	if c == nil {
		return false
	}
	host := c.Hosts[a.config.Self.Addr]
	return host != nil && host.StartUnixMilli >= a.config.Started.Add(-startSkew).UnixMilli()
}

// mayTry reports whether a packet of an unknown flow may be meant for the
// service of this agent's host. No packet is tried at another service.
func (a *Agent) mayTry(f *flow.Frame, key flow.Key) bool {
	if f.Service == a.tag {
		return true
	}
	c := a.config.Catalog()
	if c == nil {
		return false
	}
	route := c.Config.Routes[key.Service]
	return route != nil && route.MayHoldFlows(a.config.Service)
}

// try gives the host a packet of a flow that the agent does not know. It is
// done only while the host may hold flows from before the agent's start; the
// host returns what it does not hold. It reports false if the host does not
// hold the flow.
func (a *Agent) try(now time.Duration, key flow.Key, f *flow.Frame, data []byte, out Output) bool {
	if !a.unsure(now) || !a.mayTry(f, key) || a.hostGone(now) {
		return false
	}
	t := a.trials[key]
	switch {
	case t == nil:
		a.trials[key] = &trial{frame: *f, at: now, count: 1}
	case t.absent:
		return false
	case now-t.at > trialSettled:
		// The host did not return the last packets: it holds the flow, or is down.
		t.frame, t.at, t.count = *f, now, 1
	case t.count >= trialMost:
		return true
	default:
		t.frame = *f
		t.count++
	}
	a.toHost(now, data, out)
	return true
}

// adopt notes a flow that the host holds from before the agent's start.
func (a *Agent) adopt(now time.Duration, key flow.Key, origin flow.Endpoint, out Output) *ownedFlow {
	fl := &ownedFlow{state: flowOpen, origin: origin, seen: now}
	a.flows[key] = fl
	a.open++
	a.config.Events.Note(EventAdopted, key, "entry", origin.AddrPort().Addr())
	a.announce(key, origin, true, out)
	return fl
}

// find brings a packet to the owner of its flow, which is not this agent.
func (a *Agent) find(now time.Duration, f *flow.Frame, key flow.Key, data []byte, out Output) {
	next := *f
	next.Hops++
	c := a.config.Catalog()
	if c == nil || next.Hops > maxHops {
		a.config.Events.Drop(DropNoOwner)
		return
	}
	self := a.config.Self
	if r := a.records[key]; r != nil && r.owner != self.Addr && !f.Avoids(r.owner) {
		if c.Hosts[r.owner] == nil || a.silences.gone(c, r.owner, now) {
			a.toUndescribed(now, c, r.owner, &next, key, data, out)
			return
		}
		next.Kind = flow.Deliver
		next.AddAvoid(self.Addr)
		out.ToNode(a.endpoint(r.owner), &next, data)
		return
	}
	first, second, _ := steering.Keepers(c, key.Hash())
	next.AddAvoid(self.Addr)
	if a.finds.countUnanswered(key, now) > 0 {
		first, second = self.Addr, self.Addr
	}
	for _, keeper := range [2][4]byte{first, second} {
		if keeper != self.Addr && !next.Avoids(keeper) {
			next.Kind = flow.Find
			out.ToNode(a.endpoint(keeper), &next, data)
			return
		}
	}
	a.search(now, c, &next, key, data, out)
}

// toUndescribed brings a packet to an owner whose host is no longer described, or
// asks all others once the owner has ended.
func (a *Agent) toUndescribed(now time.Duration, c *catalog.Catalog, owner [4]byte, f *flow.Frame, key flow.Key, data []byte, out Output) {
	if a.silences.gone(c, owner, now) {
		a.search(now, c, f, key, data, out)
		return
	}
	a.silences.ping(a.config.Self, owner, now, out)
	f.Kind, f.Asker = flow.Probe, a.config.Self.Addr
	out.ToNode(a.endpoint(owner), f, data)
}
