package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// hostSilentAfter is after how long without a packet from a host that is no
// longer described the host is taken to have ended. A host that lives answers or
// acknowledges within its service time.
const hostSilentAfter = 600 * time.Millisecond

// hostSilence tells since when the host has left packets unanswered.
type hostSilence struct {
	since   time.Duration
	waiting bool
}

func (h *hostSilence) given(now time.Duration) {
	if !h.waiting {
		h.since, h.waiting = now, true
	}
}

func (h *hostSilence) heard() { h.waiting = false }

// toHost gives the host the packet in work. Only data and openings call for an
// answer.
func (a *Agent) toHost(now time.Duration, data []byte, out Output) {
	if a.packet.Size > 0 || a.packet.Opening() {
		a.host.given(now)
	}
	out.ToHost(data)
}

// hostGone reports whether the host has ended: its description went away while
// the store was readable, and it does not answer.
func (a *Agent) hostGone(now time.Duration) bool {
	c := a.config.Catalog()
	return a.host.waiting && now-a.host.since >= hostSilentAfter &&
		c != nil && c.Hosts[a.config.Self.Addr] == nil && listingComplete(now, c)
}

// HandleHost takes a packet that the host on this machine sent.
func (a *Agent) HandleHost(now time.Duration, data []byte, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.packet
	if !a.config.Codec.Decode(data, p) {
		a.config.Events.Drop(DropMalformed)
		return
	}
	a.host.heard()
	if p.Returned {
		a.config.Codec.ClearReturned(data)
		a.returned(now, p, data, out)
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
		a.fromHost(now, fl, key, p, out)
	}
	out.ToRequester(p.Dst.Addr, data)
}

func (a *Agent) fromHost(now time.Duration, fl *ownedFlow, key flow.Key, p *flow.Packet, out Output) {
	fl.seen = now
	if p.Syn && p.Ack && fl.state == flowOpening {
		fl.state, fl.hostSeq = flowAccepted, p.Seq
		a.announce(key, fl.origin, false, out)
	}
	if p.Rst || p.Size > 0 {
		a.observeOutcome(now, fl, key, p.Rst)
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
		// Most likely the host has restarted.
		a.lose(fl, key, "host_does_not_hold_flow", p, out)
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
