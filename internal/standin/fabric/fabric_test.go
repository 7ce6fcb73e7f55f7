package fabric_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/standin/fabric"
)

const (
	receiveTimeout  = 5 * time.Second
	noPacketTimeout = 200 * time.Millisecond
)

// testbed is a fabric with one entry and one caller.
type testbed struct {
	fabric *fabric.Fabric
	entry  *net.UDPConn
	caller *net.UDPConn
}

func newTestbed(t *testing.T) *testbed {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	f, err := fabric.Listen(netip.AddrPortFrom(loopback, 0), loopback, 1)
	must.NoError(t, err)
	t.Cleanup(f.Close)
	b := &testbed{fabric: f, entry: listen(t), caller: listen(t)}
	f.SetEntries([]netip.AddrPort{localAddr(b.entry)})
	return b
}

func listen(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (b *testbed) send(t *testing.T, text string) {
	_, err := b.caller.WriteToUDPAddrPort([]byte(text), b.fabric.Addr())
	must.NoError(t, err)
}

// receive returns the next packet and its source address, or an empty string
// after the timeout.
func receive(conn *net.UDPConn, timeout time.Duration) (string, netip.AddrPort) {
	buf := make([]byte, 100)
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return "", from
	}
	return string(buf[:n]), from
}

func TestForwardsPacketsInBothDirections(t *testing.T) {
	b := newTestbed(t)
	b.send(t, "psalm")
	text, returnAddr := receive(b.entry, receiveTimeout)
	must.EqOp(t, "psalm", text)
	_, err := b.entry.WriteToUDPAddrPort([]byte("proof"), returnAddr)
	must.NoError(t, err)
	text, from := receive(b.caller, receiveTimeout)
	must.EqOp(t, "proof", text)
	must.EqOp(t, b.fabric.Addr(), from)
}

func TestDuplicatesPackets(t *testing.T) {
	b := newTestbed(t)
	b.fabric.SetFaults(fabric.Faults{Duplicate: 1})
	b.send(t, "psalm")
	for range 2 {
		text, _ := receive(b.entry, receiveTimeout)
		must.EqOp(t, "psalm", text)
	}
}

func TestDropsPacketsOfOneDirection(t *testing.T) {
	b := newTestbed(t)
	b.send(t, "first")
	_, returnAddr := receive(b.entry, receiveTimeout)
	b.fabric.SetFaults(fabric.Faults{DropFromCallers: true})
	b.send(t, "lost")
	text, _ := receive(b.entry, noPacketTimeout)
	must.EqOp(t, "", text)
	_, err := b.entry.WriteToUDPAddrPort([]byte("proof"), returnAddr)
	must.NoError(t, err)
	text, _ = receive(b.caller, receiveTimeout)
	must.EqOp(t, "proof", text)
	b.fabric.SetFaults(fabric.Faults{DropToCallers: true})
	_, err = b.entry.WriteToUDPAddrPort([]byte("lost"), returnAddr)
	must.NoError(t, err)
	text, _ = receive(b.caller, noPacketTimeout)
	must.EqOp(t, "", text)
}

func TestSilencingDoesNotAffectNewCallers(t *testing.T) {
	b := newTestbed(t)
	b.send(t, "first")
	_, _ = receive(b.entry, receiveTimeout)
	must.EqOp(t, 1, b.fabric.SilenceKnownCallers())
	b.send(t, "lost")
	b.caller = listen(t)
	b.send(t, "second")
	text, _ := receive(b.entry, receiveTimeout)
	must.EqOp(t, "second", text)
}

func TestEntriesChangeAfterDelay(t *testing.T) {
	b := newTestbed(t)
	second := listen(t)
	b.fabric.SetEntriesAfter(noPacketTimeout, []netip.AddrPort{localAddr(second)})
	b.send(t, "before")
	text, _ := receive(b.entry, receiveTimeout)
	must.EqOp(t, "before", text)
	reached := false
	for end := time.Now().Add(receiveTimeout); !reached && time.Now().Before(end); {
		b.send(t, "after")
		text, _ = receive(second, noPacketTimeout)
		reached = text == "after"
	}
	must.True(t, reached)
}
