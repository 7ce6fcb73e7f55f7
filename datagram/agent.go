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
	// Self is the address at which other processes reach the agent.
	Self flow.Endpoint
	// Service is the service of the backend server on this machine (the host).
	Service string
	// FlowLifetime is the time after which the platform allows an open flow to be
	// discarded. It is how long an agent that has restarted may lack flows that
	// its host holds, and about how long closed flows, trial deliveries and keeper
	// records are retained. The state of an idle flow is removed after
	// catalog.Config.IdleTimeout instead.
	FlowLifetime time.Duration
	// StrayWindow is the time in which a flow is broken if several of its packets reach
	// other hosts and none its own. RecoveryTime is how long after a restart of all
	// processes they do not yet break it (see steering.RouteKnowledge).
	StrayWindow, RecoveryTime time.Duration
	// ColdOverage is the factor, and ColdSlack the number of further new flows per
	// second, by which a cold host may exceed its warm-up rate (see
	// steering.ColdLimit).
	ColdOverage, ColdSlack float64
	// Restarted reports that the host may hold flows that were opened before
	// this process started.
	Restarted bool
	// StartedAt is the start time of the process by the machine's wall clock, and
	// ClockStart that on the clock of the times passed to the agent.
	StartedAt  time.Time
	ClockStart time.Duration
	// HostRunning reports whether the host on this machine accepts connections. It
	// is asked only while the host is not listed and must not block. If it is nil,
	// the host counts as running.
	HostRunning func() bool
	// HostWasDown reports whether the host was found not to run since the process
	// started, so that the agent has seen all its flows. It must not block. If it is
	// nil, that is not known.
	HostWasDown func() bool
	// WakeAt asks for a call of Agent.Flush at the given time. It must not block. If it
	// is nil, each question of a search is sent at once.
	WakeAt func(at time.Duration)
	// ListConfirmer finds out whether the list of hosts is complete. If it is nil, no flow is
	// declared lost because no listed host holds it.
	ListConfirmer ListConfirmer
	Codec         flow.Codec
	Catalog       CatalogFunc
	// NewerConfig is called if another process acts on a newer configuration than the agent.
	// It must not block. It may be nil.
	NewerConfig func(process [4]byte, version uint64)
	Events      *Events
}

// flowState is the state of a flow at its owner.
type flowState uint8

const (
	// flowOpening: the opening was sent to the host, which has not answered
	// yet.
	flowOpening flowState = iota
	// flowAccepted: the host has accepted the flow.
	flowAccepted
	// flowEstablished: the requester has acknowledged the host's answer.
	flowEstablished
	// flowClosed: both ends have ended the flow, or one has reset it.
	flowClosed
)

// ownedFlow is a flow that the host on this machine holds.
type ownedFlow struct {
	state flowState
	// hostInitialSeq is the initial sequence number of the host's side of the
	// flow.
	hostInitialSeq uint32
	// origin is the entry that the flow's latest packet came through.
	origin flow.Endpoint
	// openingFrame is the frame that carried the opening.
	openingFrame flow.Frame
	lastSeenAt   time.Duration
	// acceptedAt is when the host last accepted the opening, or the flow was adopted.
	acceptedAt time.Duration
	// openingSentAt is when the requester sent its opening, valid until the first
	// request arrives, for which awaitsFirstRequest is set.
	openingSentAt      time.Duration
	awaitsFirstRequest bool
	// requestPending reports that a request arrived at requestedAt and is not
	// answered yet. If waiting is set, it is held here, as the packets in held;
	// otherwise it was given to the host at releasedAt.
	requestPending, waiting bool
	requestedAt, releasedAt time.Duration
	held                    []heldPacket
	// received is the data that has arrived from the requester, receivedBefore that
	// before the latest request.
	received, receivedBefore receivedData
	// overdue reports that the request has been counted as failed.
	overdue               bool
	requesterFin, hostFin bool
}

// ownerRecord is what a keeper stores of a flow that another agent owns.
type ownerRecord struct {
	owner     [4]byte
	updatedAt time.Duration
	// serviceTag identifies the service of the owner's host.
	serviceTag uint32
	// established reports that the requester has confirmed the flow at the
	// owner.
	established bool
}

