package agent

import (
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/internal/quicwire"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// openPacketConn returns an agent with open sockets and no QUIC transport.
func openPacketConn(t *testing.T, backend string) (*Agent, *packetConn) {
	t.Helper()
	a, _ := newTestAgent(t, backend, func(c *Config) {
		c.Self.Addr = loopback
		c.ReturnAddr = loopback
	})
	conn, err := a.openSockets()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return a, conn
}

func tunnelAddr(c *packetConn) netip.AddrPort {
	return c.tunnelSocket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// initialPacket returns a packet with the header of a QUIC Initial packet up to
// the destination connection ID.
func initialPacket(id string) []byte {
	packet := make([]byte, quicwire.MinInitialSize)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, byte(len(id))})
	copy(packet[6:], id)
	return packet
}

// seal returns a tunnel datagram as an entry sends it. It is stored in c's receive
// buffer, as forwarding requires.
func seal(t *testing.T, c *packetConn, header tunnel.Header, payload []byte) []byte {
	t.Helper()
	codec, err := tunnel.NewCodec(newTestView().Keys)
	must.NoError(t, err)
	buf := make([]byte, tunnel.MaxDatagram)
	copy(buf[tunnel.HeaderSize:], payload)
	return c.buf[:copy(c.buf, codec.Seal(buf, len(payload), &header))]
}

func newHeader(kind tunnel.Kind) tunnel.Header {
	return tunnel.Header{
		Kind:    kind,
		Service: testID.Tag(),
		Caller:  netip.MustParseAddrPort("127.0.0.1:9"),
		Second:  netip.MustParseAddrPort("127.0.0.1:9"),
	}
}

func TestInvalidDatagramsAreCountedByCause(t *testing.T) {
	a, c := openPacketConn(t, "http://127.0.0.1:9")
	good := newHeader(tunnel.KindFlow)
	wrong := good
	wrong.Service++
	forged := seal(t, c, good, []byte("packet"))
	forged[20] ^= 1
	tests := []struct {
		name     string
		datagram func() []byte
		cause    Cause
	}{
		{name: "empty", datagram: func() []byte { return nil }, cause: CauseForged},
		{name: "truncated", datagram: func() []byte { return seal(t, c, good, []byte("packet"))[:30] }, cause: CauseForged},
		{name: "cut by a byte", datagram: func() []byte { d := seal(t, c, good, []byte("packet")); return d[:len(d)-1] }, cause: CauseForged},
		{name: "forged", datagram: func() []byte { d := seal(t, c, good, []byte("packet")); d[20] ^= 1; return d }, cause: CauseForged},
		{name: "other service", datagram: func() []byte { return seal(t, c, wrong, []byte("packet")) }, cause: CauseWrongService},
		{name: "report", datagram: func() []byte { return seal(t, c, newHeader(tunnel.KindReport), []byte("packet")) }, cause: CauseMalformed},
		{name: "unknown kind", datagram: func() []byte { return seal(t, c, newHeader(9), []byte("packet")) }, cause: CauseMalformed},
		{name: "no first packet", datagram: func() []byte { return seal(t, c, newHeader(tunnel.KindNew), []byte("packet")) }, cause: CauseMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := a.counters.Count(test.cause)
			_, addr := c.receive(time.Now(), test.datagram())
			must.Nil(t, addr)
			must.Eq(t, before+1, a.counters.Count(test.cause))
		})
	}
	_, addr := c.receive(time.Now(), seal(t, c, good, []byte("packet")))
	must.NotNil(t, addr)
	must.Eq(t, 1, a.counters.staleIncarnation.Load())
}

