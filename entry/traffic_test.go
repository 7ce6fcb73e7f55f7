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

// workerFixture is a worker with loopback sockets, a caller and an agent.
type workerFixture struct {
	t      *testing.T
	entry  *Entry
	worker *worker
	caller net.Conn
	agent  *net.UDPConn
}

func newWorkerFixture(t *testing.T) *workerFixture {
	return newWorkerFixtureOn(t, "0.0.0.0")
}

// newWorkerFixtureOn returns a fixture whose listener is bound to the IP.
func newWorkerFixtureOn(t *testing.T, ip string) *workerFixture {
	t.Helper()
	b := newPlacerTestbed(t)
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
	e.viewDeadline.extend(time.Now().Add(time.Hour))
	return &workerFixture{t: t, entry: e, worker: w, caller: caller, agent: agent}
}

func (f *workerFixture) agentOwner() connid.Owner {
	return connid.Owner{
		Addr: f.agent.LocalAddr().(*net.UDPAddr).AddrPort(), Incarnation: 3, Zone: 1, Service: testService.Tag(),
	}
}

// forwardPackets sends the packets and lets the worker forward them.
func (f *workerFixture) forwardPackets(packets ...[]byte) {
	f.t.Helper()
	for _, packet := range packets {
		_, err := f.caller.Write(packet)
		must.NoError(f.t, err)
	}
	for remaining := len(packets); remaining > 0; {
		n, err := f.worker.receiveConn.ReadBatch(f.worker.received[:remaining], 0)
		must.NoError(f.t, err)
		f.worker.forwardBatch(n)
		f.worker.flushCounts()
		remaining -= n
	}
}

// receiveAtAgent returns the next datagram that the agent receives.
func (f *workerFixture) receiveAtAgent() (tunnel.Header, []byte) {
	f.t.Helper()
	codec, err := tunnel.NewCodec(testKeys)
	must.NoError(f.t, err)
	buf := make([]byte, tunnel.MaxDatagram)
	n, err := f.agent.Read(buf)
	must.NoError(f.t, err)
	header, payload, err := codec.Open(buf[:n])
	must.NoError(f.t, err)
	return header, payload
}

func TestWorkerForwardsPacketsUnchanged(t *testing.T) {
	for _, ip := range []string{"0.0.0.0", "127.0.0.1"} {
		checkForwardsUnchanged(t, newWorkerFixtureOn(t, ip))
	}
}

func checkForwardsUnchanged(t *testing.T, f *workerFixture) {
	packet := shortPacket(t, testKeys, f.agentOwner())
	f.forwardPackets(packet, []byte("garbage that belongs to no flow"), packet)
	for range 2 {
		header, payload := f.receiveAtAgent()
		must.Eq(t, packet, payload)
		must.Eq(t, tunnel.KindFlow, header.Kind)
		must.Eq(t, 3, header.Incarnation)
		must.Eq(t, testService.Tag(), header.Service)
		must.Eq(t, f.caller.LocalAddr().(*net.UDPAddr).AddrPort(), header.Caller)
	}
	must.Eq(t, 2, f.entry.counters.Count(VerdictForward))
	must.Eq(t, 1, f.entry.counters.Count(VerdictUnknownFlow))
}

func TestWorkerDropsPacketsOnceViewExpires(t *testing.T) {
	f := newWorkerFixture(t)
	packet := shortPacket(t, testKeys, f.agentOwner())
	f.entry.viewDeadline.extend(time.Now())
	f.forwardPackets(packet, packet, initialPacket(quicwire.MinInitialSize))
	must.Eq(t, 3, f.entry.counters.Count(VerdictStaleView))
	must.Zero(t, f.entry.counters.Count(VerdictForward))
	must.Zero(t, f.entry.counters.newFlowPackets.Load())

	f.entry.viewDeadline.extend(time.Now().Add(time.Hour))
	f.forwardPackets(packet)
	must.Eq(t, 1, f.entry.counters.Count(VerdictForward))
}

func TestWorkerSealsWithTheCurrentKey(t *testing.T) {
	f := newWorkerFixture(t)
	f.forwardPackets(shortPacket(t, testKeys, f.agentOwner()))
	f.receiveAtAgent()
	view := *f.entry.views.Load()
	keys := &keyring.Keys{Active: 2, Keys: []keyring.Key{testKeys.Keys[0], {Generation: 2, Secret: [32]byte{2}}}}
	codec, err := connid.NewCodec(keys)
	must.NoError(t, err)
	view.Keys, view.ConnIDs = keys, codec
	f.entry.views.Store(&view)
	f.forwardPackets(shortPacket(t, testKeys, f.agentOwner()))
	buf := make([]byte, tunnel.MaxDatagram)
	n, err := f.agent.Read(buf)
	must.NoError(t, err)
	laterCodec, err := tunnel.NewCodec(&keyring.Keys{Active: 2, Keys: keys.Keys[1:]})
	must.NoError(t, err)
	_, _, err = laterCodec.Open(buf[:n])
	must.NoError(t, err)
}

func TestWorkerPausedBetweenPlacingAndSending(t *testing.T) {
	f := newWorkerFixture(t)
	f.worker.view = f.entry.views.Load()
	f.worker.verdictCounts[VerdictForward] = 2
	f.entry.viewDeadline.extend(time.Now())
	f.worker.sendBatch(2)
	f.worker.flushCounts()
	must.Eq(t, 2, f.entry.counters.Count(VerdictStaleView))
	must.Zero(t, f.entry.counters.Count(VerdictForward))
}

func TestDestinationOfUnexpectedControlMessages(t *testing.T) {
	for _, oob := range [][]byte{nil, {1}, make([]byte, 64), ipv4.NewControlMessage(ipv4.FlagTTL)} {
		_, ok := destination(oob)
		must.False(t, ok)
	}
}

func TestReportsAreAuthenticatedAndBoundToAddresses(t *testing.T) {
	agent := netip.MustParseAddrPort("10.1.0.1:7000")
	report := tunnel.Report{Incarnation: 1, State: tunnel.HostServing, Sequence: 1}
	payload, err := tunnel.EncodeReport(report)
	must.NoError(t, err)
	codec, err := tunnel.NewCodec(testKeys)
	must.NoError(t, err)
	wrongSecretCodec, err := tunnel.NewCodec(wrongSecretKeys)
	must.NoError(t, err)
	b := newTestbed(t, "a")
	reader := &reportReader{self: testEntry, ring: b.board.Keys}
	seal := func(codec *tunnel.Codec, payload []byte, edit func(*tunnel.Header)) []byte {
		header := tunnel.Header{Kind: tunnel.KindReport, Service: testService.Tag(), Caller: testEntry, Second: agent}
		edit(&header)
		buf := make([]byte, tunnel.MaxDatagram)
		copy(buf[tunnel.HeaderSize:], payload)
		return codec.Seal(buf, len(payload), &header)
	}
	unchanged := func(*tunnel.Header) {}
	good := seal(codec, payload, unchanged)
	for _, c := range []struct {
		name     string
		datagram []byte
		from     netip.AddrPort
		want     ReportVerdict
	}{
		{"good", good, agent, ReportAccepted},
		{"forged", seal(wrongSecretCodec, payload, unchanged), agent, ReportForged},
		{"truncated", good[:len(good)-1], agent, ReportForged},
		{"other kind", seal(codec, payload, func(h *tunnel.Header) { h.Kind = tunnel.KindNew }), agent, ReportMalformed},
		{"no report", seal(codec, []byte{0xff}, unchanged), agent, ReportMalformed},
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