// trialDelivery is a packet of an unknown flow that was sent to the host to
// find out whether the host holds the flow.
type trialDelivery struct {
	frame flow.Frame
	// firstSentAt is when the first packet of the current attempt was sent, and
	// count the number of packets in it. An attempt ends after
	// steering.TrialReturnTimeout.
	firstSentAt time.Duration
	count       int
	// lastSentAt is when the last packet was sent, and packets the number of packets that
	// were sent within a stray window of one another.
	lastSentAt time.Duration
	packets    int
	// returned reports that the host sent the packet back.
	returned bool
}

const (
	// maxStartSkew is how much earlier than its agent a host may start when
	// both start with the machine. A process that was killed takes longer to
	// restart.
	maxStartSkew = 300 * time.Millisecond
	// maxTrialPackets limits the packets of one unknown flow that are sent to
	// the host before it has had time to return one.
	maxTrialPackets = 2
	// recordRetention is how long a keeper retains a record beyond the flow
	// lifetime.
	recordRetention = 5 * time.Second
)

// Agent owns the flows of the host on its machine. All packets to and from the
// host pass through it, so it knows which flows the host holds. It also acts
// as a keeper, which records the owners of other flows, and is safe for
// concurrent use.
type Agent struct {
	config AgentConfig
	// tag identifies the host's service in frames.
	tag uint32

	mu      sync.Mutex
	flows   map[flow.Key]*ownedFlow
	records map[flow.Key]*ownerRecord
	trials  map[flow.Key]*trialDelivery
	// budgets holds the trials of flows that this agent or other keepers search for.
	budgets map[flow.Key]*steering.TrialBudget
	// searches holds the flows whose owner this agent is asking all other
	// agents for.
	searches  map[flow.Key]*ownerSearch
	questions questions
	// lostAt is when a search last found that a flow is lost.
	lostAt       time.Duration
	liveness     livenessTable
	lookups      lookupTable
	hostLiveness hostLiveness
	// announcements tracks running hosts that are not listed.
	announcements announcements
	// unansweredRequests is the number of flows with an unanswered request,
	// whether the host serves or queues it, or it waits here.
	unansweredRequests int
	// lastAnswerAt is when the host last answered a request.
	lastAnswerAt time.Duration
	// pause finds out when the agent last could not receive the host's packets.
	pause       pauseDetector
	openFlows   int
	coldLimiter steering.ColdRateLimiter
	loads       *steering.LoadTable
	// serviceHistory holds the services found to hold flows of routes that are
	// configured for other services.
	serviceHistory *steering.ServiceHistory
	serviceTime    steering.ServiceTime
	failureTracker steering.FailureTracker
	scheduler      requestScheduler
	// listedSlots is the number of the host's slots when it was last listed, or 0. The
	// entry of a running host may lapse while the store is unavailable.
	listedSlots int
	level       reportedLevel
	// refusals counts the refused openings.
	refusals refusalCounts
	// failureShare is the share of the host's requests that fail, in units of
	// 1/255 as in frames.
	failureShare uint8
	// packet and frame are reused for each datagram. As locals they would be
	// allocated per packet, because they are passed to interface methods.
	packet flow.Packet
	frame  flow.Frame
	// answerLatency records the time from a request to the host's first
	// answer.
	answerLatency *Latency
}

// NewAgent returns an agent without flows or records.
func NewAgent(config AgentConfig) *Agent {
	a := &Agent{
		config:         config,
		tag:            catalog.Tag(config.Service),
		flows:          make(map[flow.Key]*ownedFlow),
		records:        make(map[flow.Key]*ownerRecord),
		trials:         make(map[flow.Key]*trialDelivery),
		budgets:        make(map[flow.Key]*steering.TrialBudget),
		searches:       make(map[flow.Key]*ownerSearch),
		questions:      newQuestions(),
		liveness:       make(livenessTable),
		lookups:        make(lookupTable),
		serviceHistory: steering.NewServiceHistory(),
		announcements:  announcements{received: make(map[[4]byte]unlistedAgent), reports: make(map[[4]byte]receivedReport)},
		loads:          steering.NewLoadTable(),
		scheduler:      newRequestScheduler(),
		refusals:       make(refusalCounts),
		answerLatency:  NewLatency("request_answer"),
	}
	if config.Restarted {
		a.coldLimiter.AssumeUsed(config.ClockStart)
	}
	return a
}

