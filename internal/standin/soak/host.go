package soak

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/platform"
)

// Flag bits of the packet header, as the platform documents them.
const (
	flagReturned = 2
	flagAck      = 4
	flagSyn      = 16
)

// offsetAck is the offset of the field ack in the packet header.
const offsetAck = 28

// responsePrefix and busyPrefix are the start of the data of a response, and of that to a
// request which the host does not run because its queue is full. The service and the
// request's payload follow.
const (
	responsePrefix = "answer "
	busyPrefix     = "busy "
)

const (
	// hostSlots is how many requests a host works on at a time, and hostQueue how many
	// more it accepts.
	hostSlots   = 3
	hostQueue   = 4 * hostSlots
	serviceTime = 20 * time.Millisecond
)

// buildPacket returns a packet as a requester or a host sends it.
func buildPacket(flags byte, from, to flow.Endpoint, seq, ackSeq uint32, data string) []byte {
	p := platform.Codec{}.AppendReset(nil, from, to, seq)
	p[0] = flags
	binary.LittleEndian.PutUint16(p[22:], uint16(len(data)))
	binary.LittleEndian.PutUint32(p[offsetAck:], ackSeq)
	return append(p, data...)
}

// host simulates a backend server. It holds flows until it crashes, and it
// returns packets of flows that it does not hold with flagReturned set. A
// request is a single packet; its response repeats the payload after the name
// of the service. Requests beyond its slots wait in the order of their arrival.
type host struct {
	service  string
	outbound netip.AddrPort
	checker  *checker
	conn     *net.UDPConn
	listen   netip.AddrPort

	mu sync.Mutex
	// health accepts connections while the host is up, by which agents tell that it is.
	health net.Listener
	flows  map[flow.Key]*hostFlow
	seq    uint32
	down   bool
	downAt time.Time
	// accepted is the number of requests in service or queued, and freeAt when each slot
	// has ended what it was given.
	accepted int
	freeAt   [hostSlots]time.Time
}

// hostFlow is a flow that a host holds.
type hostFlow struct {
	// seq is the host's initial sequence number.
	seq uint32
	// end is the number after the last byte received. response answers the request that
	// ends there; it is nil until the request was run.
	end      uint32
	response []byte
}

// startHost starts a host. Its initial sequence numbers are derived from
// hostNumber, so that they differ from those of other hosts.
func startHost(service string, hostNumber uint32, listenAddr, outbound netip.AddrPort, c *checker) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, err
	}
	h := &host{service: service, outbound: outbound, checker: c, conn: conn, listen: listenAddr, flows: make(map[flow.Key]*hostFlow), seq: hostNumber << 27}
	if err := h.acceptConnections(); err != nil {
		return nil, err
	}
	go h.run()
	return h, nil
}

// acceptConnections starts to accept connections, which are closed at once. The caller holds
// mu if the host is in use.
func (h *host) acceptConnections() error {
	listener, err := net.Listen("tcp4", h.listen.String())
	if err != nil {
		return err
	}
	h.health = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close() // Nothing was written.
		}
	}()
	return nil
}

func (h *host) run() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var p flow.Packet
		if (platform.Codec{}).Decode(buffer[:n], &p) {
			h.send(h.receive(&p, buffer[:n]))
		}
	}
}

// send sends a packet, if any, to the agent.
func (h *host) send(packet []byte) {
	if packet == nil {
		return
	}
	if packet[0]&flagReturned == 0 {
		h.checker.packetWritten(packet)
	}
	// A failed send is equivalent to packet loss.
	_, _ = h.conn.WriteToUDPAddrPort(packet, h.outbound)
}

func (h *host) receive(p *flow.Packet, data []byte) []byte {
	if h.isDown() {
		return nil
	}
	key := p.FromRequester()
	h.checker.checkWritten(data)
	h.checker.packetReceived(h, key, p.Opening())
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil
	}
	f, held := h.flows[key]
	switch {
	case p.Opening():
		if !held {
			h.seq += 1 << 20
			f = &hostFlow{seq: h.seq, end: p.Seq + 1}
			h.flows[key] = f
		}
		return buildPacket(flagSyn|flagAck, p.Dst, p.Src, f.seq, p.Seq+1, "")
	case !held || p.AckSeq != f.seq+1:
		data[0] |= flagReturned
		return append([]byte(nil), data...)
	case p.Size > 0:
		h.checker.flowOpened(h, key)
		return h.serve(f, p, string(data[platform.HeaderSize:]))
	default:
		h.checker.flowOpened(h, key)
		return nil
	}
}

// serve accepts a request, if it is none that the host has, and returns what there is to
// send at once. The caller holds mu.
func (h *host) serve(f *hostFlow, p *flow.Packet, payload string) []byte {
	end := p.Seq + uint32(p.Size)
	if int32(end-f.end) <= 0 {
		return f.response
	}
	from, to := p.Dst, p.Src
	respond := func(prefix string) []byte {
		f.response = buildPacket(flagAck, from, to, f.seq+1, end, prefix+h.service+" "+payload)
		return f.response
	}
	f.end, f.response = end, nil
	if h.accepted >= hostSlots+hostQueue {
		return respond(busyPrefix)
	}
	h.accepted++
	h.checker.requestRun(payload)
	slot := 0
	for i := range h.freeAt {
		if h.freeAt[i].Before(h.freeAt[slot]) {
			slot = i
		}
	}
	if now := time.Now(); h.freeAt[slot].Before(now) {
		h.freeAt[slot] = now
	}
	h.freeAt[slot] = h.freeAt[slot].Add(serviceTime)
	key := p.FromRequester()
	time.AfterFunc(time.Until(h.freeAt[slot]), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.flows[key] == f { // The host has not crashed since.
			h.accepted--
			h.send(respond(responsePrefix))
		}
	})
	return nil
}

// crash discards all flows. The host ignores all packets until it is restored.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows, h.accepted, h.freeAt = make(map[flow.Key]*hostFlow), 0, [hostSlots]time.Time{}
	h.down, h.downAt = true, time.Now()
	_ = h.health.Close() // A listener that is closed already refuses connections, too.
}

func (h *host) restore() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return
	}
	h.down = false
	if err := h.acceptConnections(); err != nil {
		h.checker.addViolationLocked("LOST", "a host could not be restored: "+err.Error())
	}
}

func (h *host) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// holdsFrom reports whether the host is up and holds the flow with the given initial sequence
// number.
func (h *host) holdsFrom(key flow.Key, seq uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return f != nil && f.seq == seq && !h.down
}

// holds reports whether the host is up and holds the flow.
func (h *host) holds(key flow.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, held := h.flows[key]
	return held && !h.down
}
