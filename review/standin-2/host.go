package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// host is a backend server. A request is one packet, and so is its answer.
type host struct {
	machine  *machine
	id       string
	service  string
	slots    int
	work     time.Duration
	conn     *net.UDPConn
	health   net.Listener
	outbound netip.AddrPort
	born     int64
	onRun    func(h *host, id string, opened *hostFlow)

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	freeAt   []time.Time
	sequence int64
}

// flowKey identifies a flow.
type flowKey struct {
	requester netip.AddrPort
	route     netip.AddrPort
}

// hostFlow is a flow that a host holds.
type hostFlow struct {
	seq uint32
	// end is the number after the last byte received, answer the last answer, or nil.
	end    uint32
	answer []byte
	open   bool
	ended  bool
}

func startHost(m *machine, id, service string, slots int, work time.Duration, onRun func(*host, string, *hostFlow)) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.addr(portApp)))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", m.addr(portApp).String())
	if err != nil {
		return nil, err
	}
	h := &host{
		machine: m, id: id, service: service, slots: slots, work: work, conn: conn, health: health,
		outbound: m.addr(portOutbound), born: time.Now().UnixMilli(), onRun: onRun,
		flows: make(map[flowKey]*hostFlow), freeAt: make([]time.Time, slots),
	}
	go h.serveHealth()
	go h.read()
	return h, nil
}

func (h *host) serveHealth() {
	for {
		c, err := h.health.Accept()
		if err != nil {
			return
		}
		go func() {
			b := make([]byte, 1024)
			if _, err := c.Read(b); err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			}
			_ = c.Close()
		}()
	}
}

func (h *host) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p, ok := decode(b[:n]); ok {
			h.receive(&p, b[:n])
		} else {
			h.machine.lab.record.note("UNASKED: host %s got a packet that its sender didn't write so", h.id)
		}
	}
}

func (h *host) send(b []byte) { _, _ = h.conn.WriteToUDPAddrPort(b, h.outbound) }

// reply sends a packet of the flow to its requester.
func (h *host) reply(k flowKey, flags byte, seq, ack uint32, data string) []byte {
	p := packet{
		flags: flags, src: k.route.Addr(), srcPort: k.route.Port(), dst: k.requester.Addr(), dstPort: k.requester.Port(),
		seq: seq, ack: ack, data: data,
	}
	b := p.encode()
	h.send(b)
	return b
}

func (h *host) receive(p *packet, raw []byte) {
	k := flowKey{netip.AddrPortFrom(p.src, p.srcPort), netip.AddrPortFrom(p.dst, p.dstPort)}
	if l := h.machine.lab; l.onPacket != nil && !p.is(flagSyn) {
		l.onPacket(h, k)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	switch {
	case p.is(flagSyn):
		if f == nil {
			f = &hostFlow{seq: rand.Uint32(), end: p.seq + 1}
			h.flows[k] = f
		}
		h.reply(k, flagSyn|flagAck, f.seq, f.end, "")
	case f == nil || !f.open && p.ack != f.seq+1:
		raw[0] |= flagBounced
		raw[1] = 0
		h.send(raw)
	case p.is(flagRst):
		delete(h.flows, k)
	case p.is(flagFin):
		f.open, f.ended = true, true
		h.reply(k, flagFin|flagAck, f.seq+1+uint32(len(f.answer)), p.seq+1, "")
	default:
		if !f.open {
			f.open = true
			h.machine.lab.opened(h, k)
		}
		if p.data != "" {
			h.request(k, f, p)
		}
	}
}

// request runs a request, unless the host has it.
func (h *host) request(k flowKey, f *hostFlow, p *packet) {
	end := p.seq + uint32(len(p.data))
	if int32(end-f.end) <= 0 {
		if f.answer != nil {
			h.send(f.answer)
		}
		return
	}
	f.end, f.answer = end, nil
	id := between(p.data, "X-Request-Id: ", "\r\n")
	h.onRun(h, id, f)
	slot := 0
	for i := range h.freeAt {
		if h.freeAt[i].Before(h.freeAt[slot]) {
			slot = i
		}
	}
	if now := time.Now(); h.freeAt[slot].Before(now) {
		h.freeAt[slot] = now
	}
	h.freeAt[slot] = h.freeAt[slot].Add(h.work)
	time.AfterFunc(time.Until(h.freeAt[slot]), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.flows[k] == f {
			f.answer = h.reply(k, flagAck, f.seq+1, end, "HTTP/1.1 200 OK\r\nX-Server-Seal: "+h.id+"\r\nContent-Length: 0\r\nX-Request-Id: "+id+"\r\n\r\n")
		}
	})
}

// stop ends the host.
func (h *host) stop() {
	_, _ = h.conn.Close(), h.health.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.flows)
}

// holds reports whether the host holds the flow and it is open.
func (h *host) holds(k flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return f != nil && f.open && !f.ended
}

// entry returns the host's entry in the store, as it writes it next.
func (h *host) entry(state string, warmupLeft time.Duration) map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return map[string]any{
		"backend": h.service, "address": h.machine.addr(portApp).String(), "zone": h.machine.zone, "version": "v1", "concurrency": h.slots,
		"state": state, "warmup_left_ms": warmupLeft.Milliseconds(), "sequence": h.sequence, "born": h.born,
	}
}

func between(s, before, after string) string {
	_, s, _ = strings.Cut(s, before)
	s, _, _ = strings.Cut(s, after)
	return s
}
