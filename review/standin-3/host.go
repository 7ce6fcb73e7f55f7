package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/platform"
)

// Flag bits of the packet header.
const (
	flagBounced = 2
	flagAck     = 4
	flagRst     = 8
	flagSyn     = 16
	flagFin     = 128
)

const (
	slots       = 5
	serviceTime = 100 * time.Millisecond
	// firstRetransmit is the time until a packet is sent again first, maxRetransmit the
	// longest such time. A host gives up after maxCopies.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxCopies       = 8
)

// newPacket returns a packet as an end of a flow writes it.
func newPacket(flags byte, from, to flow.Endpoint, seq, ack uint32, data string) []byte {
	p := platform.Codec{}.AppendReset(nil, from, to, seq)
	p[0] = flags
	binary.LittleEndian.PutUint16(p[22:], uint16(len(data)))
	binary.LittleEndian.PutUint32(p[28:], ack)
	return append(p, data...)
}

// host is a sound backend server. A request is one packet, as is its response.
type host struct {
	fleet *fleet
	n     int
	id    string
	born  time.Time
	conn  *net.UDPConn
	http  *http.Server

	mu       sync.Mutex
	flows    map[flow.Key]*hostFlow
	state    string
	sequence int
	running  int
	queue    []func()
	exited   bool
}

type hostFlow struct {
	seq uint32
	// openedAt is when the host took the opening.
	openedAt time.Duration
	open     bool
	closed   bool
	// received is the number after the last byte received, sent that after the last sent.
	received, sent uint32
	// unacked is the last packet that was not acknowledged, and copies how often it was
	// sent again.
	unacked []byte
	copies  int
	timer   *time.Timer
}

// startHost starts a host. Its clock is ahead by the given time when it starts.
func (f *fleet) startHost(n int, ahead time.Duration) (*host, error) {
	h := &host{
		fleet: f, n: n, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().Add(ahead), flows: make(map[flow.Key]*hostFlow), state: "ready",
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addr(kindHost, n, portHost))); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", f.addr(kindHost, n, portHost).String())
	if err != nil {
		return nil, err
	}
	h.http = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = h.http.Serve(listener) }()
	go h.read()
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.record.add("host-%d %s starts, born %d", n, h.id, h.born.UnixMilli())
	h.register("ready")
	return h, nil
}

// register writes the host's entry with a new state. Between changes a host only renews it:
// the entry changes when more than its sequence does.
func (h *host) register(state string) {
	h.mu.Lock()
	h.state = state
	h.mu.Unlock()
	h.write()
	h.fleet.record.add("the store holds host-%d %s as %s", h.n, h.id, state)
}

// write writes the host's entry, unless the host has left.
func (h *host) write() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exited {
		return
	}
	h.sequence++
	sequence, state := h.sequence, h.state
	h.fleet.put("servers/"+h.id, map[string]any{
		"backend": h.fleet.serviceOf(h.n), "address": h.fleet.addr(kindHost, h.n, portHost).String(), "zone": zone, "version": "v1",
		"concurrency": slots, "state": state, "warmup_left_ms": 0, "sequence": sequence, "born": h.born.UnixMilli(),
	})
}

// exit ends the host. Its entry is removed when it has left.
func (h *host) exit() {
	h.mu.Lock()
	exited := h.exited
	h.exited = true
	h.mu.Unlock()
	if exited {
		return
	}
	_, _ = h.conn.Close(), h.http.Close() // Nothing is served any more.
	h.fleet.store.Delete("servers/" + h.id)
	h.fleet.record.add("host-%d %s has left", h.n, h.id)
}

func (h *host) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var p flow.Packet
		if (platform.Codec{}).Decode(buffer[:n], &p) {
			h.mu.Lock()
			h.receive(&p, buffer[:n])
			h.mu.Unlock()
		}
	}
}

func (h *host) send(packet []byte) {
	// A failed send is a lost datagram.
	_, _ = h.conn.WriteToUDPAddrPort(packet, h.fleet.addr(kindHost, h.n, portOutbound))
}

func (h *host) receive(p *flow.Packet, data []byte) {
	key := p.FromRequester()
	fl := h.flows[key]
	if p.Opening() {
		if fl == nil {
			seq := rand.Uint32()
			fl = &hostFlow{seq: seq, openedAt: h.fleet.record.now(), received: p.Seq + 1, sent: seq + 1}
			h.flows[key] = fl
			h.fleet.record.add("host-%d takes the opening of %v", h.n, key)
			h.transmit(fl, newPacket(flagSyn|flagAck, p.Dst, p.Src, seq, p.Seq+1, ""))
		}
		return
	}
	if fl == nil || !fl.open && p.AckSeq != fl.seq+1 {
		data[0], data[1] = data[0]|flagBounced, 0
		h.fleet.record.add("host-%d returns a packet of %v", h.n, key)
		h.fleet.addArrival(key, true)
		h.send(data)
		return
	}
	h.fleet.addArrival(key, false)
	if !fl.open {
		fl.open = true
		h.fleet.record.add("host-%d has the end of the handshake of %v", h.n, key)
	}
	if fl.unacked != nil && int32(p.AckSeq-fl.sent) >= 0 {
		fl.timer.Stop()
		fl.unacked = nil
	}
	if p.Fin && !fl.closed {
		fl.closed = true
		h.send(newPacket(flagFin|flagAck, p.Dst, p.Src, fl.sent, p.Seq+1, ""))
		return
	}
	end := p.Seq + uint32(p.Size)
	if p.Size == 0 || int32(end-fl.received) <= 0 {
		return
	}
	fl.received = end
	from, to, payload := p.Dst, p.Src, string(data[platform.HeaderSize:])
	run := func() {
		h.fleet.record.add("host-%d runs %s", h.n, payload)
		time.AfterFunc(serviceTime, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			response := "answer to " + payload
			flags := byte(flagAck)
			if h.state == "draining" { // Such a host closes each flow after its next response.
				flags |= flagFin
				fl.closed = true
			}
			packet := newPacket(flags, from, to, fl.sent, end, response)
			fl.sent += uint32(len(response))
			h.transmit(fl, packet)
			h.running--
			h.next()
		})
	}
	h.queue = append(h.queue, run)
	h.next()
}

// next runs requests while there are slots.
func (h *host) next() {
	for len(h.queue) > 0 && h.running < slots {
		run := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		run()
	}
}

// transmit sends a packet until it is acknowledged.
func (h *host) transmit(fl *hostFlow, packet []byte) {
	if fl.timer != nil {
		fl.timer.Stop()
	}
	fl.unacked, fl.copies = packet, 0
	delay := firstRetransmit
	h.send(packet)
	var again func()
	again = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if fl.unacked == nil || fl.copies >= maxCopies || h.exited {
			return
		}
		fl.copies++
		h.send(fl.unacked)
		delay = min(2*delay, maxRetransmit)
		fl.timer = time.AfterFunc(delay, again)
	}
	fl.timer = time.AfterFunc(delay, again)
}

// holdsOpen reports whether the host serves and holds the flow as open.
func (h *host) holdsOpen(key flow.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	fl := h.flows[key]
	return fl != nil && fl.open && !fl.closed && !h.exited
}

// took reports whether the host took the opening of a flow.
func (h *host) took(key flow.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flows[key] != nil
}

// holderOf returns the host that holds the flow as open, or nil.
func (f *fleet) holderOf(key flow.Key) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.holdsOpen(key) {
			return h
		}
	}
	return nil
}
