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

// openConn returns an agent with open sockets and no QUIC transport.
func openConn(t *testing.T, backend string) (*Agent, *packetConn) {
	t.Helper()
	a, _ := testAgent(t, backend, func(c *Config) {
		c.Self.Addr = loopback
		c.Return = loopback
	})
	conn, err := a.openSockets()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return a, conn
}

func tunnelAddr(c *packetConn) netip.AddrPort {
	return c.tunnel.LocalAddr().(*net.UDPAddr).AddrPort()
}

// initial returns the start of an Initial packet with the connection ID.
func initial(id string) []byte {
	packet := make([]byte, quicwire.MinInitial)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, byte(len(id))})
	copy(packet[6:], id)
	return packet
}

// seal returns a datagram as an entry sends it, in the buffer that the
// agent receives into.
func seal(t *testing.T, c *packetConn, header tunnel.Header, payload []byte) []byte {
	t.Helper()
	codec, err := tunnel.NewCodec(testView().Keys)
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

func TestBadDatagramsAreCountedByCause(t *testing.T) {
	a, c := openConn(t, "http://127.0.0.1:9")
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

// TestDecisionSticksAndThereIsOneHop changes the host's state between the
// packets of one handshake.
func TestDecisionSticksAndThereIsOneHop(t *testing.T) {
	a, c := openConn(t, "http://127.0.0.1:9")
	setState := func(state tunnel.HostState) {
		view := testView()
		view.State = state
		a.views.Store(view)
	}
	receive := func(kind tunnel.Kind, id string) net.Addr {
		_, addr := c.receive(time.Now(), seal(t, c, newHeader(kind), initial(id)))
		return addr
	}
	taken, ok := receive(tunnel.KindNew, "taken---").(*net.UDPAddr)
	must.True(t, ok)
	must.Eq(t, 9, taken.Port)
	setState(tunnel.HostLeaving)
	_, ok = receive(tunnel.KindNew, "taken---").(*net.UDPAddr)
	must.True(t, ok)
	must.Nil(t, receive(tunnel.KindNew, "passed--"))
	must.Eq(t, 1, a.counters.Passed())
	_, refused := receive(tunnel.KindRelayed, "refused-").(*refusedAddr)
	must.True(t, refused)
	setState(tunnel.HostServing)
	must.Nil(t, receive(tunnel.KindNew, "passed--"))
	must.Eq(t, 2, a.counters.Passed())
	// What was passed on before and comes back is not passed on again.
	_, refused = receive(tunnel.KindRelayed, "passed--").(*refusedAddr)
	must.True(t, refused)
	must.Eq(t, 2, a.counters.Passed())
}

func TestHandshakeMemoryIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	h := newHandshakes(now)
	refuse := func() flowDecision { return flowRefused }
	for i := range 3 * maxHandshakes {
		h.decide(now, []byte(strconv.Itoa(i)), refuse)
	}
	must.LessEq(t, maxHandshakes, len(h.current)+len(h.previous))
	must.Eq(t, flowTaken, h.decide(now, []byte("new"), func() flowDecision { return flowTaken }))
	must.Eq(t, flowTaken, h.decide(now.Add(handshakeMemory), []byte("new"), refuse))
	must.Eq(t, flowRefused, h.decide(now.Add(5*handshakeMemory), []byte("other"), refuse))
	must.Eq(t, flowRefused, h.decide(now.Add(10*handshakeMemory), []byte("new"), refuse))
}

func TestZoneOutGoesQuiet(t *testing.T) {
	a, c := openConn(t, "http://127.0.0.1:9")
	view := testView()
	view.State = tunnel.HostZoneOut
	a.views.Store(view)
	_, addr := c.receive(view.Since, seal(t, c, newHeader(tunnel.KindFlow), []byte("packet")))
	must.NotNil(t, addr)
	after := view.Since.Add(zoneOutGrace + time.Second)
	_, addr = c.receive(after, seal(t, c, newHeader(tunnel.KindFlow), []byte("packet")))
	must.Nil(t, addr)
	must.Eq(t, 1, a.counters.Count(CauseZoneOut))
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	defer func() { _ = caller.Close() }()
	view = testView()
	view.State = tunnel.HostZoneOut
	view.Since = time.Now().Add(-time.Hour)
	a.views.Store(view)
	_, err = c.WriteTo([]byte("late"), caller.LocalAddr())
	must.NoError(t, err)
	a.views.Store(testView())
	_, err = c.WriteTo([]byte("back"), caller.LocalAddr())
	must.NoError(t, err)
	buf := make([]byte, 10)
	n, err := caller.Read(buf)
	must.NoError(t, err)
	must.Eq(t, "back", string(buf[:n]))
}

// TestArrivalIsStamped shows that the age of a datagram is known.
func TestArrivalIsStamped(t *testing.T) {
	_, c := openConn(t, "http://127.0.0.1:9")
	sender, err := net.Dial("udp4", tunnelAddr(c).String())
	must.NoError(t, err)
	defer func() { _ = sender.Close() }()
	_, err = sender.Write([]byte("packet"))
	must.NoError(t, err)
	_, size, _, _, err := c.tunnel.ReadMsgUDPAddrPort(c.buf, c.control)
	must.NoError(t, err)
	later := time.Now().Add(time.Hour)
	must.Greater(t, 59*time.Minute, datagramAge(later, c.control[:size]))
	must.Eq(t, 0, datagramAge(later, nil))
}

// TestLateDatagramIsDropped takes every datagram for one that waited while the
// process was paused.
func TestLateDatagramIsDropped(t *testing.T) {
	a, c := openConn(t, "http://127.0.0.1:9")
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

// TestEntriesAreToldAtOnce announces a change to an entry that had a report
// just before.
func TestEntriesAreToldAtOnce(t *testing.T) {
	a, c := openConn(t, "http://127.0.0.1:9")
	entry, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	defer func() { _ = entry.Close() }()
	addr := entry.LocalAddr().(*net.UDPAddr).AddrPort()
	codec, err := tunnel.NewCodec(testView().Keys)
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
	c.reporter.heard(now, addr)
	c.reporter.heard(now, addr)
	must.Eq(t, tunnel.HostServing, read().State)
	view := testView()
	view.State = tunnel.HostLeaving
	a.views.Store(view)
	a.announce()
	report := read()
	must.Eq(t, tunnel.HostLeaving, report.State)
	must.Eq(t, 2, report.Sequence)
}

// splitter is an entry that hands the packets of new flows to two agents in
// turn, as entries with different views would. The first waits for the second,
// so that both agents are always met.
type splitter struct {
	conn   *net.UDPConn
	agents []netip.AddrPort
	turn   int
	held   []byte
	reach  sync.Map
}

func (s *splitter) run(t *testing.T, service uint32) {
	codec, err := tunnel.NewCodec(testView().Keys)
	must.NoError(t, err)
	ids, err := connid.NewCodec(testView().Keys)
	must.NoError(t, err)
	for {
		buf := make([]byte, tunnel.MaxDatagram)
		n, from, err := s.conn.ReadFromUDPAddrPort(buf[tunnel.HeaderSize : tunnel.HeaderSize+tunnel.MaxPayload])
		if err != nil {
			return
		}
		header := tunnel.Header{Kind: tunnel.KindNew, Service: service, Caller: from}
		packet := quicwire.Parse(buf[tunnel.HeaderSize:tunnel.HeaderSize+n], connid.Size)
		if owner, found := ids.Decode(packet.DCID, service); found {
			header.Kind = tunnel.KindFlow
			_, _ = s.conn.WriteToUDPAddrPort(codec.Seal(buf, n, &header), owner.Addr)
			continue
		}
		datagram := codec.Seal(buf, n, &header)
		if s.turn == 0 && s.held == nil {
			s.held = datagram
			continue
		}
		s.sendNew(s.held)
		s.held = nil
		s.sendNew(datagram)
	}
}

// sendNew sends a packet of a new flow to the agent whose turn it is.
func (s *splitter) sendNew(datagram []byte) {
	if datagram == nil {
		return
	}
	dest := s.agents[s.turn%len(s.agents)]
	s.turn++
	s.reach.Store(dest, true)
	_, _ = s.conn.WriteToUDPAddrPort(datagram, dest)
}

// dial opens a flow through the splitter.
func (s *splitter) dial(t *testing.T) *quic.Conn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	s.conn = conn
	t.Cleanup(func() { _ = conn.Close() })
	go s.run(t, testID.Tag())
	client, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	must.NoError(t, err)
	transport := &quic.Transport{Conn: client}
	t.Cleanup(func() { _ = transport.Close() })
	return dialThrough(t, transport, conn.LocalAddr())
}

// startTransport returns an agent whose QUIC transport stands on its sockets.
func startTransport(t *testing.T, backend string, change func(*quic.Transport)) (*Agent, *quic.Transport) {
	t.Helper()
	a, c := openConn(t, backend)
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

// TestRetryReachesTheSameAgent demands a validated address of every flow, and
// changes the keys while the flow lives.
func TestRetryReachesTheSameAgent(t *testing.T) {
	backend := startRaw(t, answering(whole))
	a, transport := startTransport(t, backend.url(), func(transport *quic.Transport) {
		transport.VerifySourceAddress = func(net.Addr) bool { return true }
	})
	split := &splitter{agents: []netip.AddrPort{a.config.Self.Addr}}
	flow := (&http3.Transport{}).NewClientConn(split.dial(t))
	view := testView()
	view.Keys = &keyring.Keys{Active: 2, Keys: append(view.Keys.Keys, keyring.Key{Generation: 2, Secret: [keyring.SecretSize]byte{1}})}
	a.views.Store(view)
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

// TestHalvesOfAHandshakeAtTwoAgents spreads the first packets of one flow
// over two agents. One flow comes of it and one request runs.
func TestHalvesOfAHandshakeAtTwoAgents(t *testing.T) {
	backend := startRaw(t, answering(whole))
	split := &splitter{}
	var agents []*Agent
	for range 2 {
		a, _ := startTransport(t, backend.url(), nil)
		split.agents = append(split.agents, a.config.Self.Addr)
		agents = append(agents, a)
	}
	flow := split.dial(t)
	response, err := (&http3.Transport{}).NewClientConn(flow).RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, 1, backend.count())
	for _, a := range agents {
		_, reached := split.reach.Load(a.config.Self.Addr)
		must.True(t, reached)
	}
	served := func() uint64 { return agents[0].counters.Served() + agents[1].counters.Served() }
	for served() == 0 {
		runtime.Gosched()
	}
	must.Eq(t, 1, served())
}
