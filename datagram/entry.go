package datagram

import (
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	Zone string
	// Self is the address to which agents send their answers.
	Self flow.Endpoint
	// PeerPort is the port on which all agents receive frames.
	PeerPort uint16
	Codec    flow.Codec
	Catalog  CatalogFunc
	// NewerConfig is called if an agent acts on a newer configuration than the entry. It must
	// not block. It may be nil.
	NewerConfig func(process [4]byte, version uint64)
	Events      *Events
}

// Entry forwards packets of requesters to the agents of their flows. Its only
// per-flow state is a cache of owners; an owner that is not cached is looked
// up at the flow's keepers. It is safe for concurrent use.
type Entry struct {
	config  EntryConfig
	zoneTag uint16

	mu     sync.Mutex
	owners map[flow.Key]*cachedOwner
	loads  *steering.LoadTable
	// liveness tracks agents that own flows although their hosts are no longer
	// listed.
	liveness livenessTable
	lookups  lookupTable
	// refusals counts the refused openings.
	refusals refusalCounts
	// packet and frame are reused for each packet. As locals they would be
	// allocated per packet, because they are passed to interface methods.
	packet flow.Packet
	frame  flow.Frame
	// openingLatency records the time from placing an opening to the agent's
	// report that its host accepted it.
	openingLatency *Latency
}

// cachedOwner is what an entry knows of the owner of a flow.
type cachedOwner struct {
	agent [4]byte
	// accepted reports that the agent's host has accepted the flow,
	// established that the agent has reported the requester's confirmation.
	accepted, established bool
	// lastSeenAt is when the flow's last packet arrived, placedAt when its agent
	// was chosen.
	lastSeenAt, placedAt time.Duration
}

// NewEntry returns an entry with an empty cache.
func NewEntry(config EntryConfig) *Entry {
	return &Entry{
		config:         config,
		zoneTag:        catalog.ZoneTag(config.Zone),
		owners:         make(map[flow.Key]*cachedOwner),
		loads:          steering.NewLoadTable(),
		liveness:       make(livenessTable),
		lookups:        make(lookupTable),
		refusals:       make(refusalCounts),
		openingLatency: NewLatency("opening_answer"),
	}
}

// HandlePacket forwards a packet from a requester.
func (e *Entry) HandlePacket(now time.Duration, data []byte, out Output) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.packet
	if !e.config.Codec.Decode(data, p) {
		e.config.Events.Drop(DropMalformed)
		return
	}
	if p.Returned || p.Syn && p.Ack {
		e.config.Events.Drop(DropForged)
		return
	}
	c := e.config.Catalog()
	if c == nil {
		e.config.Events.Drop(DropNoCatalog)
		return
	}
	if p.Opening() {
		e.placeFlow(now, c, p, data, out)
		return
	}
	e.forward(now, c, p, data, out)
}

// placeFlow chooses a host for a new flow and forwards the opening.
func (e *Entry) placeFlow(now time.Duration, c *catalog.Catalog, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	d := e.decidePlacement(now, c, key, e.config.Zone, p.OpeningAge, nil)
	if d.unresponsive != nil {
		e.loads.MarkSuspect(d.unresponsive.agent, now)
		e.config.Events.Log(EventAgentSilent, key, "agent", flow.Endpoint{Addr: d.unresponsive.agent}.AddrPort().Addr())
	}
	switch d.outcome {
	case placementUnknownRoute:
		e.refuseUnknown(now, c, p, out)
		return
	case placementHeld:
		d.holder.lastSeenAt = now
		e.send(flow.Deliver, c, d.service, d.holder.agent, data, out)
		return
	case placementOverloaded:
		e.refuseOverloaded(&d, p, out)
		return
	case placementNoHost:
		e.refusals.count(reasonNoHost, d.route)
		e.config.Events.Log(EventRefused, key, "reason", reasonNoHost, "priority", d.route.Priority)
		reset(e.config.Codec, p, out)
		return
	}
	host, service := d.host, d.service
	agent := host.Addr.Addr
	e.loads.RecordPlacement(agent)
	e.owners[key] = &cachedOwner{agent: agent, lastSeenAt: now, placedAt: now}
	flows, busy, age := e.loads.Lookup(agent, now)
	e.config.Events.Log(EventPlaced, key, "agent", flow.Endpoint{Addr: agent}.AddrPort().Addr(), "service", service.Name,
		"agent_zone", host.Zone, "flows", flows, "busy", busy, "load_age_ms", age.Milliseconds(), "revision", c.Revision)
	e.send(flow.Deliver, c, service, agent, data, out)
}

// send sends a packet in a frame to an agent. The service may be nil if it is
// not known.
func (e *Entry) send(kind flow.Kind, c *catalog.Catalog, service *catalog.Service, agent [4]byte, data []byte, out Output) {
	e.sendAvoiding(kind, c, service, agent, [4]byte{}, data, out)
}

// sendAvoiding sends a packet to an agent and marks another one, which did not
// answer, as to be avoided.
func (e *Entry) sendAvoiding(kind flow.Kind, c *catalog.Catalog, service *catalog.Service, agent, unresponsive [4]byte, data []byte, out Output) {
	e.frame = flow.Frame{Kind: kind, ConfigVersion: c.Config.Version, Origin: e.config.Self, OriginZone: e.zoneTag}
	e.frame.Avoided[0] = unresponsive
	if service != nil {
		e.frame.ServiceTag = service.Tag
	}
	out.ToNode(flow.Endpoint{Addr: agent, Port: e.config.PeerPort}, &e.frame, data)
}