// HandleFrame processes a frame received from the address of another process.
func (a *Agent) HandleFrame(now time.Duration, from [4]byte, data []byte, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.sendQuestions(now, out)
	a.pause.observe(now)
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
	noticeConfig(f, a.config.Catalog(), a.config.NewerConfig)
	switch f.Kind {
	case flow.Deliver, flow.Lookup, flow.Probe:
		a.handlePacket(now, f, packet, out)
		return
	}
	a.questions.recordFrame(f, now)
	switch f.Kind {
	case flow.Ping:
		a.answerPing(f.Sender, out)
		return
	case flow.Query:
		a.answerQuery(now, f, out)
		return
	case flow.QueryMany:
		a.answerQueries(now, f, packet, out)
		return
	case flow.UnlistedQuery:
		a.reportUnlisted(now, f.Sender, out)
		return
	}
	a.liveness.recordFrame(f, now)
	switch f.Kind {
	case flow.Owned:
		recordLoad(a.loads, f, now)
		delete(a.searches, f.Key)
		a.observeService(f.Key.Destination, f.ServiceTag, now)
		// Several hosts may accept duplicates of an opening. A report on a flow that
		// is not established does not replace the record of an established one.
		if r := a.records[f.Key]; r == nil || f.Established || !r.established {
			a.records[f.Key] = &ownerRecord{owner: f.Sender, updatedAt: now, serviceTag: f.ServiceTag, established: f.Established}
		}
	case flow.Closed:
		if r := a.records[f.Key]; r != nil && r.owner == f.Sender {
			delete(a.records, f.Key)
		}
	case flow.NotHeld:
		a.handleNotHeld(now, f, out)
	case flow.NotHeldMany:
		a.handleNotHeldMany(now, f.Sender, packet, out)
	case flow.MayHold:
		a.handleMayHold(now, f, out)
	case flow.Tried:
		a.handleTried(f, packet, now)
	case flow.Missing: // From an earlier build.
	case flow.AgentStarted:
		a.resendOwned(f.Sender, out)
	case flow.Load:
		recordLoad(a.loads, f, now)
	case flow.HostEnded:
		a.liveness.recordHostEnded(f, now)
	case flow.Unlisted:
		a.recordAnnouncement(f, now)
	case flow.UnlistedReport:
		a.recordReport(f, packet, now)
	default:
		a.config.Events.Drop(DropMalformed)
	}
}

// handlePacket processes a packet of a requester that an entry or another agent
// has forwarded.
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
		a.handleOpening(now, f, p, data, out)
		return
	}
	key := p.FromRequester()
	if fl := a.flows[key]; fl != nil && a.matchesFlow(fl, p) {
		a.deliver(now, fl, key, f, p, data, out)
		return
	}
	switch f.Kind {
	case flow.Deliver:
		if !a.tryHost(now, key, f, data, out) {
			a.forwardToOwner(now, f, key, data, out)
		}
	case flow.Lookup:
		a.forwardToOwner(now, f, key, data, out)
	case flow.Probe:
		a.handleProbe(now, key, f, data, out)
	}
}

// deliver sends the host a packet of a flow that it holds, or drops the flow
// if the host has stopped.
func (a *Agent) deliver(now time.Duration, fl *ownedFlow, key flow.Key, f *flow.Frame, p *flow.Packet, data []byte, out Output) {
	if a.hostStopped(now) {
		a.dropLostFlow(now, fl, key, "host_gone", p, out)
		return
	}
	a.trackRequesterPacket(now, fl, key, f, p, out)
	a.setOrigin(fl, key, f.Origin, out)
	if f.Kind == flow.Probe {
		a.sendOwned(a.endpoint(f.ReplyTo), key, fl.state == flowEstablished, out)
	}
	if !a.holdPacket(fl, p, data) {
		a.sendToHost(now, data, out)
	}
	a.releaseRequests(now, out)
}

