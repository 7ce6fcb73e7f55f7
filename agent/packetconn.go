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
	self        netip.AddrPort
	incarnation uint16
	views       *atomic.Pointer[View]
	gate        *gate
	counters    *Counters
	interval    time.Duration

	// The fields below belong to the goroutine that calls ReadFrom.
	buf        []byte
	codec      *tunnel.Codec
	keys       *keyring.Keys
	handshakes *handshakes
	reported   map[netip.AddrPort]time.Time
	sequence   uint64
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.tunnel.ReadFromUDPAddrPort(c.buf)
		if err != nil {
			return 0, nil, err
		}
		payload, addr := c.receive(c.buf[:n], from)
		if addr != nil {
			return copy(p, payload), addr, nil
		}
	}
}

// receive returns the payload to deliver and its caller's address, or no
// address.
func (c *packetConn) receive(datagram []byte, _ netip.AddrPort) ([]byte, net.Addr) {
	view := c.views.Load()
	if view == nil || !c.refreshKeys(view.Keys) {
		c.counters.add(CauseNotReady)
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
		c.counters.delivered.Add(1)
		return payload, net.UDPAddrFromAddrPort(header.Caller)
	case tunnel.KindProbe:
		c.report(header.Entry)
		return nil, nil
	case tunnel.KindNew, tunnel.KindPassed:
		c.report(header.Entry)
		return c.receiveNew(&header, payload, len(datagram))
	default:
		c.counters.add(CauseMalformed)
		return nil, nil
	}
}

func (c *packetConn) receiveNew(header *tunnel.Header, payload []byte, size int) ([]byte, net.Addr) {
	packet := quicwire.Parse(payload, connid.Size)
	if packet.Form != quicwire.FormInitial {
		c.counters.add(CauseMalformed)
		return nil, nil
	}
	decision := c.handshakes.decide(time.Now(), packet.DCID, func() flowDecision {
		return c.choose(header)
	})
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

// choose decides on a new flow. The second choice does not pass it on.
func (c *packetConn) choose(header *tunnel.Header) flowDecision {
	mayPass := header.Kind == tunnel.KindNew && header.Second.IsValid()
	room := c.gate.roomForFlow()
	switch {
	case mayPass && (!room || c.lessLoaded(header.SecondLoad)):
		return flowPassed
	case room:
		return flowTaken
	default:
		return flowRefused
	}
}

// lessLoaded reports whether the second choice has the lesser load.
func (c *packetConn) lessLoaded(second tunnel.Load) bool {
	if second == tunnel.UnknownLoad {
		return false
	}
	own := c.gate.report(c.incarnation).Load()
	return placement.PreferSecond(uint64(own), uint64(second))
}

// pass sends the datagram in buf on to the second choice.
func (c *packetConn) pass(header *tunnel.Header, size int) {
	if !header.Second.IsValid() {
		return
	}
	passed := *header
	passed.Kind = tunnel.KindPassed
	passed.Second = netip.AddrPort{}
	payload := size - tunnel.HeaderSize - tunnel.TagSize
	datagram := c.codec.Seal(c.buf, payload, &passed)
	c.counters.passed.Add(1)
	_, _ = c.tunnel.WriteToUDPAddrPort(datagram, header.Second)
}

// report sends the entry a load report, at most one in each interval.
func (c *packetConn) report(entry netip.AddrPort) {
	now := time.Now()
	if !entry.IsValid() || now.Sub(c.reported[entry]) < c.interval {
		return
	}
	if len(c.reported) >= maxReported {
		clear(c.reported)
	}
	c.reported[entry] = now
	c.sequence++
	report := c.gate.report(c.incarnation)
	report.Sequence = c.sequence
	payload, err := tunnel.EncodeReport(report)
	if err != nil {
		return
	}
	buf := make([]byte, tunnel.HeaderSize+len(payload)+tunnel.TagSize)
	copy(buf[tunnel.HeaderSize:], payload)
	datagram := c.codec.Seal(buf, len(payload), &tunnel.Header{
		Kind:     tunnel.KindReport,
		Service:  c.views.Load().Tag,
		Revision: report.Revision,
		Caller:   entry,
		Second:   c.self,
	})
	_, _ = c.tunnel.WriteToUDPAddrPort(datagram, entry)
}

const maxReported = 4096

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

// WriteTo implements net.PacketConn. Answers go straight to the caller.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
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
