package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/time/rate"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// quicPacketSize leaves room for the tunnel's header, in bytes.
	quicPacketSize = 1200
	// maxStreams bounds the requests of one flow at a time.
	maxStreams = 100
	// maxUniStreams leaves room for HTTP/3's control and QPACK streams.
	maxUniStreams = 8
	// streamWindow and flowWindow bound what a caller may send ahead of what
	// is read, in bytes.
	streamWindow = 512 << 10
	flowWindow   = 1 << 20
	// unverifiedRate and unverifiedBurst bound the new flows in a second that
	// are taken without validating the caller's address by Retry.
	unverifiedRate  = 200
	unverifiedBurst = 400
)

func (a *Agent) listen() (*quic.Transport, *quic.Listener, error) {
	conn, err := a.openSockets()
	if err != nil {
		return nil, nil, err
	}
	transport, err := a.transport(conn)
	if err != nil {
		return nil, nil, err
	}
	listener, err := transport.Listen(http3.ConfigureTLSConfig(a.config.TLS), a.quicConfig())
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	return transport, listener, nil
}

func (a *Agent) openSockets() (*packetConn, error) {
	tunnelConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.config.Self.Addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	returns, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.config.Return))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := stampArrivals(tunnelConn); err != nil {
		return nil, err
	}
	reporter := &reporter{
		conn:        tunnelConn,
		self:        a.config.Self.Addr,
		views:       &a.views,
		gate:        a.gate,
		incarnation: a.incarnation,
		interval:    a.config.ReportInterval,
		entries:     make(map[netip.AddrPort]entryTimes),
	}
	a.reporter.Store(reporter)
	return &packetConn{
		tunnel:      tunnelConn,
		returns:     returns,
		incarnation: a.incarnation,
		views:       &a.views,
		gate:        a.gate,
		counters:    &a.counters,
		reporter:    reporter,
		maxAge:      maxDatagramAge,
		buf:         make([]byte, tunnel.MaxDatagram),
		control:     make([]byte, controlSize),
		handshakes:  newHandshakes(time.Now()),
		peers:       placement.NewLoadCache[netip.AddrPort](peerLoadAge, maxPeers),
	}, nil
}

func (a *Agent) transport(conn net.PacketConn) (*quic.Transport, error) {
	view := a.views.Load()
	ids, err := newIDGenerator(&a.views, connid.Owner{
		Addr:        a.config.Self.Addr,
		Incarnation: a.incarnation,
		Zone:        view.Zone,
		Service:     view.Tag,
	})
	if err != nil {
		return nil, err
	}
	// The keys outlive the process, so that a restarted agent ends the flows
	// of the one before it and takes the tokens that it gave out.
	key := view.Keys.ActiveKey()
	host := a.config.Self.Addr.String()
	reset, err := key.Derive("stateless reset "+host, len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, err
	}
	token, err := key.Derive("retry token "+host, len(quic.TokenGeneratorKey{}))
	if err != nil {
		return nil, err
	}
	resetKey := quic.StatelessResetKey(reset)
	tokenKey := quic.TokenGeneratorKey(token)
	unverified := rate.NewLimiter(unverifiedRate, unverifiedBurst)
	return &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: ids,
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokenKey,
		VerifySourceAddress:   func(net.Addr) bool { return !unverified.Allow() },
		ConnContext:           a.admitFlow,
	}, nil
}

func (a *Agent) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 a.config.IdleTimeout,
		InitialPacketSize:              quicPacketSize,
		DisablePathMTUDiscovery:        true,
		Allow0RTT:                      false,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          maxUniStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: streamWindow,
		MaxConnectionReceiveWindow:     flowWindow,
		GetConfigForClient: func(info *quic.ClientInfo) (*quic.Config, error) {
			if _, refused := info.RemoteAddr.(*refusedAddr); refused {
				return nil, errFlowRefused
			}
			config := a.quicConfig()
			config.GetConfigForClient = nil
			return config, nil
		},
	}
}

func (a *Agent) admitFlow(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if !a.gate.openFlow() {
		a.counters.add(CauseFlowRefused)
		return nil, errFlowRefused
	}
	context.AfterFunc(ctx, a.gate.closeFlow)
	return ctx, nil
}

var errFlowRefused = &NotRunError{Cause: CauseFlowRefused}

// idGenerator adapts an issuer to the QUIC library. IDs are issued under the
// active key of the current view, so that keys rotate without a restart.
type idGenerator struct {
	views  *atomic.Pointer[View]
	issuer *connid.Issuer

	mu   sync.Mutex
	keys *keyring.Keys
}

func newIDGenerator(views *atomic.Pointer[View], owner connid.Owner) (*idGenerator, error) {
	keys := views.Load().Keys
	codec, err := connid.NewCodec(keys)
	if err != nil {
		return nil, err
	}
	issuer, err := connid.NewIssuer(codec, owner)
	if err != nil {
		return nil, err
	}
	return &idGenerator{views: views, issuer: issuer, keys: keys}, nil
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	if err := g.refreshKeys(); err != nil {
		return quic.ConnectionID{}, err
	}
	id, err := g.issuer.Next()
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int {
	return connid.Size
}

func (g *idGenerator) refreshKeys() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	keys := g.views.Load().Keys
	if keys == g.keys {
		return nil
	}
	codec, err := connid.NewCodec(keys)
	if err != nil {
		return err
	}
	g.issuer.SetCodec(codec)
	g.keys = keys
	return nil
}
