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
func (h *hostLiveness) packetReceived() { h.waiting = false }

// maxEventGap is the time between two events after which the agent counts as having been
// stopped, for instance by a lack of CPU time. It is five ticks long.
const maxEventGap = 5 * tickInterval

// pauseDetector finds out when the process did not run. Packets that the host sent in such
// a time are received later than the next event, so it is no evidence against the host.
type pauseDetector struct {
	// lastEventAt is the time of the last event, resumedAt that of the first one after the
	// last pause.
	lastEventAt, resumedAt time.Duration
}

// observe records an event. Ticks are events, too.
func (d *pauseDetector) observe(now time.Duration) {
	if now-d.lastEventAt > maxEventGap {
		d.resumedAt = now
	}
	d.lastEventAt = max(d.lastEventAt, now)
}

// since returns for how long the agent has run without pause since an event.
func (d *pauseDetector) since(now, event time.Duration) time.Duration {
	return now - max(event, d.resumedAt)
}

// sendToHost sends the packet that is being processed to the host. Only
// payload and openings call for an answer and start the liveness timeout.
func (a *Agent) sendToHost(now time.Duration, data []byte, out Output) {
	if a.packet.Size > 0 || a.packet.Opening() {
		a.hostLiveness.packetSent(now)
	}
	out.ToHost(data)
}

// hostStopped reports whether the host has stopped: its catalog entry went
// away while the store was readable, and it does not answer. A list from before the
// host was listed does not show that.
func (a *Agent) hostStopped(now time.Duration) bool {
	c := a.config.Catalog()
	return a.hostLiveness.waiting && a.pause.since(now, a.hostLiveness.waitingSince) >= hostResponseTimeout &&
		c != nil && c.Hosts[a.config.Self.Addr] == nil && a.hostListEvidence(now, c).Complete() &&
		a.isListCompleteAsOf(c, a.hostLiveness.waitingSince)
}

// HandleHost processes a packet sent by the host on this machine.
func (a *Agent) HandleHost(now time.Duration, data []byte, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.sendQuestions(now, out)
	a.pause.observe(now)
	p := &a.packet
	if !a.config.Codec.Decode(data, p) {
		a.config.Events.Drop(DropMalformed)
		return
	}
	a.hostLiveness.packetReceived()
	if p.Returned {
		a.config.Codec.ClearReturned(data)
		a.handleReturned(now, p, data, out)
		a.releaseRequests(now, out)
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
		fl = a.adopt(now, key, p, origin, out)
	}
	if fl != nil {
		a.trackHostPacket(now, fl, key, p, out)
	}
	out.ToRequester(p.Dst.Addr, data)
	a.releaseRequests(now, out)
}

// trackHostPacket updates the state of a flow by a packet from the host.
func (a *Agent) trackHostPacket(now time.Duration, fl *ownedFlow, key flow.Key, p *flow.Packet, out Output) {
	fl.lastSeenAt = now
	if p.Syn && p.Ack {
		fl.acceptedAt = now
	}
	if p.Syn && p.Ack && fl.state == flowOpening {
		fl.state, fl.hostInitialSeq = flowAccepted, p.Seq
		a.updateLevel(now, a.config.Catalog())
		a.announce(key, fl.origin, false, out)
	}
	if p.Rst || p.Size > 0 {
		a.observeOutcome(now, fl, key, p.Rst)
	}
	if p.Size > 0 && fl.requestPending && !fl.waiting {
		a.answerRequest(now, fl, key)
	}
	if p.Fin {
		fl.hostFin = true
	}
	if p.Rst || fl.requesterFin && fl.hostFin {
		a.close(now, fl, key)
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
			a.removeFlow(now, key, fl)
		}
		a.forwardOpening(now, &frame, p, data, "host_full", out)
		return
	}
	if fl != nil && a.matchesFlow(fl, p) {
		// The host has most likely restarted and lost its flows.
		a.scheduler.hostLostFlow(now, fl)
		a.dropLostFlow(now, fl, key, "host_does_not_hold_flow", p, out)
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