// TestFlowDecisionIsKeptAndForwardedOnce checks that the decision on a flow does
// not change when the host's state changes between the packets of one handshake,
// and that a flow is forwarded at most once.
func TestFlowDecisionIsKeptAndForwardedOnce(t *testing.T) {
	a, c := openPacketConn(t, "http://127.0.0.1:9")
	setState := func(state tunnel.HostState) {
		view := newTestView()
		view.State = state
		a.currentView.Store(view)
	}
	receive := func(kind tunnel.Kind, id string) net.Addr {
		_, addr := c.receive(time.Now(), seal(t, c, newHeader(kind), initialPacket(id)))
		return addr
	}
	accepted, ok := receive(tunnel.KindNew, "taken---").(*net.UDPAddr)
	must.True(t, ok)
	must.Eq(t, 9, accepted.Port)
	setState(tunnel.HostLeaving)
	_, ok = receive(tunnel.KindNew, "taken---").(*net.UDPAddr)
	must.True(t, ok)
	must.Nil(t, receive(tunnel.KindNew, "passed--"))
	must.Eq(t, 1, a.counters.Forwarded())
	_, refused := receive(tunnel.KindRelayed, "refused-").(*refusedAddr)
	must.True(t, refused)
	setState(tunnel.HostServing)
	must.Nil(t, receive(tunnel.KindNew, "passed--"))
	must.Eq(t, 2, a.counters.Forwarded())
	// A forwarded flow that comes back is not forwarded again.
	_, refused = receive(tunnel.KindRelayed, "passed--").(*refusedAddr)
	must.True(t, refused)
	must.Eq(t, 2, a.counters.Forwarded())
}

func TestDecisionCacheIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	cache := newDecisionCache(now)
	refuse := func() flowDecision { return flowRefused }
	for i := range 3 * maxDecisions {
		cache.decide(now, []byte(strconv.Itoa(i)), refuse)
	}
	must.LessEq(t, maxDecisions, len(cache.current)+len(cache.previous))
	must.Eq(t, flowAccepted, cache.decide(now, []byte("new"), func() flowDecision { return flowAccepted }))
	must.Eq(t, flowAccepted, cache.decide(now.Add(decisionTTL), []byte("new"), refuse))
	must.Eq(t, flowRefused, cache.decide(now.Add(5*decisionTTL), []byte("other"), refuse))
	must.Eq(t, flowRefused, cache.decide(now.Add(10*decisionTTL), []byte("new"), refuse))
}

func TestZoneOutStopsResponding(t *testing.T) {
	a, c := openPacketConn(t, "http://127.0.0.1:9")
	view := newTestView()
	view.State = tunnel.HostZoneOut
	a.currentView.Store(view)
	_, addr := c.receive(view.Since, seal(t, c, newHeader(tunnel.KindFlow), []byte("packet")))
	must.NotNil(t, addr)
	after := view.Since.Add(zoneOutGrace + time.Second)
	_, addr = c.receive(after, seal(t, c, newHeader(tunnel.KindFlow), []byte("packet")))
	must.Nil(t, addr)
	must.Eq(t, 1, a.counters.Count(CauseZoneOut))
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	defer func() { _ = caller.Close() }()
	view = newTestView()
	view.State = tunnel.HostZoneOut
	view.Since = time.Now().Add(-time.Hour)
	a.currentView.Store(view)
	_, err = c.WriteTo([]byte("late"), caller.LocalAddr())
	must.NoError(t, err)
	a.currentView.Store(newTestView())
	_, err = c.WriteTo([]byte("back"), caller.LocalAddr())
	must.NoError(t, err)
	buf := make([]byte, 10)
	n, err := caller.Read(buf)
	must.NoError(t, err)
	must.Eq(t, "back", string(buf[:n]))
}

// TestDatagramAgeIsKnown checks that the kernel's receive timestamp is read.
func TestDatagramAgeIsKnown(t *testing.T) {
	_, c := openPacketConn(t, "http://127.0.0.1:9")
	sender, err := net.Dial("udp4", tunnelAddr(c).String())
	must.NoError(t, err)
	defer func() { _ = sender.Close() }()
	_, err = sender.Write([]byte("packet"))
	must.NoError(t, err)
	_, size, _, _, err := c.tunnelSocket.ReadMsgUDPAddrPort(c.buf, c.controlBuf)
	must.NoError(t, err)
	later := time.Now().Add(time.Hour)
	must.Greater(t, 59*time.Minute, datagramAge(later, c.controlBuf[:size]))
	must.Eq(t, 0, datagramAge(later, nil))
}

