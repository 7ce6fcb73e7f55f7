package datagram

import (
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// AgentConfig configures an Agent.
type AgentConfig struct {
	// Self is where other processes reach the agent.
	Self flow.Endpoint
	// Service is the service of the host on this machine.
	Service string
	// FlowLifetime is after how long a flow may be forgotten, and how long an
	// agent that has restarted may lack flows of its host.
	FlowLifetime time.Duration
	// ColdOverage and ColdSlack are the factor and the surplus in openings a
	// second by which the rate of a cold host may be exceeded.
	ColdOverage, ColdSlack float64
	// Restarted tells that the host may hold flows from before.
	Restarted bool
	// Started is the process's start by the machine's time of day.
	Started time.Time
	Codec   flow.Codec
	Catalog CatalogFunc
	Events  *Events
}

// flowState is where a flow stands at its owner.
type flowState uint8

const (
	// flowOpening: the host was given the opening and has not answered.
	flowOpening flowState = iota
	// flowAccepted: the host has accepted the flow.
	flowAccepted
	// flowOpen: the requester has confirmed the host's answer.
	flowOpen
	// flowClosed: both ends have ended the flow, or one has reset it.
	flowClosed
)

// ownedFlow is a flow that the host on this machine holds.
type ownedFlow struct {
	state flowState
	// hostSeq is the number that the host's side of the flow starts with.
	hostSeq uint32
	// origin is the entry that the flow's packets come from.
	origin flow.Endpoint
	// opening is the frame that brought the opening.
	opening flow.Frame
	seen    time.Duration
	// busy tells that a request is in service, asked since when, and unqueued
	// that a slot was free then.
	busy, unqueued    bool
	asked             time.Duration
	requesterFin, fin bool
}

// record is what a keeper remembers of a flow at another agent.
type record struct {
	owner [4]byte
	seen  time.Duration
	// open tells that the requester has confirmed the flow there.
	open bool
}

// trial is a packet that the host was given although the flow is unknown.
type trial struct {
	frame flow.Frame
	at    time.Duration
	count int
	// absent tells that the host returned the packet.
	absent bool
}

const (
	// trialSettled is after how long the host would have returned a packet of
	// a flow that it does not hold.
	trialSettled = 100 * time.Millisecond
	// startSkew is by how much a host may start before its agent when both
	// start with the machine. A process that was killed is away for longer.
	startSkew = 300 * time.Millisecond
	// trialMost bounds the packets of one flow that are tried before the host
	// had the time to return one.
	trialMost = 2
	// recordLinger is how long a keeper remembers a flow beyond its lifetime.
	recordLinger = 5 * time.Second
)

// Agent owns the flows of the host on its machine. All packets of the host
// pass it in both directions, so that it knows which flows the host holds.
type Agent struct {
	config AgentConfig
	tag    uint32

	mu      sync.Mutex
	flows   map[flow.Key]*ownedFlow
	records map[flow.Key]*record
	trials  map[flow.Key]*trial
	// searches are the flows whose owner this agent asks all others for.
	searches map[flow.Key]*search
	busy     int
	open     int
	cold     steering.ColdGate
	loads    *steering.Loads
	service  steering.ServiceTime
	// answered holds how long requests waited for the host's first answer.
	answered *Latency
}

// NewAgent returns an agent that knows no flows.
func NewAgent(config AgentConfig) *Agent {
	return &Agent{
		config:   config,
		tag:      catalog.Tag(config.Service),
		flows:    make(map[flow.Key]*ownedFlow),
		records:  make(map[flow.Key]*record),
		trials:   make(map[flow.Key]*trial),
		searches: make(map[flow.Key]*search),
		loads:    steering.NewLoads(),
		answered: NewLatency("request_answer"),
	}
}

// HandleFrame takes a frame from another process.
func (a *Agent) HandleFrame(now time.Duration, data []byte, out Output) {
	var f flow.Frame
	packet, ok := f.Parse(data)
	if !ok {
		a.config.Events.Drop(DropMalformed)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch f.Kind {
	case flow.Deliver, flow.Find, flow.Probe:
		a.handlePacket(now, &f, packet, out)
	case flow.Owned:
		learnLoad(a.loads, &f, now)
		if r := a.records[f.Key]; r == nil || f.Open || !r.open {
			a.records[f.Key] = &record{owner: f.Owner, seen: now, open: f.Open}
		}
	case flow.Closed:
		if r := a.records[f.Key]; r != nil && r.owner == f.Owner {
			delete(a.records, f.Key)
		}
	case flow.Absent:
		a.absent(now, f.Key, f.Owner, out)
	case flow.Hello:
		a.tellStarted(f.Owner, out)
	case flow.Load:
		learnLoad(a.loads, &f, now)
	default:
		a.config.Events.Drop(DropMalformed)
	}
}

func (a *Agent) handlePacket(now time.Duration, f *flow.Frame, data []byte, out Output) {
	var p flow.Packet
	if !a.config.Codec.Decode(data, &p) {
		a.config.Events.Drop(DropMalformed)
		return
	}
	if p.Returned || p.Syn && p.Ack {
		a.config.Events.Drop(DropForged)
		return
	}
	if p.Opening() {
		a.opening(now, f, &p, data, out)
		return
	}
	key := p.FromRequester()
	if fl := a.flows[key]; fl != nil && a.holds(fl, &p) {
		a.fromRequester(now, fl, key, f, &p, out)
		a.setOrigin(fl, key, f.Origin, out)
		out.ToHost(data)
		return
	}
	switch f.Kind {
	case flow.Deliver:
		if !a.try(now, key, f, data, out) {
			a.find(now, f, key, data, out)
		}
	case flow.Find:
		a.find(now, f, key, data, out)
	case flow.Probe:
		a.answerProbe(now, key, f, data, out)
	}
}

// holds reports whether a packet is of the flow that the host holds. Copies of
// an opening may have reached two hosts; the requester's acknowledgement tells
// which of them it took.
func (a *Agent) holds(fl *ownedFlow, p *flow.Packet) bool {
	switch {
	case fl.state == flowOpening:
		return p.Opening()
	case fl.state != flowAccepted || !p.Ack || p.Rst:
		return true
	}
	return p.AckSeq-fl.hostSeq <= ackWindow
}

// ackWindow is the most that a requester acknowledges of a flow that was just
// accepted, in bytes.
const ackWindow = 1 << 17

func (a *Agent) fromRequester(now time.Duration, fl *ownedFlow, key flow.Key, f *flow.Frame, p *flow.Packet, out Output) {
	fl.seen = now
	if p.Ack && fl.state == flowAccepted {
		fl.state = flowOpen
		fl.origin = f.Origin
		a.announce(key, f.Origin, true, out)
		a.config.Events.Note(EventOpened, key, "entry", f.Origin.AddrPort().Addr(), "flows", a.open, "busy", a.busy)
	}
	if p.Size > 0 && !fl.busy {
		fl.busy, fl.asked, fl.unqueued = true, now, a.busy < a.slots()
		a.busy++
	}
	if p.Fin {
		fl.requesterFin = true
	}
	if p.Rst || fl.requesterFin && fl.fin {
		a.close(fl)
	}
}

func (a *Agent) close(fl *ownedFlow) {
	if fl.state == flowClosed {
		return
	}
	fl.state = flowClosed
	a.open--
	if fl.busy {
		fl.busy = false
		a.busy--
	}
}

// setOrigin notes the entry that a flow's packets come from, and tells a new
// one who the owner is.
func (a *Agent) setOrigin(fl *ownedFlow, key flow.Key, origin flow.Endpoint, out Output) {
	if fl.origin == origin {
		return
	}
	fl.origin = origin
	if fl.state == flowAccepted || fl.state == flowOpen {
		a.tellOwned(origin, key, fl.state == flowOpen, out)
	}
}

func (a *Agent) tellOwned(to flow.Endpoint, key flow.Key, open bool, out Output) {
	f := a.report(flow.Owned, key)
	f.Open = open
	out.ToNode(to, &f, nil)
}

func (a *Agent) report(kind flow.Kind, key flow.Key) flow.Frame {
	return flow.Frame{
		Kind: kind, Key: key, Owner: a.config.Self.Addr, Service: a.tag, Started: uint32(a.config.Started.Unix()),
		Flows: uint16(min(a.open, 1<<16-1)), Busy: uint16(min(a.busy, 1<<16-1)),
	}
}

// opening decides on a new flow. The agent has the last word: what it knows of
// its host is newer than what the entry knew.
func (a *Agent) opening(now time.Duration, f *flow.Frame, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	if fl := a.flows[key]; fl != nil && fl.state != flowClosed {
		if fl.state != flowOpening {
			fl.seen = now
			a.setOrigin(fl, key, f.Origin, out)
			out.ToHost(data)
			return
		}
		a.forget(key, fl)
		a.passOn(now, f, p, data, "host_silent", out)
		return
	}
	c := a.config.Catalog()
	if reason := a.unfit(now, c, f, key); reason != "" {
		a.passOn(now, f, p, data, reason, out)
		return
	}
	switch a.admit(c, f, key) {
	case steering.PassOn:
		if a.passOn(now, f, p, data, reasonBusy, out) {
			return
		}
	case steering.Refuse:
		a.refuse(f, p, "overloaded", out)
		return
	}
	if !a.takeCold(now, c) {
		a.passOn(now, f, p, data, "cold", out)
		return
	}
	a.flows[key] = &ownedFlow{state: flowOpening, origin: f.Origin, opening: *f, seen: now}
	a.open++
	out.ToHost(data)
}

// unfit returns why the host may not take an opening, or "".
func (a *Agent) unfit(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key) string {
	if f.Service != a.tag {
		return "other_service"
	}
	if c == nil {
		return ""
	}
	if c.Config.Version >= f.Config {
		if route := c.Config.Routes[key.Service]; route == nil || !route.Allows(a.config.Service) {
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
	if service.MaxFlows > 0 && a.open >= service.MaxFlows {
		return "full"
	}
	return ""
}

// slots returns how many requests the host works on at a time.
func (a *Agent) slots() int {
	if c := a.config.Catalog(); c != nil {
		if host := c.Hosts[a.config.Self.Addr]; host != nil {
			return host.Slots
		}
	}
	return 1
}

// admit decides whether the host has room for one more flow.
func (a *Agent) admit(c *catalog.Catalog, f *flow.Frame, key flow.Key) steering.Verdict {
	if c == nil {
		return steering.Accept
	}
	route := c.Config.Routes[key.Service]
	if route == nil {
		return steering.Accept
	}
	pressure := steering.Pressure{Busy: a.busy, Slots: a.slots(), Service: a.service.Mean()}
	return pressure.Admit(route.TargetLatency, route.Priority, f.Hops < passOnHops)
}

// takeCold reports whether the limit of a cold host leaves room for one more
// opening, and counts it. A host that is not listed yet is taken as cold.
func (a *Agent) takeCold(now time.Duration, c *catalog.Catalog) bool {
	if c != nil {
		service := c.Services[a.config.Service]
		host := c.Hosts[a.config.Self.Addr]
		if service != nil && service.WarmupPerSecond > 0 && (host == nil || host.Cold(now)) {
			limit := steering.ColdLimit(service.WarmupPerSecond, a.config.ColdOverage, a.config.ColdSlack)
			return a.cold.Admit(now, limit)
		}
	}
	a.cold.Count(now)
	return true
}

// passOn brings an opening to another host. Where there is none, it refuses
// the opening at once, unless the host itself could still take it: then it
// reports false.
func (a *Agent) passOn(now time.Duration, f *flow.Frame, p *flow.Packet, data []byte, reason string, out Output) bool {
	key := p.FromRequester()
	a.tellLoad(f, reason, out)
	next := *f
	next.Hops++
	next.AddAvoid(a.config.Self.Addr)
	host := a.alternative(now, a.config.Catalog(), &next, key)
	if host == nil {
		if reason != reasonBusy {
			a.refuse(f, p, reason, out)
		}
		return false
	}
	a.config.Events.Note(EventPassedOn, key, "reason", reason, "to", flow.Endpoint{Addr: host.Addr.Addr}.AddrPort().Addr(),
		"hops", f.Hops, "busy", a.busy, "flows", a.open)
	next.Kind = flow.Deliver
	out.ToNode(flow.Endpoint{Addr: host.Addr.Addr, Port: a.config.Self.Port}, &next, data)
	return true
}

// tellLoad tells the entry, and the agents that passed the opening on before,
// how loaded the host is, so that they leave it alone.
func (a *Agent) tellLoad(f *flow.Frame, reason string, out Output) {
	load := a.report(flow.Load, flow.Key{})
	if reason != reasonBusy {
		load.Busy = flow.Refusing
	}
	out.ToNode(f.Origin, &load, nil)
	for _, agent := range f.Avoid {
		if agent != ([4]byte{}) {
			out.ToNode(flow.Endpoint{Addr: agent, Port: a.config.Self.Port}, &load, nil)
		}
	}
}

// refuse tells the requester at once that its flow is not opened: none of its
// requests has run.
func (a *Agent) refuse(f *flow.Frame, p *flow.Packet, reason string, out Output) {
	a.config.Events.Note(EventRefused, p.FromRequester(), "reason", reason, "hops", f.Hops,
		"busy", a.busy, "service_ms", a.service.Mean().Milliseconds())
	reset(a.config.Codec, p, out)
}

// alternative chooses another host for an opening, and sets the service by the
// newest configuration that is known.
func (a *Agent) alternative(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key) *catalog.Host {
	if c == nil || f.Hops > maxHops {
		return nil
	}
	service := c.ByTag[f.Service]
	hash := key.Hash()
	if c.Config.Version >= f.Config {
		route := c.Config.Routes[key.Service]
		if route == nil {
			return nil
		}
		service = c.Services[route.Pick(hash)]
		f.Config = c.Config.Version
	}
	if service == nil {
		return nil
	}
	f.Service = service.Tag
	return steering.ChooseHost(c, service, a.loads, steering.Opening{Hash: hash, Avoid: f.Avoids, Now: now})
}

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
	return host != nil && host.Born >= a.config.Started.Add(-startSkew).UnixMilli()
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
	return route != nil && route.MayHold(a.config.Service)
}

// try gives the host a packet of a flow that the agent does not know. It is
// done only while the host may hold flows from before the agent's start; the
// host returns what it does not hold. It reports false if the host does not
// hold the flow.
func (a *Agent) try(now time.Duration, key flow.Key, f *flow.Frame, data []byte, out Output) bool {
	if !a.unsure(now) || !a.mayTry(f, key) {
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
	out.ToHost(data)
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

// announce tells the entry and the keepers of a flow that this agent owns it.
func (a *Agent) announce(key flow.Key, origin flow.Endpoint, open bool, out Output) {
	if origin != (flow.Endpoint{}) {
		a.tellOwned(origin, key, open, out)
	}
	c := a.config.Catalog()
	if c == nil {
		return
	}
	first, second, ok := steering.Keepers(c, key.Hash())
	if !ok {
		return
	}
	a.tellKeeper(first, key, open, out)
	if second != first {
		a.tellKeeper(second, key, open, out)
	}
}

func (a *Agent) tellKeeper(keeper [4]byte, key flow.Key, open bool, out Output) {
	if keeper != a.config.Self.Addr {
		a.tellOwned(flow.Endpoint{Addr: keeper, Port: a.config.Self.Port}, key, open, out)
	}
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
		next.Kind = flow.Deliver
		next.AddAvoid(self.Addr)
		out.ToNode(flow.Endpoint{Addr: r.owner, Port: self.Port}, &next, data)
		return
	}
	first, second, _ := steering.Keepers(c, key.Hash())
	next.AddAvoid(self.Addr)
	for _, keeper := range [2][4]byte{first, second} {
		if keeper != self.Addr && !next.Avoids(keeper) {
			next.Kind = flow.Find
			out.ToNode(flow.Endpoint{Addr: keeper, Port: self.Port}, &next, data)
			return
		}
	}
	a.search(now, c, &next, key, data, out)
}

// HandleHost takes a packet that the host on this machine sent.
func (a *Agent) HandleHost(now time.Duration, data []byte, out Output) {
	var p flow.Packet
	if !a.config.Codec.Decode(data, &p) {
		a.config.Events.Drop(DropMalformed)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Returned {
		a.config.Codec.ClearReturned(data)
		a.returned(now, &p, data, out)
		return
	}
	key := p.FromHost()
	fl := a.flows[key]
	if fl == nil && !p.Rst && !p.Syn {
		origin := flow.Endpoint{}
		if t := a.trials[key]; t != nil {
			origin = t.frame.Origin
			delete(a.trials, key)
		}
		fl = a.adopt(now, key, origin, out)
	}
	if fl != nil {
		a.fromHost(now, fl, key, &p, out)
	}
	out.ToRequester(p.Dst.Addr, data)
}

func (a *Agent) fromHost(now time.Duration, fl *ownedFlow, key flow.Key, p *flow.Packet, out Output) {
	fl.seen = now
	if p.Syn && p.Ack && fl.state == flowOpening {
		fl.state, fl.hostSeq = flowAccepted, p.Seq
		a.announce(key, fl.origin, false, out)
	}
	if p.Size > 0 && fl.busy {
		fl.busy = false
		a.busy--
		a.answered.Observe(now - fl.asked)
		if fl.unqueued {
			a.service.Observe(now - fl.asked)
		}
	}
	if p.Fin {
		fl.fin = true
	}
	if p.Rst || fl.requesterFin && fl.fin {
		a.close(fl)
	}
}

// returned takes a packet that the host gave back.
func (a *Agent) returned(now time.Duration, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	fl := a.flows[key]
	if p.Opening() {
		frame := flow.Frame{Service: a.tag}
		if fl != nil {
			frame = fl.opening
			frame.Origin = fl.origin
			a.forget(key, fl)
		}
		a.passOn(now, &frame, p, data, "host_full", out)
		return
	}
	if fl != nil && a.holds(fl, p) {
		// The host has lost the flow, most likely by a restart.
		a.forget(key, fl)
		lost := a.report(flow.Closed, key)
		out.ToNode(fl.origin, &lost, nil)
		a.config.Events.Note(EventLost, key, "reason", "host_does_not_hold_flow")
		if !p.Rst && fl.state != flowClosed {
			reset(a.config.Codec, p, out)
		}
		return
	}
	t := a.trials[key]
	if t == nil {
		return
	}
	t.absent = true
	f := t.frame
	if f.Kind == flow.Probe {
		a.answerAbsent(now, f.Asker, key, out)
		return
	}
	a.find(now, &f, key, data, out)
}

func (a *Agent) forget(key flow.Key, fl *ownedFlow) {
	state := fl.state
	a.close(fl)
	fl.state = state
	delete(a.flows, key)
}

// Expire forgets flows that have been idle and records that are old.
func (a *Agent) Expire(now time.Duration) {
	idle := time.Minute
	c := a.config.Catalog()
	if c != nil {
		idle = c.Config.IdleTimeout + idleMargin
		a.mu.Lock()
		a.loads.Retain(c)
		a.mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, fl := range a.flows {
		quiet := now - fl.seen
		if fl.state == flowClosed {
			// Late packets of a closed flow are for its host to answer.
			quiet -= a.config.FlowLifetime
		}
		if quiet > idle || fl.state == flowOpening && quiet > pendingLinger {
			a.forget(key, fl)
		}
	}
	for key, r := range a.records {
		if now-r.seen > a.config.FlowLifetime+recordLinger {
			delete(a.records, key)
		}
	}
	for key, t := range a.trials {
		if now-t.at > a.config.FlowLifetime {
			delete(a.trials, key)
		}
	}
	for key, s := range a.searches {
		if now-s.at > searchLinger {
			delete(a.searches, key)
		}
	}
}