// dropLostFlow removes a flow that the host no longer holds, notifies the
// entry and, if the flow was still open, resets the requester's end.
func (a *Agent) dropLostFlow(now time.Duration, fl *ownedFlow, key flow.Key, reason string, p *flow.Packet, out Output) {
	a.removeFlow(now, key, fl)
	a.sendClosed(fl, key, out)
	a.config.Events.Log(EventLost, key, "reason", reason)
	if !p.Rst && fl.state != flowClosed {
		reset(a.config.Codec, p, out)
	}
}

// sendClosed tells the entry that the flow has ended at this agent, so that
// the entry looks up the owner again.
func (a *Agent) sendClosed(fl *ownedFlow, key flow.Key, out Output) {
	if fl.origin != (flow.Endpoint{}) {
		f := a.newReport(flow.Closed, key)
		out.ToNode(fl.origin, &f, nil)
	}
}

// endpoint returns the endpoint at which another process receives frames. All
// processes use the same port.
func (a *Agent) endpoint(addr [4]byte) flow.Endpoint {
	return flow.Endpoint{Addr: addr, Port: a.config.Self.Port}
}

// matchesFlow reports whether a packet belongs to the flow that the host
// holds. Duplicates of an opening may have been accepted by two hosts; the
// requester's acknowledgement number shows which of the answers it took.
func (a *Agent) matchesFlow(fl *ownedFlow, p *flow.Packet) bool {
	switch {
	case fl.state == flowOpening:
		return p.Opening()
	case fl.state != flowAccepted || !p.Ack || p.Rst:
		return true
	}
	return p.AckSeq-fl.hostInitialSeq <= maxFirstAck
}

// maxFirstAck is the largest number of bytes that a requester can acknowledge
// on a flow that was just accepted.
const maxFirstAck = 1 << 17

// trackRequesterPacket updates the state of a flow by a packet from its
// requester.
func (a *Agent) trackRequesterPacket(now time.Duration, fl *ownedFlow, key flow.Key, f *flow.Frame, p *flow.Packet, out Output) {
	fl.lastSeenAt = now
	if p.Ack && fl.state == flowAccepted {
		fl.state = flowEstablished
		fl.origin = f.Origin
		a.updateLevel(now, a.config.Catalog())
		a.announce(key, f.Origin, true, out)
		a.config.Events.Log(EventOpened, key, "entry", f.Origin.AddrPort().Addr(), "flows", a.openFlows, "busy", a.unansweredRequests)
	}
	if p.Size > 0 {
		a.trackRequesterData(now, fl, key, p)
	}
	if p.Fin || p.Rst {
		a.checkOverdue(now, fl, key)
		if fl.waiting && p.Size == 0 {
			a.countCanceled(now, fl, key)
			a.endRequest(now, fl, key)
		}
	}
	if p.Fin {
		fl.requesterFin = true
	}
	if p.Rst || fl.requesterFin && fl.hostFin {
		a.close(now, fl, key)
	}
}

// close marks a flow as closed and subtracts it and its unanswered request from
// the counters. The flow stays in the table until it expires.
func (a *Agent) close(now time.Duration, fl *ownedFlow, key flow.Key) {
	if fl.state == flowClosed {
		return
	}
	fl.state = flowClosed
	a.openFlows--
	a.endRequest(now, fl, key)
}

// setOrigin records the entry that a flow's packets come through, and tells an
// entry that is new to the flow who the owner is.
func (a *Agent) setOrigin(fl *ownedFlow, key flow.Key, origin flow.Endpoint, out Output) {
	if fl.origin == origin {
		return
	}
	fl.origin = origin
	if fl.state == flowAccepted || fl.state == flowEstablished {
		a.sendOwned(origin, key, fl.state == flowEstablished, out)
	}
}

// removeFlow removes a flow and updates the counters by close, but restores the
// flow's state: dropLostFlow resets the requester's end only if the flow was
// not closed before.
func (a *Agent) removeFlow(now time.Duration, key flow.Key, fl *ownedFlow) {
	state := fl.state
	a.close(now, fl, key)
	fl.state = state
	delete(a.flows, key)
}
