package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// requestTracker follows the requests on a flow by the packets of its requester.
type requestTracker struct {
	// ackSeq is the requester's last acknowledgement.
	ackSeq uint32
	// dataSeq is the sequence number of the last packet with data, dataAckSeq its
	// acknowledgement and dataAt when it was first sent.
	dataSeq, dataAckSeq uint32
	dataAt              time.Duration
	sentData            bool
}

// track records a packet of the requester and reports whether it repeats the last
// one with data.
func (t *requestTracker) track(p *flow.Packet, now time.Duration) (repeated bool) {
	t.ackSeq = p.AckSeq
	if p.Size == 0 {
		return false
	}
	if t.sentData && p.Seq == t.dataSeq {
		return true
	}
	t.sentData, t.dataSeq, t.dataAckSeq, t.dataAt = true, p.Seq, p.AckSeq, now
	return false
}

// activity returns what the packets show of the flow's requests.
func (t *requestTracker) activity() steering.FlowActivity {
	return steering.FlowActivity{Awaiting: t.sentData && t.ackSeq == t.dataAckSeq, SentAt: t.dataAt}
}

// Tick pings agents that may be gone and resets the flows of those that no longer
// answer. It is called every steering.SilenceCheckInterval.
func (e *Entry) Tick(now time.Duration, out Output) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ping, silent := e.silence.Check(now)
	f := flow.Frame{Kind: flow.Ping, Sender: e.config.Self.Addr}
	for _, agent := range ping {
		for range pingCopies {
			out.ToNode(flow.Endpoint{Addr: agent, Port: e.config.PeerPort}, &f, nil)
		}
	}
	c := e.config.Catalog()
	if c == nil || len(silent) == 0 {
		return
	}
	for _, agent := range silent {
		e.loads.MarkSuspect(agent, now)
		e.config.Events.Log(EventAgentLost, flow.Key{}, "agent", flow.Endpoint{Addr: agent}.AddrPort().Addr(), "described", c.Hosts[agent] != nil)
	}
	e.resetLostFlows(now, c, out)
}

// resetLostFlows resets the flows of silent agents.
func (e *Entry) resetLostFlows(now time.Duration, c *catalog.Catalog, out Output) {
	for key, o := range e.owners {
		e.resetIfLost(now, key, o, c.Config.Routes[key.Destination], out)
	}
}

// resetIfLost resets a flow whose agent is silent, and reports whether it did so.
func (e *Entry) resetIfLost(now time.Duration, key flow.Key, o *cachedOwner, route *catalog.Route, out Output) bool {
	if !o.accepted || !e.silence.IsSilent(o.agent) || !o.requests.activity().ShouldResetLost(route, now) {
		return false
	}
	delete(e.owners, key)
	e.config.Events.Log(EventLost, key, "reason", "agent_silent", "agent", flow.Endpoint{Addr: o.agent}.AddrPort().Addr())
	reset(e.config.Codec, &flow.Packet{Src: key.Requester, Dst: key.Destination, AckSeq: o.requests.ackSeq}, out)
	return true
}
