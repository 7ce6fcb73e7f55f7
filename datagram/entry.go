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
	// Self is where agents send their answers.
	Self flow.Endpoint
	// PeerPort is the port of all agents.
	PeerPort uint16
	Codec    flow.Codec
	Catalog  CatalogFunc
	Events   *Events
}

// Entry forwards requesters' packets to the agents of their flows. It holds a
// cache of owners only: without it, keepers find the owner of any flow.
type Entry struct {
	config EntryConfig

	mu     sync.Mutex
	owners map[flow.Key]*owner
	loads  *steering.LoadTable
	// silences are of agents that hold flows and are no longer described.
	silences silences
	finds    finds
	// packet and frame are those in work: they would be allocated anew for each
	// packet otherwise, since interfaces take them.
	packet flow.Packet
	frame  flow.Frame
	// opened holds how long openings waited for the word of their agent.
	opened *Latency
}

// owner is what an entry knows of the agent of a flow.
type owner struct {
	agent [4]byte
	// answered tells that the agent has accepted the flow, open that it said the
	// requester has confirmed it there.
	answered, open bool
	// seen is when the flow's last packet came, placed when its agent was chosen.
	seen, placed time.Duration
}

// NewEntry returns an entry that knows no flows.
func NewEntry(config EntryConfig) *Entry {
	return &Entry{
		config:   config,
		owners:   make(map[flow.Key]*owner),
		loads:    steering.NewLoadTable(),
		silences: make(silences),
		finds:    make(finds),
		opened:   NewLatency("opening_answer"),
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
		e.open(now, c, p, data, out)
		return
	}
	e.follow(now, c, p, data, out)
}

// open places a new flow.
func (e *Entry) open(now time.Duration, c *catalog.Catalog, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	route := c.Config.Routes[key.Service]
	if route == nil {
		e.refuseUnknown(now, c, p, out)
		return
	}
	hash := key.Hash()
	service := c.Services[route.Pick(hash)]
	o := e.owners[key]
	if o != nil && o.answered {
		o.seen = now
		e.send(flow.Deliver, c, service, o.agent, data, out)
		return
	}
	opening := steering.PlacementRequest{Hash: hash, Zone: e.config.Zone, Bulk: route.Bulk, Now: now}
	if o != nil {
		// The copy of an opening shows that its first agent did not answer.
		e.loads.MarkSuspect(o.agent, now)
		silent := o.agent
		opening.Avoid = func(agent [4]byte) bool { return agent == silent }
		e.config.Events.Note(EventAgentSilent, key, "agent", flow.Endpoint{Addr: silent}.AddrPort().Addr())
	}
	var host *catalog.Host
	if service != nil {
		host = steering.ChooseHost(c, service, e.loads, opening)
	}
	if host == nil {
		e.config.Events.Note(EventRefused, key, "reason", "no_host")
		reset(e.config.Codec, p, out)
		return
	}
	agent := host.Addr.Addr
	e.loads.RecordPlacement(agent)
	e.owners[key] = &owner{agent: agent, seen: now, placed: now}
	flows, busy, age := e.loads.Lookup(agent, now)
	e.config.Events.Note(EventPlaced, key, "agent", flow.Endpoint{Addr: agent}.AddrPort().Addr(), "service", service.Name,
		"agent_zone", host.Zone, "flows", flows, "busy", busy, "load_age_ms", age.Milliseconds(), "revision", c.Revision)
	e.send(flow.Deliver, c, service, agent, data, out)
}

func (e *Entry) send(kind flow.Kind, c *catalog.Catalog, service *catalog.Service, agent [4]byte, data []byte, out Output) {
	e.sendAvoiding(kind, c, service, agent, [4]byte{}, data, out)
}

