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
	busy, unqueued bool
	asked          time.Duration
	// overdue tells that the request counts as failed.
	overdue           bool
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
	silences silences
	finds    finds
	host     hostSilence
	busy     int
	open     int
	cold     steering.ColdRateLimiter
	loads    *steering.LoadTable
	service  steering.ServiceTime
	outcomes steering.FailureTracker
	// failing is the share of the host's requests that fail, in 255ths.
	failing uint8
	// packet and frame are those in work: they would be allocated anew for each
	// packet otherwise, since interfaces take them.
	packet flow.Packet
	frame  flow.Frame
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
		silences: make(silences),
		finds:    make(finds),
		loads:    steering.NewLoadTable(),
		answered: NewLatency("request_answer"),
	}
}

// HandleFrame takes a frame that came from another process's address.
func (a *Agent) HandleFrame(now time.Duration, from [4]byte, data []byte, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := &a.frame
	packet, ok := f.Parse(data)
	if !ok {
		a.config.Events.Drop(DropMalformed)
		return
	}
	if !f.SentBy(from) {
		a.config.Events.Drop(DropForged)
		return
	}
	switch f.Kind {
	case flow.Deliver, flow.Find, flow.Probe:
		a.handlePacket(now, f, packet, out)
		return
	case flow.Ping:
		a.answerPing(f.Owner, out)
		return
	}
	a.silences.sign(f, now)
	switch f.Kind {
	case flow.Owned:
		learnLoad(a.loads, f, now)
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
		learnLoad(a.loads, f, now)
	case flow.Ended:
		a.silences.end(f, now)
	default:
		a.config.Events.Drop(DropMalformed)
	}
}

func (a *Agent) handlePacket(now time.Duration, f *flow.Frame, data []byte, out Output) {
	p := &a.packet
	if !a.config.Codec.Decode(data, p) {
		a.config.Events.Drop(DropMalformed)
		return
	}
	if p.Returned || p.Syn && p.Ack {
		a.config.Events.Drop(DropForged)
		return
	}
	if p.Opening() {
		a.opening(now, f, p, data, out)
		return
	}
	key := p.FromRequester()
	if fl := a.flows[key]; fl != nil && a.holds(fl, p) {
		a.deliver(now, fl, key, f, p, data, out)
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

// deliver gives the host a packet of a flow that it holds.
func (a *Agent) deliver(now time.Duration, fl *ownedFlow, key flow.Key, f *flow.Frame, p *flow.Packet, data []byte, out Output) {
	if a.hostGone(now) {
		a.lose(fl, key, "host_gone", p, out)
		return
	}
	a.fromRequester(now, fl, key, f, p, out)
	a.setOrigin(fl, key, f.Origin, out)
	if f.Kind == flow.Probe {
		a.tellOwned(a.endpoint(f.Asker), key, fl.state == flowOpen, out)
	}
	a.toHost(now, data, out)
}

// lose gives up a flow that the host does not hold any more.
func (a *Agent) lose(fl *ownedFlow, key flow.Key, reason string, p *flow.Packet, out Output) {
	a.forget(key, fl)
	a.tellClosed(fl, key, out)
	a.config.Events.Note(EventLost, key, "reason", reason)
	if !p.Rst && fl.state != flowClosed {
		reset(a.config.Codec, p, out)
	}
}

// tellClosed tells the entry that a flow has ended here, so that it asks again.
func (a *Agent) tellClosed(fl *ownedFlow, key flow.Key, out Output) {
	if fl.origin != (flow.Endpoint{}) {
		f := a.report(flow.Closed, key)
		out.ToNode(fl.origin, &f, nil)
	}
}

// endpoint returns where another process receives frames: all use one port.
func (a *Agent) endpoint(addr [4]byte) flow.Endpoint {
	return flow.Endpoint{Addr: addr, Port: a.config.Self.Port}
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
		fl.busy, fl.asked, fl.unqueued, fl.overdue = true, now, a.busy < a.slots(), false
		a.busy++
	}
	if p.Fin || p.Rst {
		a.checkOverdue(now, fl, key)
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
		Failing: a.failing,
		Flows:   uint16(min(a.open, 1<<16-1)), Busy: uint16(min(a.busy, 1<<16-1)),
	}
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
		a.silences.expire(c, now)
		a.finds.expire(now)
		a.mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, fl := range a.flows {
		quiet := now - fl.seen
		a.checkOverdue(now, fl, key)
		if fl.state == flowClosed {
			// Late packets of a closed flow are for its host to answer.
			quiet -= a.config.FlowLifetime
		}
		if quiet > idle || fl.state == flowOpening && quiet > pendingLinger {
			a.forget(key, fl)
		}
	}
	a.judgeHost(now, flow.Key{})
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
