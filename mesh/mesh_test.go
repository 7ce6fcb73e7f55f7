package mesh_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
	"github.com/turmericrock/turmericrock/mesh"
)

// peer is a mesh, its TLS configuration and the events that it has reported.
type peer struct {
	*mesh.Mesh
	vm     fleet.VM
	tls    *tls.Config
	events chan dissemination.Event
}

func newAuthority(t testing.TB) *pki.Authority {
	t.Helper()
	authority, err := pki.NewAuthority()
	must.NoError(t, err)
	return authority
}

func newTLSConfig(t testing.TB, trusted, issuer *pki.Authority, name string) *tls.Config {
	t.Helper()
	pair, err := issuer.TLSCertificate(name)
	must.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: trusted.RootCAs(), MinVersion: tls.VersionTLS13}
}

func startPeer(t testing.TB, id string, config *tls.Config) *peer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	p := &peer{
		vm:     fleet.VM{ID: id, Zone: "zone-1", Mesh: listener.Addr().(*net.TCPAddr).AddrPort()},
		tls:    config,
		events: make(chan dissemination.Event, 64),
	}
	settings := mesh.DefaultConfig()
	settings.TLS = config
	settings.Hello = p.hello()
	p.Mesh = mesh.New(settings, func(_ context.Context, event dissemination.Event) { p.events <- event })
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-served)
	})
	return p
}

func (p *peer) hello() dissemination.Hello {
	return dissemination.Hello{Protocol: dissemination.Protocol, ID: p.vm.ID, Zone: p.vm.Zone}
}

// nextEvent returns the next event and fails the test if its type is not E.
func nextEvent[E dissemination.Event](t testing.TB, p *peer) E {
	t.Helper()
	event, ok := (<-p.events).(E)
	must.True(t, ok)
	return event
}

func (p *peer) refusedCount(cause string) int64 {
	total := int64(0)
	p.Collect(func(s metrics.Sample) {
		if s.Name == "mesh_refused" && s.Cause == cause {
			total += s.Value
		}
	})
	return total
}

func TestMessagesAreDeliveredInBothDirections(t *testing.T) {
	authority := newAuthority(t)
	a := startPeer(t, "a", newTLSConfig(t, authority, authority, mesh.ServerName))
	b := startPeer(t, "b", newTLSConfig(t, authority, authority, mesh.ServerName))
	a.Open(dissemination.Dial{Link: 1, Peer: b.vm, Hello: a.hello()})
	in := nextEvent[dissemination.LinkOpened](t, b)
	out := nextEvent[dissemination.LinkOpened](t, a)
	must.Eq(t, "a", in.Hello.ID)
	must.True(t, in.Inbound)
	must.Eq(t, "b", out.Hello.ID)
	must.False(t, out.Inbound)
	// The message is large enough to be compressed.
	large := dissemination.Response{Parts: [][]byte{make([]byte, 100_000)}}
	a.Send(1, dissemination.Message{Response: &large})
	must.Eq(t, large, *nextEvent[dissemination.Received](t, b).Message.Response)
	b.Send(in.Link, dissemination.Message{State: &dissemination.State{Probe: 7}})
	must.Eq(t, 7, nextEvent[dissemination.Received](t, a).Message.State.Probe)
	a.Close(1)
	must.Eq(t, 1, nextEvent[dissemination.LinkClosed](t, a).Link)
	must.Eq(t, in.Link, nextEvent[dissemination.LinkClosed](t, b).Link)
}

