//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	readyInterval = 500 * time.Millisecond
	readyTimeout  = 400 * time.Millisecond
	resetWindow   = 76_800
	openTimeLimit = 1400 * time.Millisecond
	// maxData is the most data that a packet carries, in bytes.
	maxData = 1200
)

// router sends the packets of requesters to the entries in rotation, by a hash of the
// flow modulo their number.
type router struct {
	conn    *net.UDPConn
	mu      sync.Mutex
	entries []netip.Addr
	misses  map[netip.Addr]int
}

func newRouter(w *world, entries []netip.Addr) *router {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(kindRouter, 0), 0)))
	w.must(err)
	r := &router{conn: conn, entries: entries, misses: make(map[netip.Addr]int)}
	go r.check()
	return r
}

func (r *router) check() {
	client := &http.Client{Timeout: readyTimeout}
	for {
		for _, e := range r.entries {
			response, err := client.Get("http://" + netip.AddrPortFrom(e, portReady).String() + "/api/ready")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			r.mu.Lock()
			if ok {
				r.misses[e] = 0
			} else {
				r.misses[e]++
			}
			r.mu.Unlock()
		}
		time.Sleep(readyInterval)
	}
}

func (r *router) forward(key flowKey, b []byte) {
	r.mu.Lock()
	var ready []netip.Addr
	for _, e := range r.entries {
		if r.misses[e] < 2 {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(r.entries) {
		ready = r.entries
	}
	r.mu.Unlock()
	hash := uint32(2166136261)
	for _, v := range []uint32{key.requester.addr, uint32(key.requester.port), key.route.addr, uint32(key.route.port)} {
		hash = (hash ^ v) * 16777619
		hash ^= hash >> 13
	}
	to := ready[hash%uint32(len(ready))]
	_, _ = r.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, portPackets)) // A failed send is packet loss.
}

// requester is a client with its own address.
type requester struct {
	w     *world
	addr  uint32
	port  uint16
	conn  *net.UDPConn
	inbox chan []byte
	count int
}

// clientFlow is a requester's end of an open flow.
type clientFlow struct {
	key            flowKey
	next, received uint32
	ended          bool
}

func (w *world) newRequester(n int) *requester {
	ip := w.ip(kindRequester, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portPackets)))
	w.must(err)
	q := &requester{w: w, addr: number(ip), port: 40000, conn: conn, inbox: make(chan []byte, 256)}
	go func() {
		buffer := make([]byte, 2048)
		for {
			size, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			q.inbox <- append([]byte(nil), buffer[:size]...)
		}
	}()
	return q
}

func (q *requester) send(key flowKey, p *packet) {
	p.src, p.dst = key.requester, key.route
	q.w.sent(key, p)
	q.w.router.forward(key, p.encode())
}

// next returns the next packet of the flow, or false at the deadline or, if
// retransmission is not zero, then.
func (q *requester) next(key flowKey, deadline time.Time) (packet, bool) {
	for {
		timer := time.NewTimer(time.Until(deadline))
		select {
		case b := <-q.inbox:
			timer.Stop()
			p, ok := decode(b)
			if !ok || p.src != key.route || p.dst != key.requester {
				continue // Of an earlier flow.
			}
			if own := p.flags == flagRst && p.sum == 0; !own && p.sum != sumOf(b) {
				q.w.record("MIXED requester received %x", b)
				q.w.mixed.Add(1)
				continue
			}
			return p, true
		case <-timer.C:
			return packet{}, false
		}
	}
}

// open opens a flow to a route. It returns nil if that fails.
func (q *requester) open(route end) *clientFlow {
	q.port++
	key := flowKey{requester: end{q.addr, q.port}, route: route}
	initial := q.w.random()
	begin := time.Now()
	for copies, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeLimit} {
		q.send(key, &packet{flags: flagSyn, seq: initial, ack: uint32(copies)})
		for {
			p, ok := q.next(key, begin.Add(after))
			if !ok {
				break
			}
			if p.flags&flagRst != 0 {
				q.w.record("refused %v after %v", key, time.Since(begin).Round(time.Millisecond))
				return nil
			}
			if p.flags&(flagSyn|flagAck) == flagSyn|flagAck {
				return &clientFlow{key: key, next: initial + 1, received: p.seq + 1}
			}
		}
	}
	q.w.record("not opened %v", key)
	return nil
}

// request sends a request with a body of a size in bytes on an open flow and returns what
// came of it.
func (q *requester) request(f *clientFlow, kind string, size int, limit time.Duration) string {
	q.count++
	id := fmt.Sprintf("%s-%d-%d", end{q.addr, 0}.String(), f.key.requester.port, q.count)
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", kind, id, size, strings.Repeat("v", size))
	begin := time.Now()
	q.w.asked(id, f.key)
	deadline, delay, acked := begin.Add(limit), firstRetransmit, 0
	for retransmitAt := begin; ; {
		if !time.Now().Before(retransmitAt) {
			for at := acked; at < len(text); at += maxData {
				q.send(f.key, &packet{flags: flagAck, seq: f.next + uint32(at), ack: f.received, data: []byte(text[at:min(at+maxData, len(text))])})
			}
			retransmitAt = time.Now().Add(delay)
			delay = min(lastRetransmit, 2*delay)
		}
		until := retransmitAt
		if deadline.Before(until) {
			until = deadline
		}
		p, ok := q.next(f.key, until)
		if n := int(p.ack - f.next); ok && p.flags&flagAck != 0 && n > acked && n <= len(text) {
			acked = n
		}
		switch {
		case !ok && !time.Now().Before(deadline):
			return q.w.outcome(id, "no answer", begin)
		case !ok:
			continue
		case p.flags&flagRst != 0:
			if p.seq-f.received+resetWindow > 2*resetWindow {
				continue
			}
			f.ended = true
			if p.sum == 0 {
				q.w.resetOpen(f.key)
				return q.w.outcome(id, "reset by the system", begin)
			}
			return q.w.outcome(id, "reset by the host", begin)
		case len(p.data) > 0 && p.seq == f.received:
			f.next += uint32(len(text))
			f.received += uint32(len(p.data))
			if p.flags&flagFin != 0 {
				f.received++
				f.ended = true
				q.send(f.key, &packet{flags: flagFin | flagAck, seq: f.next, ack: f.received})
			} else {
				q.send(f.key, &packet{flags: flagAck, seq: f.next, ack: f.received})
			}
			if !strings.Contains(string(p.data), "done "+id+" by ") {
				q.w.mixed.Add(1)
				return q.w.outcome(id, "MIXED "+string(p.data), begin)
			}
			return q.w.outcome(id, "200", begin)
		}
	}
}

// finish ends an open flow.
func (q *requester) finish(f *clientFlow) {
	if !f.ended {
		q.send(f.key, &packet{flags: flagFin | flagAck, seq: f.next, ack: f.received})
		f.ended = true
	}
}
