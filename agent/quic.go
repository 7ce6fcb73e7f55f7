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
	// quicPacketSize is the size of QUIC packets in bytes. It leaves room for the
	// tunnel header.
	quicPacketSize = 1200
	// maxStreams bounds the concurrent requests of one flow.
	maxStreams = 100
	// maxUniStreams bounds the unidirectional streams of one flow. It leaves room
	// for HTTP/3's control and QPACK streams.
	maxUniStreams = 8
	// streamWindow and flowWindow are the QUIC flow-control windows of a stream
	// and of a flow, in bytes.
	streamWindow = 512 << 10
	flowWindow   = 1 << 20
	// unverifiedRate, per second, and unverifiedBurst bound the new flows that
	// are accepted without validating the caller's address by a Retry packet.
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
	returnConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.config.ReturnAddr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := enableTimestamps(tunnelConn); err != nil {
		return nil, err
	}
	reporter := &reporter{
		conn:        tunnelConn,
		self:        a.config.Self.Addr,
		currentView: &a.currentView,
		admitter:    a.admitter,
		incarnation: a.incarnation,
		interval:    a.config.ReportInterval,
		entries:     make(map[netip.AddrPort]entryTimes),
	}
	a.reporter.Store(reporter)
	return &packetConn{
		tunnelSocket: tunnelConn,
		returnSocket: returnConn,
		incarnation:  a.incarnation,
		currentView:  &a.currentView,
		admitter:     a.admitter,
		counters:     &a.counters,
		reporter:     reporter,
		maxAge:       maxDatagramAge,
		buf:          make([]byte, tunnel.MaxDatagram),
		controlBuf:   make([]byte, controlMessageSize),
		decisions:    newDecisionCache(time.Now()),
		secondLoads:  placement.NewLoadCache[netip.AddrPort](secondLoadMaxAge, maxSecondLoads),
	}, nil
}

func (a *Agent) transport(conn net.PacketConn) (*quic.Transport, error) {
	view := a.currentView.Load()
	ids, err := newIDGenerator(&a.currentView, connid.Owner{
		Addr:        a.config.Self.Addr,
		Incarnation: a.incarnation,
		Zone:        view.ZoneNumber,
		Service:     view.ServiceTag,
	})
	if err != nil {
		return nil, err
	}
	// The keys are derived from the active key of the key ring, so that they
	// survive a restart. A restarted agent can then reset the flows of its previous
	// incarnation and accept the Retry tokens that it issued.
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
	unverifiedLimiter := rate.NewLimiter(unverifiedRate, unverifiedBurst)
	return &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: ids,
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokenKey,
		VerifySourceAddress:   func(net.Addr) bool { return !unverifiedLimiter.Allow() },
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

// admitFlow returns errFlowRefused when no further flow is admitted. An admitted
// flow is released when its context ends.
func (a *Agent) admitFlow(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if !a.admitter.openFlow() {
		a.counters.add(CauseFlowRefused)
		return nil, errFlowRefused
	}
	context.AfterFunc(ctx, a.admitter.closeFlow)
	return ctx, nil
}

var errFlowRefused = &NotRunError{Cause: CauseFlowRefused}

// idGenerator implements quic.ConnectionIDGenerator with a connid.Issuer. It uses
// the active key of the current view, so that keys can be rotated without a
// restart.
type idGenerator struct {
	currentView *atomic.Pointer[View]
	issuer      *connid.Issuer

	mu   sync.Mutex
	keys *keyring.Keys
}

func newIDGenerator(currentView *atomic.Pointer[View], owner connid.Owner) (*idGenerator, error) {
	keys := currentView.Load().Keys
	codec, err := connid.NewCodec(keys)
	if err != nil {
		return nil, err
	}
	issuer, err := connid.NewIssuer(codec, owner)
	if err != nil {
		return nil, err
	}
	return &idGenerator{currentView: currentView, issuer: issuer, keys: keys}, nil
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
	keys := g.currentView.Load().Keys
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
