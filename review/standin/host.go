//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
	heartbeat       = 1200 * time.Millisecond
)

// host is a server. It answers each request with its name, after its work.
type host struct {
	w                    *world
	id, service, zone    string
	ip                   netip.Addr
	work                 time.Duration
	slots                chan struct{}
	conn                 *net.UDPConn
	health               *http.Server
	born                 int64
	outbound, appAddress netip.AddrPort

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	draining bool
	gone     bool
	paused   bool
	sequence int
	written  string
}

// hostFlow is a flow that a host holds.
type hostFlow struct {
	initialSeq, next, received uint32
	open, ended                bool
	// partial is the part of a request that has arrived.
	partial string
	// unacked is the last packet that was sent and calls for an acknowledgement.
	unacked *packet
}

func (w *world) startHost(id, service, zone string, ip netip.Addr, work time.Duration, slots int) *host {
	h := &host{
		w: w, id: id, service: service, zone: zone, ip: ip, work: work, slots: make(chan struct{}, slots),
		flows: make(map[flowKey]*hostFlow), born: time.Now().UnixMilli(),
		outbound: netip.AddrPortFrom(ip, portOutbound), appAddress: netip.AddrPortFrom(ip, portApp),
	}
	var err error
	h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.appAddress))
	w.must(err)
	listener, err := net.Listen("tcp4", h.appAddress.String())
	w.must(err)
	h.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = h.health.Serve(listener) }()
	go h.read()
	h.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			if !h.beat() {
				return
			}
		}
	}()
	w.hosts = append(w.hosts, h)
	return h
}

// entryFields returns what the host says of itself in the store, without its sequence.
func (h *host) entryFields() map[string]any {
	state := "ready"
	if h.draining {
		state = "draining"
	}
	return map[string]any{
		"backend": h.service, "address": h.appAddress.String(), "zone": h.zone, "version": "v1",
		"concurrency": cap(h.slots), "state": state, "warmup_left_ms": 0, "born": h.born,
	}
}

// beat writes the host's entry if more than its sequence changed.
func (h *host) beat() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return false
	}
	if h.paused {
		return true
	}
	h.sequence++
	fields := h.entryFields()
	text, _ := json.Marshal(fields)
	if string(text) == h.written {
		return true
	}
	h.written = string(text)
	fields["sequence"] = h.sequence
	text, _ = json.Marshal(fields)
	h.w.store.put("servers/"+h.id, text)
	h.w.record("entry servers/%s %s", h.id, text)
	return true
}

// drain reports that the host is draining, and returns when the store has accepted it.
func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.beat()
}

// leave ends the host. It returns the requests that it had taken and not answered.
func (h *host) leave() (unanswered []string) {
	h.mu.Lock()
	h.gone = true
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
	h.w.store.remove("servers/" + h.id)
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	for id, run := range h.w.runs {
		if run.host == h && run.answered.IsZero() {
			unanswered = append(unanswered, id)
		}
	}
	return unanswered
}

func (h *host) send(p *packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), h.outbound) // A failed send is packet loss.
}

func (h *host) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || p.sum != sumOf(buffer[:n]) || p.flags&flagBounced != 0 {
			h.w.record("UNASKED host %s received %x", h.id, buffer[:n])
			h.w.unasked.Add(1)
			continue
		}
		h.receive(&p, buffer[:n])
	}
}

func (h *host) bounce(raw []byte) {
	b := append([]byte(nil), raw...)
	b[0] |= flagBounced
	b[1] = 0
	_, _ = h.conn.WriteToUDPAddrPort(b, h.outbound)
}

// receive processes a packet of a requester.
func (h *host) receive(p *packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := flowKey{requester: p.src, route: p.dst}
	h.w.arrived(h, key, p)
	f := h.flows[key]
	if p.flags&(flagSyn|flagAck) == flagSyn {
		if f == nil {
			f = &hostFlow{initialSeq: h.w.random(), received: p.seq + 1}
			f.next = f.initialSeq + 1
			h.flows[key] = f
		}
		h.send(&packet{flags: flagSyn | flagAck, src: key.route, dst: key.requester, seq: f.initialSeq, ack: f.received})
		return
	}
	if f == nil || !f.open && p.ack != f.initialSeq+1 {
		h.bounce(raw)
		return
	}
	if !f.open {
		f.open = true
		h.w.flowOpened(h, key)
	}
	if f.unacked != nil && p.ack == f.next {
		f.unacked = nil
	}
	ack := &packet{flags: flagAck, src: key.route, dst: key.requester, seq: f.next, ack: f.received}
	switch {
	case p.flags&flagRst != 0:
		delete(h.flows, key)
	case f.ended && len(p.data) > 0:
		h.send(&packet{flags: flagRst, src: key.route, dst: key.requester, seq: f.next})
	case len(p.data) > 0 && p.seq == f.received:
		f.received += uint32(len(p.data))
		f.partial += string(p.data)
		if isWhole(f.partial) {
			go h.run(key, f, f.partial)
			f.partial = ""
			return
		}
		ack.ack = f.received
		h.send(ack)
	case len(p.data) > 0:
		h.send(ack) // A duplicate.
	case p.flags&flagFin != 0:
		if p.seq == f.received {
			f.received++
		}
		f.ended = true
		ack.ack = f.received
		h.send(ack)
		h.w.flowEnded(key)
	}
}

// isWhole reports whether the text is a request with all of its body.
func isWhole(text string) bool {
	head, body, found := strings.Cut(text, "\r\n\r\n")
	_, length, _ := strings.Cut(head, "Content-Length: ")
	n, err := strconv.Atoi(length)
	return found && err == nil && len(body) >= n
}

// run executes a request and sends its response until it is acknowledged.
func (h *host) run(key flowKey, f *hostFlow, request string) {
	_, rest, _ := strings.Cut(request, "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	h.w.runBegun(h, id)
	h.slots <- struct{}{}
	time.Sleep(h.work)
	<-h.slots
	body := "done " + id + " by " + h.service + "\n"
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return
	}
	p := &packet{flags: flagAck, src: key.route, dst: key.requester, seq: f.next, ack: f.received, data: []byte(text)}
	f.next += uint32(len(text))
	if h.draining {
		p.flags |= flagFin
		f.next++
		f.ended = true
		h.w.flowEnded(key)
	}
	f.unacked = p
	h.send(p)
	h.w.runEnded(id)
	go h.retransmit(f, p)
}

func (h *host) retransmit(f *hostFlow, p *packet) {
	delay := firstRetransmit
	for range maxRetransmits {
		time.Sleep(delay)
		delay = min(lastRetransmit, 2*delay)
		h.mu.Lock()
		if f.unacked != p || h.gone {
			h.mu.Unlock()
			return
		}
		h.send(p)
		h.mu.Unlock()
	}
}
