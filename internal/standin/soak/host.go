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

// Bits of a packet's flags, as the platform's pages give them.
const (
	flagReturned = 2
	flagAck      = 4
	flagSyn      = 16
)

// responsePrefix begins the data of an answer, before the service and the number.
const responsePrefix = "answer "

// buildPacket builds a packet as an end of a flow writes it.
func buildPacket(flags byte, from, to flow.Endpoint, seq, ackSeq uint32, data string) []byte {
	p := platform.Codec{}.AppendReset(nil, from, to, seq)
	p[0] = flags
	binary.LittleEndian.PutUint16(p[22:], uint16(len(data)))
	binary.LittleEndian.PutUint32(p[28:], ackSeq)
	return append(p, data...)
}

// host is a backend server: it holds flows until it crashes and returns what it
// does not hold. A request is one packet; its answer names service and number.
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

// startHost starts a host whose flows begin with numbers that are its own.
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
				// A packet that is not sent is as one that is lost.
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

// crash discards all flows. The host answers nothing until it is back.
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