// sendAvoiding sends a packet to an agent and names one that did not answer.
func (e *Entry) sendAvoiding(kind flow.Kind, c *catalog.Catalog, service *catalog.Service, agent, silent [4]byte, data []byte, out Output) {
	e.frame = flow.Frame{Kind: kind, Config: c.Config.Version, Origin: e.config.Self}
	e.frame.Avoid[0] = silent
	if service != nil {
		e.frame.Service = service.Tag
	}
	out.ToNode(flow.Endpoint{Addr: agent, Port: e.config.PeerPort}, &e.frame, data)
}

// refuseUnknown answers an opening for a route that does not exist. A snapshot
// that may be old says nothing of routes that were just added.
func (e *Entry) refuseUnknown(now time.Duration, c *catalog.Catalog, p *flow.Packet, out Output) {
	if now-c.ConfirmedAt > refusalAge {
		e.config.Events.Drop(DropNoRoute)
		return
	}
	e.config.Events.Note(EventRefused, p.FromRequester(), "reason", "no_route", "config", c.Config.Version)
	reset(e.config.Codec, p, out)
}

// follow forwards a packet of a flow that is not new.
func (e *Entry) follow(now time.Duration, c *catalog.Catalog, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	var service *catalog.Service
	hash := key.Hash()
	if route := c.Config.Routes[key.Service]; route != nil {
		service = c.Services[route.Pick(hash)]
	}
	if o := e.owners[key]; o != nil && !e.ownerGone(now, c, o, out) {
		o.seen = now
		e.send(flow.Deliver, c, service, o.agent, data, out)
		return
	}
	first, second, ok := steering.Keepers(c, hash)
	if !ok {
		e.config.Events.Drop(DropNoAgents)
		return
	}
	e.config.Events.Count(CountFinds)
	keeper, other := first, [4]byte{}
	if e.finds.countUnanswered(key, now)%2 == 1 {
		keeper, other = second, first
	}
	e.sendAvoiding(flow.Find, c, service, keeper, other, data, out)
}

// ownerGone reports whether the owner's host is no longer described and its
// agent does not answer. Keepers know then whether the flow is lost.
func (e *Entry) ownerGone(now time.Duration, c *catalog.Catalog, o *owner, out Output) bool {
	if c.Hosts[o.agent] != nil {
		return false
	}
	e.silences.ping(flow.Endpoint{Addr: e.config.Self.Addr, Port: e.config.PeerPort}, o.agent, now, out)
	return e.silences.gone(c, o.agent, now)
}

// HandleFrame takes an agent's answer, which came from the address.
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
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silences.sign(&f, now)
	switch f.Kind {
	case flow.Owned:
		learnLoad(e.loads, &f, now)
		if o := e.owners[f.Key]; o != nil {
			if !o.answered {
				e.opened.Observe(now - o.placed)
			}
			if f.Open || !o.open {
				o.agent, o.answered, o.open = f.Owner, true, f.Open
			}
			return
		}
		e.config.Events.Note(EventFound, f.Key, "agent", flow.Endpoint{Addr: f.Owner}.AddrPort().Addr())
		delete(e.finds, f.Key)
		e.owners[f.Key] = &owner{agent: f.Owner, answered: true, open: f.Open, seen: now}
	case flow.Load:
		learnLoad(e.loads, &f, now)
	case flow.Closed:
		if o := e.owners[f.Key]; o != nil && o.agent == f.Owner {
			delete(e.owners, f.Key)
		}
	default:
		e.config.Events.Drop(DropMalformed)
	}
}

// Expire forgets owners of flows that have been idle.
func (e *Entry) Expire(now time.Duration) {
	c := e.config.Catalog()
	if c == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads.Retain(c)
	e.silences.expire(c, now)
	e.finds.expire(now)
	for key, o := range e.owners {
		idle := now - o.seen
		if idle > c.Config.IdleTimeout+idleMargin || !o.answered && idle > pendingLinger {
			delete(e.owners, key)
		}
	}
}

// reset tells a requester that its flow will not be opened.
func reset(codec flow.Codec, p *flow.Packet, out Output) {
	var b [64]byte
	out.ToRequester(p.Src.Addr, codec.AppendReset(b[:0], p.Dst, p.Src, p.AckSeq))
}
