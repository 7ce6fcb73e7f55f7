package agent

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/internal/quicwire"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/tunnel"
)

// zoneOutGrace is how long packets are still handled after the zone was taken out
// of service, so that callers learn that their flows are closed. After that, no
// packet is received or sent.
const zoneOutGrace = 2 * time.Second

// refusedAddr marks the packets of a flow that is to be refused. The QUIC listener
// then responds with CONNECTION_REFUSED.
type refusedAddr struct {
	net.UDPAddr
}

// packetConn implements net.PacketConn for the QUIC transport on two sockets: it
// reads the callers' packets that entries send through the tunnel, and writes the
// packets to callers on the return socket.
type packetConn struct {
	tunnelSocket *net.UDPConn
	returnSocket *net.UDPConn
	incarnation  uint16
	currentView  *atomic.Pointer[View]
	admitter     *admitter
	counters     *Counters
	reporter     *reporter
	// maxAge is the maximum time that a datagram may have waited in the socket's
	// receive buffer. Older ones are dropped.
	maxAge time.Duration

	// Only the goroutine that calls ReadFrom uses the fields below.
	buf         []byte
	controlBuf  []byte
	codec       *tunnel.Codec
	keys        *keyring.Keys
	decisions   *decisionCache
	secondLoads *placement.LoadCache[netip.AddrPort]
}

const (
	// secondLoadMaxAge is how long the load of a second choice is kept.
	secondLoadMaxAge = 5 * time.Second
	// maxSecondLoads bounds the number of second choices whose load is kept.
	maxSecondLoads = 1024
)

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, controlLen, _, _, err := c.tunnelSocket.ReadMsgUDPAddrPort(c.buf, c.controlBuf)
		if err != nil {
			return 0, nil, err
		}
		now := time.Now()
		if datagramAge(now, c.controlBuf[:controlLen]) > c.maxAge {
			c.counters.add(CauseLateDatagram)
			continue
		}
		payload, addr := c.receive(now, c.buf[:n])
		if addr != nil {
			return copy(p, payload), addr, nil
		}
	}
}

// receive returns the payload to deliver to the QUIC transport and the caller's
// address, or a nil address when there is nothing to deliver.
func (c *packetConn) receive(now time.Time, datagram []byte) ([]byte, net.Addr) {
	view := c.currentView.Load()
	if view == nil || !c.refreshKeys(view.Keys) {
		c.counters.add(CauseNotReady)
		return nil, nil
	}
	if zoneOutGraceOver(now, view) {
		c.counters.add(CauseZoneOut)
		return nil, nil
	}
	header, payload, err := c.codec.Open(datagram)
	if err != nil {
		c.counters.add(CauseForged)
		return nil, nil
	}
	if header.Service != view.ServiceTag {
		c.counters.add(CauseWrongService)
		return nil, nil
	}
	switch header.Kind {
	case tunnel.KindFlow:
		return c.receiveEstablished(&header, payload)
	case tunnel.KindProbe:
		c.reporter.recordContact(now, header.Entry)
		return nil, nil
	case tunnel.KindNew, tunnel.KindRelayed:
		c.reporter.recordContact(now, header.Entry)
		return c.receiveNew(now, &header, payload, len(datagram))
	default:
		c.counters.add(CauseMalformed)
		return nil, nil
	}
}

// receiveEstablished handles a packet of an established flow. Packets of earlier
// incarnations of the agent are delivered as well: the QUIC transport responds to
// them with a stateless reset, so that the caller reconnects at once.
func (c *packetConn) receiveEstablished(header *tunnel.Header, payload []byte) ([]byte, net.Addr) {
	if header.Incarnation != c.incarnation {
		c.counters.staleIncarnation.Add(1)
	}
	c.counters.delivered.Add(1)
	return payload, net.UDPAddrFromAddrPort(header.Caller)
}

// receiveNew handles a packet of a flow that has no owner yet: it delivers the
// packet when the flow is accepted, forwards it to the second choice, or delivers
// it with a *refusedAddr when the flow is refused.
func (c *packetConn) receiveNew(now time.Time, header *tunnel.Header, payload []byte, size int) ([]byte, net.Addr) {
	packet := quicwire.Parse(payload, connid.Size)
	if packet.Form != quicwire.FormInitial {
		c.counters.add(CauseMalformed)
		return nil, nil
	}
	// The second choice does not forward a flow, so that there is at most one
	// forwarding hop.
	canForward := header.Kind == tunnel.KindNew && header.Second.IsValid()
	decision := c.decisions.decide(now, packet.DCID, func() flowDecision {
		secondLoad := c.secondLoads.Recent(now, header.Second, uint64(header.SecondLoad))
		return c.admitter.decideFlow(canForward, tunnel.Load(secondLoad))
	})
	if decision == flowForwarded && !canForward {
		decision = flowRefused
	}
	caller := net.UDPAddrFromAddrPort(header.Caller)
	switch decision {
	case flowAccepted:
		c.counters.delivered.Add(1)
		return payload, caller
	case flowForwarded:
		c.forward(header, size)
		return nil, nil
	default:
		c.counters.add(CauseFlowRefused)
		return payload, &refusedAddr{UDPAddr: *caller}
	}
}

// forward sends the datagram in c.buf, of the given size in bytes, to the second
// choice.
func (c *packetConn) forward(header *tunnel.Header, size int) {
	forwarded := *header
	forwarded.Kind = tunnel.KindRelayed
	forwarded.Second = netip.AddrPort{}
	payload := size - tunnel.HeaderSize - tunnel.TagSize
	datagram := c.codec.Seal(c.buf, payload, &forwarded)
	c.counters.forwarded.Add(1)
	_, _ = c.tunnelSocket.WriteToUDPAddrPort(datagram, header.Second)
}

func (c *packetConn) refreshKeys(keys *keyring.Keys) bool {
	if keys == c.keys {
		return true
	}
	codec, err := tunnel.NewCodec(keys)
	if err != nil {
		return false
	}
	c.codec, c.keys = codec, keys
	return true
}

// zoneOutGraceOver reports whether the zone has been out of service for more than
// zoneOutGrace.
func zoneOutGraceOver(now time.Time, view *View) bool {
	return view.State == tunnel.HostZoneOut && now.Sub(view.Since) > zoneOutGrace
}

// WriteTo implements net.PacketConn. Packets go directly to the caller and not
// through an entry.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if view := c.currentView.Load(); view != nil && zoneOutGraceOver(time.Now(), view) {
		return len(p), nil
	}
	switch addr := addr.(type) {
	case *net.UDPAddr:
		return c.returnSocket.WriteToUDP(p, addr)
	case *refusedAddr:
		return c.returnSocket.WriteToUDP(p, &addr.UDPAddr)
	default:
		return 0, net.InvalidAddrError("not a caller's address")
	}
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	_ = c.returnSocket.Close()
	return c.tunnelSocket.Close()
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr {
	return c.returnSocket.LocalAddr()
}

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error {
	return c.tunnelSocket.SetDeadline(t)
}

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	return c.tunnelSocket.SetReadDeadline(t)
}

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(t time.Time) error {
	return c.returnSocket.SetWriteDeadline(t)
}
