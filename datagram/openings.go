package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// minHostSilence is how long after an opening its copy shows that the host is silent. Copies
// are 200 ms apart, but those that waited at a paused agent arrive together at its end. The
// flow was then removed before the host could answer, and an open flow was reset.
const minHostSilence = 100 * time.Millisecond

// handleOpening decides on a new flow. The decision is the agent's, because
// its information about its host is newer than the entry's.
func (a *Agent) handleOpening(now time.Duration, f *flow.Frame, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	c := a.config.Catalog()
	d := a.decideOpening(now, c, f, key, p.OpeningAge, nil)
	if d.outcome == openingHeld {
		if fl := a.flows[key]; fl.state != flowOpening {
			fl.lastSeenAt = now
			a.setOrigin(fl, key, f.Origin, out)
		}
		a.sendToHost(now, data, out)
		return
	}
	if d.reason == reasonHostSilent {
		a.removeFlow(now, key, a.flows[key])
	}
	if d.admissionAsked {
		a.updateLevel(now, c)
	}
	if d.busy {
		a.sendLoad(f, reasonBusy, out)
	}
	if d.cold.startedWithAgent {
		a.coldLimiter.ForgetAssumed()
	}
	if d.outcome != openingAccepted {
		a.turnAway(now, f, p, data, &d, out)
		return
	}
	a.coldLimiter.Count(now)
	a.flows[key] = &ownedFlow{
		state: flowOpening, origin: f.Origin, openingFrame: *f, lastSeenAt: now,
		openingSentAt: now - p.OpeningAge, awaitsFirstRequest: true,
	}
	a.openFlows++
	a.sendToHost(now, data, out)
}

// rejectReason returns the reason for which the host may not accept an
// opening, or "" if it may.
func (a *Agent) rejectReason(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key) string {
	if f.ServiceTag != a.tag {
		return "other_service"
	}
	if c == nil {
		return ""
	}
	if c.Config.Version >= f.ConfigVersion {
		if route := c.Config.Routes[key.Destination]; route == nil || !route.Allows(a.config.Service) {
			return "route_changed"
		}
	}
	service := c.Services[a.config.Service]
	host := c.Hosts[a.config.Self.Addr]
	if host != nil {
		switch {
		case host.Service != a.config.Service:
			return "address_reused"
		case host.Draining:
			return "draining"
		case c.Evacuated[host.Zone]:
			return "evacuated"
		}
	}
	if service == nil {
		return ""
	}
	if service.MaxFlows > 0 && a.openFlows >= service.MaxFlows {
		return "full"
	}
	return ""
}

// hostSlots returns how many requests the host serves concurrently, as last listed. It
// is 1 if that is not known.
func (a *Agent) hostSlots() int {
	if c := a.config.Catalog(); c != nil {
		if host := c.Hosts[a.config.Self.Addr]; host != nil {
			a.listedSlots = host.Slots
		}
	}
	return max(1, a.listedSlots)
}

// admit decides whether the host has capacity for another flow. hasAlternative
// tells whether another host may accept the flow instead.
func (a *Agent) admit(now time.Duration, c *catalog.Catalog, key flow.Key, openingAge time.Duration, hasAlternative bool) steering.Admission {
	if c == nil {
		return steering.Admission{Decision: steering.Accept}
	}
	route := c.Config.Routes[key.Destination]
	if route == nil {
		return steering.Admission{Decision: steering.Accept}
	}
	return a.scheduler.queue.Admission(now, now-openingAge, openingOf(route), a.backlogAhead(now, route.Priority), hasAlternative)
}

// coldState is how far the rate limit of a cold host restricts an opening.
type coldState struct {
	// limited reports that the limit applies; limit and use are valid then.
	limited bool
	limit   int
	use     steering.ColdRateUse
	// startedWithAgent reports that the limit was not used before the agent started.
	startedWithAgent bool
}

func (s *coldState) admits() bool { return !s.limited || s.use.Admits(s.limit) }

