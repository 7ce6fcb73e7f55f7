package entry

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// reportReader authenticates and decodes datagrams received on the tunnel
// socket.
type reportReader struct {
	self  netip.AddrPort
	ring  *keyring.Ring
	codec *tunnel.Codec
	keys  *keyring.Keys
}

// readReports receives load reports and posts them to the control goroutine
// until the socket is closed.
func (e *Entry) readReports(conn *net.UDPConn) {
	reader := &reportReader{self: e.config.Self.Addr, ring: e.ring}
	buf := make([]byte, tunnel.MaxDatagram+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		event, verdict := reader.read(buf[:n], from)
		if verdict == ReportAccepted && !e.engine.Post(event) {
			verdict = ReportQueueFull
		}
		if verdict != ReportAccepted {
			e.counters.countReport(verdict)
		}
	}
}

// read returns the event for a datagram, or the verdict with which it is
// rejected. Checks against the VM list and earlier reports are left to the
// control goroutine.
func (r *reportReader) read(datagram []byte, from netip.AddrPort) (ReportReceived, ReportVerdict) {
	if !r.refreshKeys() {
		return ReportReceived{}, ReportForged
	}
	header, payload, err := r.codec.Open(datagram)
	if err != nil {
		return ReportReceived{}, ReportForged
	}
	if header.Kind != tunnel.KindReport {
		return ReportReceived{}, ReportMalformed
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if header.Second != from || header.Caller != r.self {
		return ReportReceived{}, ReportMisaddressed
	}
	report, err := tunnel.DecodeReport(payload)
	if err != nil {
		return ReportReceived{}, ReportMalformed
	}
	return ReportReceived{Agent: from, Service: header.Service, Report: report}, ReportAccepted
}

func (r *reportReader) refreshKeys() bool {
	current := r.ring.Load()
	if current == r.keys {
		return true
	}
	codec, err := tunnel.NewCodec(current)
	if err != nil {
		return false
	}
	r.codec, r.keys = codec, current
	return true
}

// probeSender sends probes from the socket on which reports arrive. It is used
// only by the control goroutine.
type probeSender struct {
	self  netip.AddrPort
	conn  *net.UDPConn
	ring  *keyring.Ring
	codec *tunnel.Codec
	keys  *keyring.Keys
	buf   []byte
}

func newProbeSender(self netip.AddrPort, ring *keyring.Ring) *probeSender {
	return &probeSender{
		self: self,
		ring: ring,
		buf:  make([]byte, tunnel.HeaderSize+tunnel.TagSize),
	}
}

// send sends the probe and reports whether it succeeded.
func (s *probeSender) send(probe Probe) bool {
	if s.conn == nil {
		return false
	}
	if current := s.ring.Load(); current != s.keys {
		codec, err := tunnel.NewCodec(current)
		if err != nil {
			return false
		}
		s.codec, s.keys = codec, current
	}
	datagram := s.codec.Seal(s.buf, 0, &tunnel.Header{
		Kind:     tunnel.KindProbe,
		Service:  probe.Service,
		Revision: probe.Revision,
		Caller:   s.self,
		Entry:    s.self,
	})
	_, err := s.conn.WriteToUDPAddrPort(datagram, probe.Agent)
	return err == nil
}
