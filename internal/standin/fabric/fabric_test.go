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
	deadline = 5 * time.Second
	quiet    = 200 * time.Millisecond
)

// bench is a fabric with one entry and one caller.
type bench struct {
	fabric *fabric.Fabric
	entry  *net.UDPConn
	caller *net.UDPConn
}

func newBench(t *testing.T) *bench {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	f, err := fabric.Listen(netip.AddrPortFrom(loopback, 0), loopback, 1)
	must.NoError(t, err)
	t.Cleanup(f.Close)
	b := &bench{fabric: f, entry: listen(t), caller: listen(t)}
	f.SetEntries([]netip.AddrPort{local(b.entry)})
	return b
}

func listen(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func local(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (b *bench) send(t *testing.T, text string) {
	_, err := b.caller.WriteToUDPAddrPort([]byte(text), b.fabric.Addr())
	must.NoError(t, err)
}

// receive returns the next packet and its source, or no text.
func receive(conn *net.UDPConn, within time.Duration) (string, netip.AddrPort) {
	buf := make([]byte, 100)
	_ = conn.SetReadDeadline(time.Now().Add(within))
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return "", from
	}
	return string(buf[:n]), from
}

func TestCarriesBothWays(t *testing.T) {
	b := newBench(t)
	b.send(t, "psalm")
	text, back := receive(b.entry, deadline)
	must.EqOp(t, "psalm", text)
	_, err := b.entry.WriteToUDPAddrPort([]byte("proof"), back)
	must.NoError(t, err)
	text, from := receive(b.caller, deadline)
	must.EqOp(t, "proof", text)
	must.EqOp(t, b.fabric.Addr(), from)
}

func TestDuplicates(t *testing.T) {
	b := newBench(t)
	b.fabric.SetFaults(fabric.Faults{Duplicate: 1})
	b.send(t, "psalm")
	for range 2 {
		text, _ := receive(b.entry, deadline)
		must.EqOp(t, "psalm", text)
	}
}

func TestOneWayCuts(t *testing.T) {
	b := newBench(t)
	b.send(t, "first")
	_, back := receive(b.entry, deadline)
	b.fabric.SetFaults(fabric.Faults{DropFromCallers: true})
	b.send(t, "lost")
	text, _ := receive(b.entry, quiet)
	must.EqOp(t, "", text)
	_, err := b.entry.WriteToUDPAddrPort([]byte("proof"), back)
	must.NoError(t, err)
	text, _ = receive(b.caller, deadline)
	must.EqOp(t, "proof", text)
	b.fabric.SetFaults(fabric.Faults{DropToCallers: true})
	_, err = b.entry.WriteToUDPAddrPort([]byte("lost"), back)
	must.NoError(t, err)
	text, _ = receive(b.caller, quiet)
	must.EqOp(t, "", text)
}

func TestSilenceSparesNewCallers(t *testing.T) {
	b := newBench(t)
	b.send(t, "first")
	_, _ = receive(b.entry, deadline)
	must.EqOp(t, 1, b.fabric.SilenceKnownCallers())
	b.send(t, "lost")
	b.caller = listen(t)
	b.send(t, "second")
	text, _ := receive(b.entry, deadline)
	must.EqOp(t, "second", text)
}

func TestEntriesChangeAfterTheLag(t *testing.T) {
	b := newBench(t)
	second := listen(t)
	b.fabric.SetEntriesAfter(quiet, []netip.AddrPort{local(second)})
	b.send(t, "before")
	text, _ := receive(b.entry, deadline)
	must.EqOp(t, "before", text)
	reached := false
	for end := time.Now().Add(deadline); !reached && time.Now().Before(end); {
		b.send(t, "after")
		text, _ = receive(second, quiet)
		reached = text == "after"
	}
	must.True(t, reached)
}
