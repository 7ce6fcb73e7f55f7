package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Agent is a running agent.
type Agent struct {
	config      Config
	ring        *keyring.Ring
	reader      platform.Reader
	log         *logrus.Logger
	trail       *audit.Trail
	incarnation uint16
	engine      *blackboard.Engine[*Board]
	views       atomic.Pointer[View]
	ready       chan struct{}
	gate        *gate
	counters    Counters
	flows       *flowTable
	ended       chan struct{}
	endOnce     sync.Once
}

// New returns an agent that is not running yet.
func New(config Config, ring *keyring.Ring, reader platform.Reader, log *logrus.Logger, trail *audit.Trail) (*Agent, error) {
	var seed [2]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	x, err := newExchange(config.Backend)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		config:      config,
		ring:        ring,
		reader:      reader,
		log:         log,
		trail:       trail,
		incarnation: binary.BigEndian.Uint16(seed[:]) | 1,
		ready:       make(chan struct{}),
		ended:       make(chan struct{}),
	}
	a.gate = newGate(&a.views, time.Now())
	a.flows = newFlowTable(&front{config: config, views: &a.views, gate: a.gate, exchange: x, log: log})
	a.engine = blackboard.New(blackboard.DefaultConfig(), NewBoard(config, ring), a, &Lifecycle{})
	return a, nil
}

// Execute implements blackboard.Executor.
func (a *Agent) Execute(effect blackboard.Effect) {
	switch effect := effect.(type) {
	case ViewChanged:
		if a.views.Swap(effect.View) == nil {
			close(a.ready)
		}
	case BackendRestarted:
		a.gate.restarted(time.Now())
	case FlowsClosed:
		go a.flows.closeAll()
	case DrainStarted:
		go a.drain(effect.Within)
	case ProcessEnded:
		a.endOnce.Do(func() { close(a.ended) })
	case audit.Record:
		a.trail.Add(effect)
	}
}

// Counters returns the datagram counters.
func (a *Agent) Counters() *Counters {
	return &a.counters
}

// Stop asks for a graceful end: Run returns once what is in service has
// ended or the drain wish is over.
func (a *Agent) Stop() {
	a.engine.Post(StopRequested{})
}

// Run serves until ctx ends or a graceful stop is done.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { a.engine.Run(ctx) })
	group.Go(func() { a.follow(ctx) })
	group.Go(func() { a.watchHealth(ctx) })
	select {
	case <-ctx.Done():
		return nil
	case <-a.ready:
	}
	transport, listener, err := a.listen()
	if err != nil {
		return err
	}
	group.Go(func() { a.accept(ctx, listener) })
	a.log.WithFields(logrus.Fields{
		"tunnel":      a.config.Self.Addr,
		"service":     a.config.Self.Service,
		"incarnation": a.incarnation,
	}).Info("agent_started")
	select {
	case <-ctx.Done():
	case <-a.ended:
	}
	cancel()
	_ = listener.Close()
	_ = transport.Close()
	a.log.Info("agent_stopped")
	return nil
}

func (a *Agent) follow(ctx context.Context) {
	post := func(update node.Update) {
		a.engine.Post(NodeUpdated{Update: update})
	}
	node.NewFollower(a.reader, post, a.log).Run(ctx)
}

func (a *Agent) accept(ctx context.Context, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		go a.flows.serve(conn)
	}
}

// drain lets what is in service end.
func (a *Agent) drain(within time.Duration) {
	a.flows.drain(within)
	a.engine.Post(DrainDone{})
}

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
		ConnectionIDGenerator: &idGenerator{issuer: issuer},
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

var errFlowRefused = &NotRunError{Cause: "flow_refused"}

// idGenerator adapts an issuer to the QUIC library.
type idGenerator struct {
	issuer *connid.Issuer
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
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

// watchHealth looks at the backend server's health endpoint until ctx ends.
func (a *Agent) watchHealth(ctx context.Context) {
	client := &http.Client{Timeout: dialTimeout}
	ticker := time.NewTicker(a.config.HealthInterval)
	defer ticker.Stop()
	for {
		a.engine.Post(HealthSeen{Health: askHealth(ctx, client, a.config.Backend)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// HealthPath is the backend server's health endpoint. It answers 200 when
// healthy; 503 with the body "draining" when it drains.
const HealthPath = "/healthz"

func askHealth(ctx context.Context, client *http.Client, backend string) Health {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, backend+HealthPath, nil)
	if err != nil {
		return HealthFailing
	}
	response, err := client.Do(request)
	if err != nil {
		return HealthFailing
	}
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, len(drainingBody))
	n, _ := response.Body.Read(body)
	switch {
	case response.StatusCode == http.StatusOK:
		return HealthGood
	case string(body[:n]) == drainingBody:
		return HealthDraining
	default:
		return HealthFailing
	}
}

const drainingBody = "draining"
