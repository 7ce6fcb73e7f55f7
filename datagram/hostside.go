package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// hostResponseTimeout is how long an unlisted host may leave packets
// unanswered before it is taken to have stopped. A live host answers or
// acknowledges within its service time.
const hostResponseTimeout = 600 * time.Millisecond

// hostLiveness tracks since when the host has left packets unanswered.
type hostLiveness struct {
	waitingSince time.Duration
	waiting      bool
	// heardAt is when the host last sent a packet.
	heardAt time.Duration
}

// packetSent records that a packet that calls for an answer was sent to the
// host.
func (h *hostLiveness) packetSent(now time.Duration) {
	if !h.waiting {
		h.waitingSince, h.waiting = now, true
	}
}

// packetReceived records that the host sent a packet, which ends the wait for
// an answer.
func (h *hostLiveness) packetReceived(now time.Duration) { h.waiting, h.heardAt = false, now }

// sendToHost sends the packet that is being processed to the host. Only
// payload and openings call for an answer and start the liveness timeout.
func (a *Agent) sendToHost(now time.Duration, data []byte, out Output) {
	if a.packet.Size > 0 || a.packet.Opening() {
		a.hostLiveness.packetSent(now)
	}
	out.ToHost(data)
}

// hostStopped reports whether the host has stopped: its catalog entry went
// away while the store was readable, and it does not answer.
func (a *Agent) hostStopped(now time.Duration) bool {
	c := a.config.Catalog()
	return a.hostLiveness.waiting && now-a.hostLiveness.waitingSince >= hostResponseTimeout &&
		c != nil && c.Hosts[a.config.Self.Addr] == nil && a.hostListEvidence(now, c).Complete()
}

// HandleHost processes a packet sent by the host on this machine.
func (a *Agent) HandleHost(now time.Duration, data []byte, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.packet
	if !a.config.Codec.Decode(data, p) {
		a.config.Events.Drop(DropMalformed)
		return
	}
	a.hostLiveness.packetReceived(now)
	if p.Returned {
		a.config.Codec.ClearReturned(data)
		a.handleReturned(now, p, data, out)
		return
	}
	key := p.FromHost()
	fl := a.flows[key]
	if fl == nil && !p.Rst && !p.Syn {
		origin := flow.Endpoint{}
		if t := a.trials[key]; t != nil {
			origin = t.frame.Origin
			delete(a.trials, key)
			a.answerProbe(&t.frame, key, out)
		}
		fl = a.adopt(now, key, origin, out)
	}
	if fl != nil {
		a.trackHostPacket(now, fl, key, p, out)
	}
	out.ToRequester(p.Dst.Addr, data)
}

// trackHostPacket updates the state of a flow by a packet from the host.
func (a *Agent) trackHostPacket(now time.Duration, fl *ownedFlow, key flow.Key, p *flow.Packet, out Output) {
	fl.lastSeenAt = now
	if p.Syn && p.Ack && fl.state == flowOpening {
		fl.state, fl.hostInitialSeq = flowAccepted, p.Seq
		a.announce(key, fl.origin, false, out)
	}
	if p.Rst || p.Size > 0 {
		a.observeOutcome(now, fl, key, p.Rst)
	}
	if p.Size > 0 && fl.requestPending {
		fl.requestPending = false
		a.unansweredRequests--
		a.answerLatency.Observe(now - fl.requestedAt)
		if fl.slotWasFree {
			a.serviceTime.Observe(now - fl.requestedAt)
		}
	}
	if p.Fin {
		fl.hostFin = true
	}
	if p.Rst || fl.requesterFin && fl.hostFin {
		a.close(fl)
	}
}

// handleReturned processes a packet that the host sent back.
func (a *Agent) handleReturned(now time.Duration, p *flow.Packet, data []byte, out Output) {
	key := p.FromRequester()
	fl := a.flows[key]
	if p.Opening() {
		frame := flow.Frame{ServiceTag: a.tag}
		if fl != nil {
			frame = fl.openingFrame
			frame.Origin = fl.origin
			a.removeFlow(key, fl)
		}
		a.forwardOpening(now, &frame, p, data, "host_full", out)
		return
	}
	if fl != nil && a.matchesFlow(fl, p) {
		// The host has most likely restarted and lost its flows.
		a.dropLostFlow(fl, key, "host_does_not_hold_flow", p, out)
		return
	}
	t := a.trials[key]
	if t == nil {
		return
	}
	t.returned = true
	f := t.frame
	if f.Kind == flow.Probe {
		a.sendNotHeld(now, f.ReplyTo, key, out)
		return
	}
	a.forwardToOwner(now, &f, key, data, out)
}
