package entry

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/ipv4"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/internal/quicwire"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// lane is a worker with sockets on loopback, a caller and an agent.
type lane struct {
	t      *testing.T
	entry  *Entry
	worker *worker
	caller net.Conn
	agent  *net.UDPConn
}

func newLane(t *testing.T) *lane {
	return newLaneOn(t, "0.0.0.0")
}

// newLaneOn returns a lane whose listener is bound to the IP.
func newLaneOn(t *testing.T, ip string) *lane {
	t.Helper()
	b := placingBed(t)
	config := b.board.Config
	config.BatchSize = 8
	e := New(config, b.board.Keys, nil, nil, nil)
	bind := func() *net.UDPConn {
		conn, err := listen(context.Background(), "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	conn, agent := bind(), bind()
	listener := Listener{Addr: netip.AddrPortFrom(netip.MustParseAddr(ip), 0), ServicePort: testAddr.Port()}
	w, err := newWorker(e, listener, conn, bind())
	must.NoError(t, err)
	caller, err := net.Dial("udp4", conn.LocalAddr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })

	view := *b.view
	view.AgentNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
	local := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), testAddr.Port())
	view.Services = map[netip.AddrPort]*ServiceView{local: view.Services[testAddr]}
	e.views.Store(&view)
	e.deadline.extend(time.Now().Add(time.Hour))
	return &lane{t: t, entry: e, worker: w, caller: caller, agent: agent}
}

func (l *lane) owner() connid.Owner {
	return connid.Owner{
		Addr: l.agent.LocalAddr().(*net.UDPAddr).AddrPort(), Incarnation: 3, Zone: 1, Service: testService.Tag(),
	}
}

// carry sends the packets and lets the worker forward them as one batch.
func (l *lane) carry(packets ...[]byte) {
	l.t.Helper()
	for _, packet := range packets {
		_, err := l.caller.Write(packet)
		must.NoError(l.t, err)
	}
	for left := len(packets); left > 0; {
		n, err := l.worker.conn.ReadBatch(l.worker.received[:left], 0)
		must.NoError(l.t, err)
		l.worker.forward(n)
		l.worker.flush()
		left -= n
	}
}

// arrived returns the next datagram at the agent.
func (l *lane) arrived() (tunnel.Header, []byte) {
	l.t.Helper()
	codec, err := tunnel.NewCodec(testKeys)
	must.NoError(l.t, err)
	buf := make([]byte, tunnel.MaxDatagram)
	n, err := l.agent.Read(buf)
	must.NoError(l.t, err)
	header, payload, err := codec.Open(buf[:n])
	must.NoError(l.t, err)
	return header, payload
}

func TestWorkerForwardsWhole(t *testing.T) {
	for _, ip := range []string{"0.0.0.0", "127.0.0.1"} {
		testForwardsWhole(t, newLaneOn(t, ip))
	}
}

func testForwardsWhole(t *testing.T, l *lane) {
	packet := shortPacket(t, testKeys, l.owner())
	l.carry(packet, []byte("garbage that belongs to no flow"), packet)
	for range 2 {
		header, payload := l.arrived()
		must.Eq(t, packet, payload)
		must.Eq(t, tunnel.KindFlow, header.Kind)
		must.Eq(t, 3, header.Incarnation)
		must.Eq(t, testService.Tag(), header.Service)
		must.Eq(t, l.caller.LocalAddr().(*net.UDPAddr).AddrPort(), header.Caller)
	}
	must.Eq(t, 2, l.entry.counters.Count(VerdictForward))
	must.Eq(t, 1, l.entry.counters.Count(VerdictUnknownFlow))
}

func TestWorkerDropsByAnOldView(t *testing.T) {
	l := newLane(t)
	packet := shortPacket(t, testKeys, l.owner())
	l.entry.deadline.extend(time.Now())
	l.carry(packet, packet, initialPacket(quicwire.MinInitial))
	must.Eq(t, 3, l.entry.counters.Count(VerdictStaleView))
	must.Zero(t, l.entry.counters.Count(VerdictForward))
	must.Zero(t, l.entry.counters.newFlows.Load())

	l.entry.deadline.extend(time.Now().Add(time.Hour))
	l.carry(packet)
	must.Eq(t, 1, l.entry.counters.Count(VerdictForward))
}

