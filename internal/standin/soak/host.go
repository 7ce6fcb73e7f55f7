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

// responsePrefix is the start of a response's data. The service and the
// request's payload follow.
const responsePrefix = "answer "

// buildPacket returns a packet as a requester or a host sends it.
func buildPacket(flags byte, from, to flow.Endpoint, seq, ackSeq uint32, data string) []byte {
	p := platform.Codec{}.AppendReset(nil, from, to, seq)
	p[0] = flags
	binary.LittleEndian.PutUint16(p[22:], uint16(len(data)))
	binary.LittleEndian.PutUint32(p[28:], ackSeq)
	return append(p, data...)
}

// host simulates a backend server. It holds flows until it crashes, and it
// returns packets of flows that it does not hold with flagReturned set. A
// request is a single packet; its response repeats the payload after the name
// of the service.
type host struct {
	service  string
	outbound netip.AddrPort
	checker  *checker
	conn     *net.UDPConn

	mu     sync.Mutex
	flows  map[flow.Key]uint32
	seq    uint32
	down   bool
	downAt time.Time
}

// startHost starts a host. Its initial sequence numbers are derived from
// hostNumber, so that they differ from those of other hosts.
func startHost(service string, hostNumber uint32, listenAddr, outbound netip.AddrPort, c *checker) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, err
	}
	h := &host{service: service, outbound: outbound, checker: c, conn: conn, flows: make(map[flow.Key]uint32), seq: hostNumber << 27}
	go h.run()
	return h, nil
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
			if response := h.receive(&p, buffer[:n]); response != nil {
				// A failed send is equivalent to packet loss.
				_, _ = h.conn.WriteToUDPAddrPort(response, h.outbound)
			}
		}
	}
}

func (h *host) receive(p *flow.Packet, data []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil
	}
	key := p.FromRequester()
	h.checker.packetReceived(h, key, p.Opening())
	seq, held := h.flows[key]
	switch {
	case p.Opening():
		if !held {
			h.seq += 1 << 20
			seq = h.seq
			h.flows[key] = seq
		}
		return buildPacket(flagSyn|flagAck, p.Dst, p.Src, seq, p.Seq+1, "")
	case !held || p.AckSeq != seq+1:
		data[0] |= flagReturned
		return append([]byte(nil), data...)
	case p.Size > 0:
		h.checker.flowOpened(h, key)
		payload := string(data[platform.HeaderSize:])
		return buildPacket(flagAck, p.Dst, p.Src, seq+1, p.Seq+uint32(p.Size), responsePrefix+h.service+" "+payload)
	default:
		h.checker.flowOpened(h, key)
		return nil
	}
}

// crash discards all flows. The host ignores all packets until it is restored.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows = make(map[flow.Key]uint32)
	h.down, h.downAt = true, time.Now()
}

func (h *host) restore() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = false
}

// holds reports whether the host is up and holds the flow.
func (h *host) holds(key flow.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, held := h.flows[key]
	return held && !h.down
}
