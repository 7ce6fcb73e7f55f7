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

// zoneOutGrace is how long the flows of a zone taken out are still told that
// they are closed. Then nothing is answered.
const zoneOutGrace = 2 * time.Second

// refusedAddr marks packets of a flow that is to be refused, so that the
// QUIC listener answers with CONNECTION_REFUSED.
type refusedAddr struct {
	net.UDPAddr
}

// packetConn joins the tunnel socket, from which callers' packets come, and
// the return socket, to which answers go. It implements net.PacketConn for
// the QUIC transport.
type packetConn struct {
	tunnel      *net.UDPConn
	returns     *net.UDPConn
	incarnation uint16
	views       *atomic.Pointer[View]
	gate        *gate
	counters    *Counters
	reporter    *reporter
	// maxAge is how long a datagram may have waited in the socket's buffer.
	maxAge time.Duration

	// The fields below belong to the goroutine that calls ReadFrom.
	buf        []byte
	control    []byte
	codec      *tunnel.Codec
	keys       *keyring.Keys
	handshakes *handshakes
	peers      *placement.LoadCache[netip.AddrPort]
}

const (
	// peerLoadAge is how long the load of a second choice is remembered.
	peerLoadAge = 5 * time.Second
	// maxPeers bounds the second choices that are remembered.
	maxPeers = 1024
)

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, controlSize, _, _, err := c.tunnel.ReadMsgUDPAddrPort(c.buf, c.control)
		if err != nil {
			return 0, nil, err
		}
		now := time.Now()
		if datagramAge(now, c.control[:controlSize]) > c.maxAge {
			c.counters.add(CauseLateDatagram)
			continue
		}
		payload, addr := c.receive(now, c.buf[:n])
		if addr != nil {
			return copy(p, payload), addr, nil
		}
	}
}

// receive returns the payload to deliver and its caller's address, or no
// address.
func (c *packetConn) receive(now time.Time, datagram []byte) ([]byte, net.Addr) {
	view := c.views.Load()
	if view == nil || !c.refreshKeys(view.Keys) {
		c.counters.add(CauseNotReady)
		return nil, nil
	}
	if quiet(now, view) {
		c.counters.add(CauseZoneOut)
		return nil, nil
	}
	header, payload, err := c.codec.Open(datagram)
	if err != nil {
		c.counters.add(CauseForged)
		return nil, nil
	}
	if header.Service != view.Tag {
		c.counters.add(CauseWrongService)
		return nil, nil
	}
	switch header.Kind {
	case tunnel.KindFlow:
		return c.receiveFlow(&header, payload)
	case tunnel.KindProbe:
		c.reporter.heard(now, header.Entry)
		return nil, nil
	case tunnel.KindNew, tunnel.KindPassed:
		c.reporter.heard(now, header.Entry)
		return c.receiveNew(now, &header, payload, len(datagram))
	default:
		c.counters.add(CauseMalformed)
		return nil, nil
	}
}

// receiveFlow delivers packets of earlier incarnations as well: the QUIC
// transport answers them with a stateless reset, so that the caller reconnects
// at once.
func (c *packetConn) receiveFlow(header *tunnel.Header, payload []byte) ([]byte, net.Addr) {
	if header.Incarnation != c.incarnation {
		c.counters.staleIncarnation.Add(1)
	}
	c.counters.delivered.Add(1)
	return payload, net.UDPAddrFromAddrPort(header.Caller)
}

func (c *packetConn) receiveNew(now time.Time, header *tunnel.Header, payload []byte, size int) ([]byte, net.Addr) {
	packet := quicwire.Parse(payload, connid.Size)
	if packet.Form != quicwire.FormInitial {
		c.counters.add(CauseMalformed)
		return nil, nil
	}
	// The second choice does not pass a flow on, so that there is one hop at
	// most.
	maySpare := header.Kind == tunnel.KindNew && header.Second.IsValid()
	decision := c.handshakes.decide(now, packet.DCID, func() flowDecision {
		second := c.peers.Recent(now, header.Second, uint64(header.SecondLoad))
		return c.gate.decideFlow(maySpare, tunnel.Load(second))
	})
	if decision == flowPassed && !maySpare {
		decision = flowRefused
	}
	caller := net.UDPAddrFromAddrPort(header.Caller)
	switch decision {
	case flowTaken:
		c.counters.delivered.Add(1)
		return payload, caller
	case flowPassed:
		c.pass(header, size)
		return nil, nil
	default:
		c.counters.add(CauseFlowRefused)
		return payload, &refusedAddr{UDPAddr: *caller}
	}
}

// pass sends the datagram in buf on to the second choice.
func (c *packetConn) pass(header *tunnel.Header, size int) {
	passed := *header
	passed.Kind = tunnel.KindPassed
	passed.Second = netip.AddrPort{}
	payload := size - tunnel.HeaderSize - tunnel.TagSize
	datagram := c.codec.Seal(c.buf, payload, &passed)
	c.counters.passed.Add(1)
	_, _ = c.tunnel.WriteToUDPAddrPort(datagram, header.Second)
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

// quiet reports whether the zone was taken out some time ago, so that nothing
// is received and nothing answered.
func quiet(now time.Time, view *View) bool {
	return view.State == tunnel.HostZoneOut && now.Sub(view.Since) > zoneOutGrace
}

// WriteTo implements net.PacketConn. Answers go straight to the caller.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if view := c.views.Load(); view != nil && quiet(time.Now(), view) {
		return len(p), nil
	}
	switch addr := addr.(type) {
	case *net.UDPAddr:
		return c.returns.WriteToUDP(p, addr)
	case *refusedAddr:
		return c.returns.WriteToUDP(p, &addr.UDPAddr)
	default:
		return 0, net.InvalidAddrError("not a caller's address")
	}
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	_ = c.returns.Close()
	return c.tunnel.Close()
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr {
	return c.returns.LocalAddr()
}

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error {
	return c.tunnel.SetDeadline(t)
}

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	return c.tunnel.SetReadDeadline(t)
}

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(t time.Time) error {
	return c.returns.SetWriteDeadline(t)
}
