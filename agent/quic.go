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

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

func (a *Agent) listen() (*quic.Transport, *quic.Listener, error) {
	tunnelConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.config.Self.Addr))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	returns, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.config.Return))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	conn := &packetConn{
		tunnel:      tunnelConn,
		returns:     returns,
		self:        a.config.Self.Addr,
		incarnation: a.incarnation,
		views:       &a.views,
		gate:        a.gate,
		counters:    &a.counters,
		interval:    a.config.ReportInterval,
		buf:         make([]byte, tunnel.MaxDatagram),
		handshakes:  newHandshakes(time.Now()),
		reported:    make(map[netip.AddrPort]time.Time),
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

func (a *Agent) transport(conn net.PacketConn) (*quic.Transport, error) {
	view := a.views.Load()
	codec, err := connid.NewCodec(view.Keys)
	if err != nil {
		return nil, err
	}
	issuer, err := connid.NewIssuer(codec, connid.Owner{
		Addr:        a.config.Self.Addr,
		Incarnation: a.incarnation,
		Zone:        view.Zone,
		Service:     view.Tag,
	})
	if err != nil {
		return nil, err
	}
	// The key outlives the process, so that a restarted agent ends the flows
	// of the one before it.
	reset, err := view.Keys.ActiveKey().Derive("stateless reset "+a.config.Self.Addr.String(), len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, err
	}
	key := quic.StatelessResetKey(reset)
	return &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &idGenerator{issuer: issuer, views: &a.views, keys: view.Keys},
		StatelessResetKey:     &key,
		ConnContext:           a.admitFlow,
	}, nil
}

func (a *Agent) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          a.config.IdleTimeout,
		InitialPacketSize:       quicPacketSize,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
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

// quicPacketSize leaves room for the tunnel's header, in bytes.
const quicPacketSize = 1200

func (a *Agent) admitFlow(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if !a.gate.openFlow() {
		return nil, errFlowRefused
	}
	context.AfterFunc(ctx, a.gate.closeFlow)
	return ctx, nil
}

var errFlowRefused = &NotRunError{Cause: CauseFlowRefused}

// idGenerator adapts an issuer to the QUIC library. It issues under the keys
// of the current view.
type idGenerator struct {
	issuer *connid.Issuer
	views  *atomic.Pointer[View]

	mu   sync.Mutex
	keys *keyring.Keys
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	if err := g.refreshKeys(g.views.Load().Keys); err != nil {
		return quic.ConnectionID{}, err
	}
	id, err := g.issuer.Next()
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id), nil
}

func (g *idGenerator) refreshKeys(keys *keyring.Keys) error {
	g.mu.Lock()
	defer g.mu.Unlock()
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

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int {
	return connid.Size
}
