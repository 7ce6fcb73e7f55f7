package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// requester is a machine of callers. It opens flows from successive ports.
type requester struct {
	lab  *lab
	ip   netip.Addr
	zone string
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan received
}

// received is a packet that a requester got from a machine.
type received struct {
	packet
	from netip.Addr
}

// outcome is what became of a request.
type outcome string

const (
	answered outcome = "answered"
	refused  outcome = "refused"   // Reset, or not opened in time: nothing has run.
	reset    outcome = "reset"     // Reset on an open flow.
	timedOut outcome = "timed out" // No answer within the time limit.
)

func startRequester(l *lab, n int, zone string) (*requester, error) {
	r := &requester{lab: l, ip: l.ip(kindRequester, n), zone: zone, port: 1024, flows: make(map[uint16]chan received)}
	var err error
	r.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.ip, l.port(portPackets))))
	if err == nil {
		go r.read()
	}
	return r, err
}

func (r *requester) read() {
	b := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			r.lab.record.note("MIXED: requester %v got a packet that its sender didn't write so", r.ip)
			continue
		}
		r.mu.Lock()
		inbox := r.flows[p.dstPort]
		r.mu.Unlock()
		select {
		case inbox <- received{p, from.Addr()}:
		default: // The flow has ended, or does not read.
		}
	}
}

// clientFlow is a requester's end of a flow.
type clientFlow struct {
	r        *requester
	key      flowKey
	inbox    chan received
	seq, ack uint32
	// resetBy is the machine that sent the reset that ended the flow.
	resetBy netip.Addr
}

// open sends the opening of a new flow and its copies. It returns nil if the flow does not
// open.
func (r *requester) open(route netip.AddrPort) *clientFlow {
	r.mu.Lock()
	r.port++
	f := &clientFlow{r: r, key: flowKey{netip.AddrPortFrom(r.ip, r.port), route}, inbox: make(chan received, 64), seq: 1000}
	r.flows[r.port] = f.inbox
	r.mu.Unlock()
	copies := []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	for n, wait := range copies {
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-timer:
				waiting = false
			case p := <-f.inbox:
				if p.is(flagRst) {
					f.end()
					return nil
				}
				if p.is(flagSyn | flagAck) {
					f.seq, f.ack = f.seq+1, p.seq+1
					return f
				}
			}
		}
		if n < len(copies)-1 {
			f.send(flagSyn, f.seq, uint32(n), "")
		}
	}
	f.end()
	return nil
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data string) {
	p := packet{flags: flags, src: f.key.requester.Addr(), srcPort: f.key.requester.Port(), dst: f.key.route.Addr(), dstPort: f.key.route.Port(), seq: seq, ack: ack, data: data}
	_, _ = f.r.conn.WriteToUDPAddrPort(p.encode(), f.r.lab.router.entryFor(f.r.zone, f.key).addr(portPackets))
}

// resetWindow is how far the number of a reset may be from the requester's last
// acknowledgement.
const resetWindow = 76_800

// request sends a request on the open flow and awaits the answer.
func (f *clientFlow) request(id string, limit time.Duration) outcome {
	data := "GET /work HTTP/1.1\r\nHost: service\r\nX-Request-Id: " + id + "\r\n\r\n"
	end := f.seq + uint32(len(data))
	deadline := time.After(limit)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		f.send(flagAck, f.seq, f.ack, data)
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-deadline:
				return timedOut
			case <-again:
				waiting = false
			case p := <-f.inbox:
				switch {
				case p.is(flagRst) && p.seq-f.ack+resetWindow <= 2*resetWindow:
					f.resetBy = p.from
					return reset
				case p.data != "" && p.ack == end:
					if between(p.data, "X-Request-Id: ", "\r\n") != id {
						f.r.lab.record.note("MIXED: %s got the answer to another request", id)
					}
					f.seq, f.ack = end, p.seq+uint32(len(p.data))
					f.send(flagAck, f.seq, f.ack, "")
					return answered
				}
			}
		}
	}
}

// close ends the flow from the requester's side.
func (f *clientFlow) close() {
	f.send(flagFin|flagAck, f.seq, f.ack, "")
	f.end()
}

func (f *clientFlow) end() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	delete(f.r.flows, f.key.requester.Port())
}

func (k flowKey) String() string { return fmt.Sprintf("%v>%v", k.requester, k.route) }