// TestLateDatagramIsDropped sets a negative maximum age, so that every datagram
// counts as one that waited while the process was paused.
func TestLateDatagramIsDropped(t *testing.T) {
	a, c := openPacketConn(t, "http://127.0.0.1:9")
	c.maxAge = -time.Hour
	datagram := seal(t, c, newHeader(tunnel.KindFlow), []byte("packet"))
	sender, err := net.Dial("udp4", tunnelAddr(c).String())
	must.NoError(t, err)
	defer func() { _ = sender.Close() }()
	_, err = sender.Write(datagram)
	must.NoError(t, err)
	ended := make(chan error)
	go func() {
		_, _, err := c.ReadFrom(make([]byte, tunnel.MaxDatagram))
		ended <- err
	}()
	for a.counters.Count(CauseLateDatagram)+a.counters.Delivered() == 0 {
		runtime.Gosched()
	}
	must.Eq(t, 0, a.counters.Delivered())
	must.NoError(t, c.Close())
	must.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestStateChangeIsReportedAtOnce checks that a state change is reported to an
// entry that received a report less than the report interval ago.
func TestStateChangeIsReportedAtOnce(t *testing.T) {
	a, c := openPacketConn(t, "http://127.0.0.1:9")
	entry, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	defer func() { _ = entry.Close() }()
	addr := entry.LocalAddr().(*net.UDPAddr).AddrPort()
	codec, err := tunnel.NewCodec(newTestView().Keys)
	must.NoError(t, err)
	read := func() tunnel.Report {
		buf := make([]byte, tunnel.MaxDatagram)
		n, err := entry.Read(buf)
		must.NoError(t, err)
		_, payload, err := codec.Open(buf[:n])
		must.NoError(t, err)
		report, err := tunnel.DecodeReport(payload)
		must.NoError(t, err)
		return report
	}
	now := time.Now()
	c.reporter.recordContact(now, addr)
	c.reporter.recordContact(now, addr)
	must.Eq(t, tunnel.HostServing, read().State)
	view := newTestView()
	view.State = tunnel.HostLeaving
	a.currentView.Store(view)
	a.announce()
	report := read()
	must.Eq(t, tunnel.HostLeaving, report.State)
	must.Eq(t, 2, report.Sequence)
}

// alternatingEntry is an entry that sends the packets of new flows to its agents
// in turn, as entries with different views of the fleet would. The first packet is
// held back until the second arrives, so that each of two agents always gets one.
type alternatingEntry struct {
	conn          *net.UDPConn
	agents        []netip.AddrPort
	sent          int
	pending       []byte
	reachedAgents sync.Map
}

func (e *alternatingEntry) run(t *testing.T, service uint32) {
	codec, err := tunnel.NewCodec(newTestView().Keys)
	must.NoError(t, err)
	ids, err := connid.NewCodec(newTestView().Keys)
	must.NoError(t, err)
	for {
		buf := make([]byte, tunnel.MaxDatagram)
		n, from, err := e.conn.ReadFromUDPAddrPort(buf[tunnel.HeaderSize : tunnel.HeaderSize+tunnel.MaxPayload])
		if err != nil {
			return
		}
		header := tunnel.Header{Kind: tunnel.KindNew, Service: service, Caller: from}
		packet := quicwire.Parse(buf[tunnel.HeaderSize:tunnel.HeaderSize+n], connid.Size)
		if owner, found := ids.Decode(packet.DCID, service); found {
			header.Kind = tunnel.KindFlow
			_, _ = e.conn.WriteToUDPAddrPort(codec.Seal(buf, n, &header), owner.Addr)
			continue
		}
		datagram := codec.Seal(buf, n, &header)
		if e.sent == 0 && e.pending == nil {
			e.pending = datagram
			continue
		}
		e.sendNew(e.pending)
		e.pending = nil
		e.sendNew(datagram)
	}
}

// sendNew sends a packet of a new flow to the next agent in turn. It does nothing
// for a nil datagram.
func (e *alternatingEntry) sendNew(datagram []byte) {
	if datagram == nil {
		return
	}
	dest := e.agents[e.sent%len(e.agents)]
	e.sent++
	e.reachedAgents.Store(dest, true)
	_, _ = e.conn.WriteToUDPAddrPort(datagram, dest)
}

// dial starts the entry and opens a flow through it.
func (e *alternatingEntry) dial(t *testing.T) *quic.Conn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	e.conn = conn
	t.Cleanup(func() { _ = conn.Close() })
	go e.run(t, testID.Tag())
	client, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	transport := &quic.Transport{Conn: client}
	t.Cleanup(func() { _ = transport.Close() })
	return dialWith(t, transport, conn.LocalAddr())
}