// refuseUnknown resets an opening for a route that does not exist. If the
// snapshot may be outdated, the opening is dropped instead, because the route
// may have just been added.
func (e *Entry) refuseUnknown(now time.Duration, c *catalog.Catalog, p *flow.Packet, out Output) {
	if now-c.ConfirmedAt > maxRefusalAge {
		e.config.Events.Drop(DropNoRoute)
		return
	}
	e.refusals.count(reasonNoRoute, nil)
	e.config.Events.Log(EventRefused, p.FromRequester(), "reason", reasonNoRoute, "config", c.Config.Version)
	reset(e.config.Codec, p, out)
}

// forward sends a packet of an existing flow to its owner, or to a keeper if
// the owner is not cached.
func (e *Entry) forward(now time.Duration, c *catalog.Catalog, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	var service *catalog.Service
	hash := key.Hash()
	if route := c.Config.Routes[key.Destination]; route != nil {
		service = c.Services[route.Pick(hash)]
	}
	if o := e.owners[key]; o != nil && !e.ownerEnded(now, c, o, out) {
		o.lastSeenAt = now
		e.send(flow.Deliver, c, service, o.agent, data, out)
		return
	}
	first, second, ok := steering.Keepers(c, hash)
	if !ok {
		e.config.Events.Drop(DropNoAgents)
		return
	}
	e.config.Events.Count(CountLookups)
	keeper, unresponsive := first, [4]byte{}
	if e.lookups.countUnanswered(key, now)%2 == 1 {
		keeper, unresponsive = second, first
	}
	e.sendAvoiding(flow.Lookup, c, service, keeper, unresponsive, data, out)
}

// ownerEnded reports whether the owner's host is no longer listed and its
// agent does not answer. The keepers then find out whether the flow is lost.
func (e *Entry) ownerEnded(now time.Duration, c *catalog.Catalog, o *cachedOwner, out Output) bool {
	if c.Hosts[o.agent] != nil {
		return false
	}
	e.liveness.ping(flow.Endpoint{Addr: e.config.Self.Addr, Port: e.config.PeerPort}, o.agent, now, out)
	return e.liveness.hasEnded(c, o.agent, now)
}

// HandleFrame processes an agent's frame received from the address.
func (e *Entry) HandleFrame(now time.Duration, from [4]byte, data []byte) {
	var f flow.Frame
	if _, ok := f.Parse(data); !ok {
		e.config.Events.Drop(DropMalformed)
		return
	}
	if !f.SentBy(from) {
		e.config.Events.Drop(DropForged)
		return
	}
	noticeConfig(&f, e.config.Catalog(), e.config.NewerConfig)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.liveness.recordFrame(&f, now)
	switch f.Kind {
	case flow.Owned:
		recordLoad(e.loads, &f, now)
		if o := e.owners[f.Key]; o != nil {
			if !o.accepted {
				e.openingLatency.Observe(now - o.placedAt)
			}
			if f.Established || !o.established {
				o.agent, o.accepted, o.established = f.Sender, true, f.Established
			}
			return
		}
		e.config.Events.Log(EventOwnerFound, f.Key, "agent", flow.Endpoint{Addr: f.Sender}.AddrPort().Addr())
		delete(e.lookups, f.Key)
		e.owners[f.Key] = &cachedOwner{agent: f.Sender, accepted: true, established: f.Established, lastSeenAt: now}
	case flow.Load:
		recordLoad(e.loads, &f, now)
	case flow.Closed:
		if o := e.owners[f.Key]; o != nil && o.agent == f.Sender {
			delete(e.owners, f.Key)
		}
	default:
		e.config.Events.Drop(DropMalformed)
	}
}

// Expire removes the cached owners of idle flows.
func (e *Entry) Expire(now time.Duration) {
	c := e.config.Catalog()
	if c == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads.Retain(c, now)
	e.liveness.expire(c, now)
	e.lookups.expire(now)
	for key, o := range e.owners {
		idleFor := now - o.lastSeenAt
		if idleFor > c.Config.IdleTimeout+idleMargin || !o.accepted && idleFor > pendingFlowTimeout {
			delete(e.owners, key)
		}
	}
}

// reset sends the requester a reset for its flow.
func reset(codec flow.Codec, p *flow.Packet, out Output) {
	var b [64]byte
	out.ToRequester(p.Src.Addr, codec.AppendReset(b[:0], p.Dst, p.Src, p.AckSeq))
}

// noticeConfig calls a function, which may be nil, if a frame shows that the process that sent it
// or, for a packet of a requester, the entry that received the packet has a newer configuration.
func noticeConfig(f *flow.Frame, c *catalog.Catalog, newerConfig func(process [4]byte, version uint64)) {
	if c == nil || newerConfig == nil || f.ConfigVersion <= c.Config.Version {
		return
	}
	switch f.Kind {
	case flow.Deliver, flow.Lookup, flow.Probe:
		newerConfig(f.Origin.Addr, f.ConfigVersion)
	default:
		newerConfig(f.Sender, f.ConfigVersion)
	}
}