// coldState returns how far the rate limit of a cold host restricts another opening. A
// host that is not listed yet counts as cold. After a restart the limit counts as just
// used, unless the host started with the agent.
func (a *Agent) coldState(now time.Duration, c *catalog.Catalog) coldState {
	if c == nil {
		return coldState{}
	}
	service := c.Services[a.config.Service]
	host := c.Hosts[a.config.Self.Addr]
	if service == nil || service.WarmupPerSecond <= 0 || host != nil && !host.Cold(now) {
		return coldState{}
	}
	s := coldState{
		limited: true, use: a.coldLimiter.Use(now), startedWithAgent: a.hostStartedWithAgent(),
		limit: steering.ColdLimit(service.WarmupPerSecond, a.config.ColdOverage, a.config.ColdSlack),
	}
	s.use.AssumedUsed = s.use.AssumedUsed && !s.startedWithAgent
	return s
}

// forwardOpening forwards an opening that the host cannot take to another host. If there
// is none, it refuses the opening at once.
func (a *Agent) forwardOpening(now time.Duration, f *flow.Frame, p *flow.Packet, data []byte, reason string, out Output) {
	d := a.decideAlternative(now, a.config.Catalog(), f, p.FromRequester(), reason, nil)
	a.turnAway(now, f, p, data, &d, out)
}

// turnAway forwards an opening to the host that was decided on, or refuses it. The load
// is reported in either case, unless that has been done because the host is busy.
func (a *Agent) turnAway(now time.Duration, f *flow.Frame, p *flow.Packet, data []byte, d *openingDecision, out Output) {
	if d.reason != reasonBusy && d.reason != reasonOverloaded {
		a.sendLoad(f, d.reason, out)
	}
	if d.outcome == openingRefused {
		a.refuse(now, f, p, d.reason, out)
		return
	}
	a.config.Events.Log(EventForwarded, p.FromRequester(), "reason", d.reason, "to", flow.Endpoint{Addr: d.to.Addr.Addr}.AddrPort().Addr(),
		"hops", f.Hops, "busy", a.unansweredRequests, "flows", a.openFlows)
	next := d.next
	next.Kind = flow.Deliver
	out.ToNode(a.endpoint(d.to.Addr.Addr), &next, data)
}

// sendLoad reports the host's load to the entry and to the agents that
// forwarded the opening before, so that they send it fewer openings.
func (a *Agent) sendLoad(f *flow.Frame, reason string, out Output) {
	load := a.newReport(flow.Load, flow.Key{})
	if reason != reasonBusy {
		load.Busy = flow.BusyRefusing
	}
	out.ToNode(f.Origin, &load, nil)
	for _, agent := range f.Avoided {
		if agent != ([4]byte{}) {
			out.ToNode(a.endpoint(agent), &load, nil)
		}
	}
}

// chooseAlternative chooses another host for an opening and updates the
// frame's service to the newest known configuration. It returns nil if there
// is no other host. An opening that this host could still accept does not go to one
// that has said that it refuses it.
func (a *Agent) chooseAlternative(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key, reason string, list *candidateList) *catalog.Host {
	if c == nil || f.Hops > maxHops {
		return nil
	}
	service := c.ByTag[f.ServiceTag]
	hash := key.Hash()
	route := c.Config.Routes[key.Destination]
	request := steering.PlacementRequest{Hash: hash, Avoid: f.Avoids, Now: now}
	if route != nil {
		request.TargetLatency = route.TargetLatency
	}
	if route != nil && reason == reasonBusy {
		request.Avoid = func(agent [4]byte) bool {
			return f.Avoids(agent) || a.loads.Refuses(agent, route.Priority, now)
		}
	}
	if c.Config.Version >= f.ConfigVersion {
		if route == nil {
			return nil
		}
		service = c.Services[route.Pick(hash)]
		f.ConfigVersion = c.Config.Version
	}
	if service == nil {
		return nil
	}
	f.ServiceTag = service.Tag
	list.recordTo(&request)
	return steering.ChooseHost(c, service, a.loads, request)
}