func TestWorkerSealsWithTheCurrentKey(t *testing.T) {
	l := newLane(t)
	l.carry(shortPacket(t, testKeys, l.owner()))
	l.arrived()
	view := *l.entry.views.Load()
	keys := &keyring.Keys{Active: 2, Keys: []keyring.Key{testKeys.Keys[0], {Generation: 2, Secret: [32]byte{2}}}}
	codec, err := connid.NewCodec(keys)
	must.NoError(t, err)
	view.Keys, view.ConnIDs = keys, codec
	l.entry.views.Store(&view)
	l.carry(shortPacket(t, testKeys, l.owner()))
	buf := make([]byte, tunnel.MaxDatagram)
	n, err := l.agent.Read(buf)
	must.NoError(t, err)
	later, err := tunnel.NewCodec(&keyring.Keys{Active: 2, Keys: keys.Keys[1:]})
	must.NoError(t, err)
	_, _, err = later.Open(buf[:n])
	must.NoError(t, err)
}

func TestWorkerPausedBetweenPlacingAndSending(t *testing.T) {
	l := newLane(t)
	l.worker.view = l.entry.views.Load()
	l.worker.tally[VerdictForward] = 2
	l.entry.deadline.extend(time.Now())
	l.worker.send(2)
	l.worker.flush()
	must.Eq(t, 2, l.entry.counters.Count(VerdictStaleView))
	must.Zero(t, l.entry.counters.Count(VerdictForward))
}

func TestDestinationOfOddControlMessages(t *testing.T) {
	for _, oob := range [][]byte{nil, {1}, make([]byte, 64), ipv4.NewControlMessage(ipv4.FlagTTL)} {
		_, ok := destination(oob)
		must.False(t, ok)
	}
}

func TestReportsAreAuthenticatedAndBound(t *testing.T) {
	agent := netip.MustParseAddrPort("10.1.0.1:7000")
	report := tunnel.Report{Incarnation: 1, State: tunnel.HostServing, Sequence: 1}
	payload, err := tunnel.EncodeReport(report)
	must.NoError(t, err)
	codec, err := tunnel.NewCodec(testKeys)
	must.NoError(t, err)
	foreign, err := tunnel.NewCodec(foreignKeys)
	must.NoError(t, err)
	b := newBed(t, "a")
	reader := &reportReader{self: testEntry, ring: b.board.Keys}
	seal := func(codec *tunnel.Codec, payload []byte, edit func(*tunnel.Header)) []byte {
		header := tunnel.Header{Kind: tunnel.KindReport, Service: testService.Tag(), Caller: testEntry, Second: agent}
		edit(&header)
		buf := make([]byte, tunnel.MaxDatagram)
		copy(buf[tunnel.HeaderSize:], payload)
		return codec.Seal(buf, len(payload), &header)
	}
	keep := func(*tunnel.Header) {}
	good := seal(codec, payload, keep)
	for _, c := range []struct {
		name     string
		datagram []byte
		from     netip.AddrPort
		want     ReportVerdict
	}{
		{"good", good, agent, ReportAccepted},
		{"forged", seal(foreign, payload, keep), agent, ReportForged},
		{"truncated", good[:len(good)-1], agent, ReportForged},
		{"other kind", seal(codec, payload, func(h *tunnel.Header) { h.Kind = tunnel.KindNew }), agent, ReportMalformed},
		{"no report", seal(codec, []byte{0xff}, keep), agent, ReportMalformed},
		{"from another address", good, netip.MustParseAddrPort("10.1.0.2:7000"), ReportMisaddressed},
		{"for another entry", seal(codec, payload, func(h *tunnel.Header) { h.Caller = agent }), agent, ReportMisaddressed},
	} {
		event, verdict := reader.read(c.datagram, c.from)
		must.Eq(t, c.want, verdict, must.Sprint(c.name))
		if verdict == ReportAccepted {
			must.Eq(t, ReportReceived{Agent: agent, Service: testService.Tag(), Report: report}, event)
		}
	}
}