func TestRejectedPeersAreCountedByCause(t *testing.T) {
	authority, other := newAuthority(t), newAuthority(t)
	validTLS := newTLSConfig(t, authority, authority, mesh.ServerName)
	server := startPeer(t, "server", validTLS)
	cases := []struct {
		cause  string
		config *tls.Config
	}{
		{"certificate", newTLSConfig(t, authority, other, mesh.ServerName)},
		{"certificate_name", newTLSConfig(t, authority, authority, "proofs.teifi.test")},
		{"handshake", &tls.Config{RootCAs: authority.RootCAs(), MinVersion: tls.VersionTLS13}},
	}
	for _, c := range cases {
		client := startPeer(t, "client", c.config)
		client.Open(dissemination.Dial{Link: 1, Peer: server.vm, Hello: client.hello()})
		must.False(t, nextEvent[dissemination.LinkClosed](t, client).Refused)
		// The server counts the failure after it has closed the connection, so
		// the client may see the close first.
		must.Wait(t, wait.InitialSuccess(
			wait.BoolFunc(func() bool { return server.refusedCount(c.cause) > 0 }),
			wait.Timeout(10*time.Second),
			wait.Gap(time.Millisecond),
		), must.Sprint(c.cause))
		must.Eq(t, 1, server.refusedCount(c.cause), must.Sprint(c.cause))
	}
}

func TestClientRejectsServerWithWrongCertificateName(t *testing.T) {
	authority := newAuthority(t)
	server := startPeer(t, "server", newTLSConfig(t, authority, authority, "proofs.teifi.test"))
	client := startPeer(t, "client", newTLSConfig(t, authority, authority, mesh.ServerName))
	client.Open(dissemination.Dial{Link: 1, Peer: server.vm, Hello: client.hello()})
	must.Eq(t, 1, nextEvent[dissemination.LinkClosed](t, client).Link)
}

func TestConnectionRefusedIsReported(t *testing.T) {
	authority := newAuthority(t)
	client := startPeer(t, "client", newTLSConfig(t, authority, authority, mesh.ServerName))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	addr := listener.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(t, listener.Close())
	client.Open(dissemination.Dial{Link: 1, Peer: fleet.VM{ID: "gone", Mesh: addr}, Hello: client.hello()})
	must.True(t, nextEvent[dissemination.LinkClosed](t, client).Refused)
}

// dialRaw opens a WebSocket with the given certificate and sends no message.
func dialRaw(t *testing.T, addr netip.AddrPort, config *tls.Config) *websocket.Conn {
	t.Helper()
	config = config.Clone()
	config.ServerName = mesh.ServerName
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "wss://"+addr.String()+"/mesh", &websocket.DialOptions{HTTPClient: client})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	return conn
}

func TestInvalidMessageClosesLink(t *testing.T) {
	authority := newAuthority(t)
	validTLS := newTLSConfig(t, authority, authority, mesh.ServerName)
	hello, err := dissemination.Encode(dissemination.Message{Hello: &dissemination.Hello{Protocol: dissemination.Protocol, ID: "x", Zone: "zone-1"}})
	must.NoError(t, err)
	unsupportedVersion, err := dissemination.Encode(dissemination.Message{Hello: &dissemination.Hello{Protocol: 99, ID: "x", Zone: "zone-1"}})
	must.NoError(t, err)
	state, err := dissemination.Encode(dissemination.Message{State: &dissemination.State{}})
	must.NoError(t, err)
	cases := []struct {
		cause    string
		messages [][]byte
	}{
		{"encoding", [][]byte{{0xff, 0x00}}},
		{"hello", [][]byte{state}},
		{"protocol", [][]byte{unsupportedVersion}},
		{"encoding", [][]byte{hello, {0x01, 0x02, 0x03}}},
		{"kind", [][]byte{hello, {0xa0}}},
	}
	for _, c := range cases {
		server := startPeer(t, "server", validTLS)
		conn := dialRaw(t, server.vm.Mesh, validTLS)
		ctx := context.Background()
		for _, message := range c.messages {
			must.NoError(t, conn.Write(ctx, websocket.MessageBinary, message))
		}
		for err = nil; err == nil; {
			_, _, err = conn.Read(ctx)
		}
		// The server counts the failure after it has closed the connection, so
		// the client may see the close first.
		must.Wait(t, wait.InitialSuccess(
			wait.BoolFunc(func() bool { return server.refusedCount(c.cause) > 0 }),
			wait.Timeout(10*time.Second),
			wait.Gap(time.Millisecond),
		), must.Sprint(c.cause))
		must.Eq(t, 1, server.refusedCount(c.cause), must.Sprint(c.cause))
	}
}
