package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

const serverName = "proofs.quillhaven.test"

var testID = fleet.ServiceID{Customer: "quillhaven", Name: "proofs"}

// agentServer serves an agent's flows on a plain UDP socket, without entries and
// tunnel.
type agentServer struct {
	agent     *Agent
	addr      net.Addr
	clientTLS *tls.Config
}

func newTestView() *View {
	now := time.Now()
	return &View{
		Revision: 1,
		Service: fleet.Service{
			ID:          testID,
			Slots:       4,
			Connections: 100,
			Streams:     []string{"/feed"},
		},
		ServiceTag: testID.Tag(),
		State:      tunnel.HostServing,
		Since:      now,
		ValidUntil: now.Add(time.Hour),
		Keys:       &keyring.Keys{Active: 1, Keys: []keyring.Key{{Generation: 1}}},
	}
}

func newTestAgent(t testing.TB, backend string, change func(*Config)) (*Agent, *tls.Config) {
	t.Helper()
	authority, err := pki.NewAuthority()
	must.NoError(t, err)
	certificate, err := authority.TLSCertificate(serverName)
	must.NoError(t, err)
	config := DefaultConfig()
	config.Self = fleet.VM{ID: "host-1", Zone: "zone-1", Role: fleet.RoleAgent, Service: testID}
	config.Backend = backend
	config.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if change != nil {
		change(&config)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ring, err := keyring.NewRing(*newTestView().Keys)
	must.NoError(t, err)
	a, err := New(config, ring, nil, log, nil)
	must.NoError(t, err)
	a.currentView.Store(newTestView())
	return a, &tls.Config{RootCAs: authority.RootCAs(), ServerName: serverName, MinVersion: tls.VersionTLS13}
}

func startAgentServer(t testing.TB, backend string, change func(*Config)) *agentServer {
	t.Helper()
	a, clientTLS := newTestAgent(t, backend, change)
	config := a.quicConfig()
	config.GetConfigForClient = nil
	listener, err := quic.ListenAddr("127.0.0.1:0", http3.ConfigureTLSConfig(a.config.TLS), config)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go a.accept(ctx, listener)
	t.Cleanup(func() {
		cancel()
		a.flows.closeAll()
		must.NoError(t, listener.Close())
	})
	return &agentServer{agent: a, addr: listener.Addr(), clientTLS: clientTLS}
}

// setView publishes a copy of the current view with the change applied.
func (s *agentServer) setView(change func(*View)) {
	view := *s.agent.currentView.Load()
	change(&view)
	s.agent.currentView.Store(&view)
}

// dial opens a flow with an HTTP/3 client.
func (s *agentServer) dial(t testing.TB) (*quic.Conn, *http3.ClientConn) {
	t.Helper()
	conn := s.dialQUIC(t)
	return conn, (&http3.Transport{DisableCompression: true}).NewClientConn(conn)
}

// dialQUIC opens a flow on which the caller sends no HTTP/3.
func (s *agentServer) dialQUIC(t testing.TB) *quic.Conn {
	t.Helper()
	conn, err := quic.DialAddr(t.Context(), s.addr.String(), http3.ConfigureTLSConfig(s.clientTLS.Clone()), &quic.Config{})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

// requestBegun reports whether there is exactly one flow and it has had a
// request.
func (s *agentServer) requestBegun() bool {
	s.agent.flows.mu.Lock()
	defer s.agent.flows.mu.Unlock()
	flows := s.agent.flows.list()
	return len(flows) == 1 && flows[0].requested.Load()
}

func newRequest(ctx context.Context, method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+serverName+path, body)
	if err != nil {
		panic(err)
	}
	return r
}

// isRequestRejected reports whether the error is a reset by the agent with
// H3_REQUEST_REJECTED, which tells the caller that the request was not run.
func isRequestRejected(err error) bool {
	var h3 *http3.Error
	return err != nil && asError(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
}

// failingBody is a request body that yields size bytes and then, once ready
// returns true, fails. A nil ready counts as true.
type failingBody struct {
	size  int
	ready func() bool
	sent  atomic.Int64
}

func (b *failingBody) Read(p []byte) (int, error) {
	if b.sent.Load() >= int64(b.size) {
		for b.ready != nil && !b.ready() {
			runtime.Gosched()
		}
		return 0, io.ErrClosedPipe
	}
	n := min(len(p), b.size-int(b.sent.Load()))
	copy(p, bytes.Repeat([]byte("v"), n))
	b.sent.Add(int64(n))
	return n, nil
}

func (b *failingBody) Close() error { return nil }

// dialWith opens a flow through the transport without verifying the certificate.
func dialWith(t *testing.T, transport *quic.Transport, addr net.Addr) *quic.Conn {
	t.Helper()
	config := &tls.Config{ServerName: serverName, InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	conn, err := transport.Dial(t.Context(), addr, http3.ConfigureTLSConfig(config), &quic.Config{InitialPacketSize: quicPacketSize})
	must.NoError(t, err)
	return conn
}
