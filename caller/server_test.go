package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/standin/fabric"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
)

const (
	testServerName = "proofs.quillhaven.test"
	testTimeout    = 30 * time.Second
)

// testService is an HTTP/3 service behind a packet relay.
type testService struct {
	t       testing.TB
	relay   *fabric.Fabric
	pki     *pki.Authority
	tls     *tls.Config
	key     quic.StatelessResetKey
	addr    netip.AddrPort
	handler http.Handler
	// runs counts the requests that the handler began.
	runs atomic.Int64
	// refuseLimit is the total number of handshakes to refuse. Handshakes are
	// told apart by the client's address; refusedAddrs holds those refused.
	refuseLimit  int
	refusedAddrs map[string]bool
	// conns receives each accepted connection.
	conns chan *quic.Conn

	mu        sync.Mutex
	server    *http3.Server
	transport *quic.Transport
}

// newTestService starts a service. Its handler is passed the number of requests
// begun so far, including its own.
func newTestService(t testing.TB, handler func(run int64, w http.ResponseWriter, r *http.Request)) *testService {
	authority, err := pki.NewAuthority()
	must.NoError(t, err)
	certificate, err := authority.TLSCertificate(testServerName)
	must.NoError(t, err)
	relay, err := fabric.Listen(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddr("127.0.0.1"), 1)
	must.NoError(t, err)
	t.Cleanup(relay.Close)
	s := &testService{
		t:     t,
		relay: relay,
		pki:   authority,
		tls:   &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13},
		addr:  netip.MustParseAddrPort("127.0.0.1:0"),
		conns: make(chan *quic.Conn, 64),

		refusedAddrs: make(map[string]bool),
	}
	_, err = rand.Read(s.key[:])
	must.NoError(t, err)
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler(s.runs.Add(1), w, r)
	})
	s.server = &http3.Server{Handler: s.handler}
	s.start()
	t.Cleanup(s.stop)
	return s
}

// start listens on the address of the service.
func (s *testService) start() {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr))
	must.NoError(s.t, err)
	s.addr = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	transport := &quic.Transport{Conn: socket, StatelessResetKey: &s.key}
	listener, err := transport.Listen(http3.ConfigureTLSConfig(s.tls), &quic.Config{
		GetConfigForClient: s.configForClient,
	})
	must.NoError(s.t, err)
	s.mu.Lock()
	s.transport = transport
	s.mu.Unlock()
	s.relay.SetEntries([]netip.AddrPort{s.addr})
	go s.acceptConns(listener)
}

// configForClient refuses handshakes until refuseLimit is reached. It also
// refuses later packets of a refused handshake.
func (s *testService) configForClient(info *quic.ClientInfo) (*quic.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := info.RemoteAddr.String()
	if !s.refusedAddrs[from] && len(s.refusedAddrs) >= s.refuseLimit {
		return &quic.Config{}, nil
	}
	s.refusedAddrs[from] = true
	return nil, http.ErrServerClosed
}

// refuseNext makes the service refuse the next count handshakes and returns how
// many it has refused so far.
func (s *testService) refuseNext(count int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.refusedAddrs)
	s.refuseLimit = before + count
	return before
}

func (s *testService) acceptConns(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		s.mu.Lock()
		server := s.server
		s.mu.Unlock()
		s.conns <- conn
		go func() { _ = server.ServeQUICConn(conn) }()
	}
}

// stop closes the service at once, without notifying clients.
func (s *testService) stop() {
	s.mu.Lock()
	transport := s.transport
	s.mu.Unlock()
	_ = transport.Close()
	_ = transport.Conn.Close()
}

// goAway sends GOAWAY on the existing connections. New connections are served
// by a new server.
func (s *testService) goAway() {
	s.mu.Lock()
	old := s.server
	s.server = &http3.Server{Handler: s.handler}
	s.mu.Unlock()
	go func() { _ = old.Shutdown(context.Background()) }()
}

func (s *testService) config() Config {
	config := DefaultConfig()
	config.Addr = s.relay.Addr()
	config.ServerName = testServerName
	config.TLS = &tls.Config{RootCAs: s.pki.RootCAs(), MinVersion: tls.VersionTLS13}
	config.Backoff = time.Millisecond
	config.MaxBackoff = 4 * time.Millisecond
	return config
}

func (s *testService) client(config Config) *Client {
	c := New(config)
	s.t.Cleanup(c.Close)
	return c
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// receive returns the next value from the channel and fails the test after
// testTimeout.
func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

// rejectRequest resets the stream with H3_REQUEST_REJECTED.
func rejectRequest(w http.ResponseWriter) {
	stream, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		return
	}
	stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
	stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
}

// relayTargets returns the address to which a relay forwards packets.
func (s *testService) relayTargets() []netip.AddrPort {
	return []netip.AddrPort{s.addr}
}

// mustErrorAs fails the test unless the chain of err contains an error of type
// E.
func mustErrorAs[E error](t testing.TB, err error) {
	t.Helper()
	var target E
	if !errors.As(err, &target) {
		t.Fatalf("got error %v, want a %T", err, target)
	}
}