// startTransport starts an agent whose QUIC transport uses its tunnel and return
// sockets.
func startTransport(t *testing.T, backend string, change func(*quic.Transport)) (*Agent, *quic.Transport) {
	t.Helper()
	a, c := openPacketConn(t, backend)
	a.config.Self.Addr = tunnelAddr(c)
	transport, err := a.transport(c)
	must.NoError(t, err)
	if change != nil {
		change(transport)
	}
	listener, err := transport.Listen(http3.ConfigureTLSConfig(a.config.TLS), a.quicConfig())
	must.NoError(t, err)
	go a.accept(t.Context(), listener)
	t.Cleanup(func() { _ = transport.Close() })
	return a, transport
}

// TestRetryReachesTheSameAgent requires address validation by Retry for every
// flow, and rotates the keys while the flow is established.
func TestRetryReachesTheSameAgent(t *testing.T) {
	backend := startRawBackend(t, respondWith(completeResponse))
	a, transport := startTransport(t, backend.url(), func(transport *quic.Transport) {
		transport.VerifySourceAddress = func(net.Addr) bool { return true }
	})
	entry := &alternatingEntry{agents: []netip.AddrPort{a.config.Self.Addr}}
	flow := (&http3.Transport{}).NewClientConn(entry.dial(t))
	view := newTestView()
	view.Keys = &keyring.Keys{Active: 2, Keys: append(view.Keys.Keys, keyring.Key{Generation: 2, Secret: [keyring.SecretSize]byte{1}})}
	a.currentView.Store(view)
	response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	id, err := transport.ConnectionIDGenerator.GenerateConnectionID()
	must.NoError(t, err)
	must.Eq(t, 2, id.Bytes()[0]>>5)
	ids, err := connid.NewCodec(view.Keys)
	must.NoError(t, err)
	owner, found := ids.Decode(id.Bytes(), testID.Tag())
	must.True(t, found)
	must.Eq(t, a.config.Self.Addr, owner.Addr)
}

// TestHandshakeSplitAcrossTwoAgents sends the first packets of one flow to two
// agents. Exactly one flow must be established and one request run.
func TestHandshakeSplitAcrossTwoAgents(t *testing.T) {
	backend := startRawBackend(t, respondWith(completeResponse))
	entry := &alternatingEntry{}
	var agents []*Agent
	for range 2 {
		a, _ := startTransport(t, backend.url(), nil)
		entry.agents = append(entry.agents, a.config.Self.Addr)
		agents = append(agents, a)
	}
	flow := entry.dial(t)
	response, err := (&http3.Transport{}).NewClientConn(flow).RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, 1, backend.connectionCount())
	for _, a := range agents {
		_, reached := entry.reachedAgents.Load(a.config.Self.Addr)
		must.True(t, reached)
	}
	served := func() uint64 { return agents[0].counters.Served() + agents[1].counters.Served() }
	for served() == 0 {
		runtime.Gosched()
	}
	must.Eq(t, 1, served())
}
