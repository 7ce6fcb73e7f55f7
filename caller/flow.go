package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// packetSize leaves room for the header that entries add, in bytes.
const packetSize = 1200

// flow is one QUIC connection and the local addresses that it has used.
type flow struct {
	config *Config
	quic   *quic.Conn
	http   *http3.ClientConn
	// abandoned ends once another flow has taken the place of this silent one.
	abandoned  context.Context
	abandon    context.CancelFunc
	silent     atomic.Bool
	onMigrated func()

	// pathMu keeps the pathMu of answers and a change of path apart: the QUIC
	// library reads the connection's state for the one and writes it for the
	// other, without a lock of its own.
	pathMu sync.RWMutex

	mu        sync.Mutex
	endpoints []*endpoint
	// endpointsClosed is closed once the links are.
	endpointsClosed chan struct{}
	ended           bool

	// activeRequests and retired belong to the client's lock.
	activeRequests int
	retired        bool
}

// endpoint is one local address with its transport.
type endpoint struct {
	socket    *socket
	transport *quic.Transport
}

func (c *Config) newEndpoint() (*endpoint, error) {
	network := "udp4"
	if c.Addr.Addr().Is6() {
		network = "udp6"
	}
	s, err := newSocket(network)
	if err != nil {
		return nil, err
	}
	return &endpoint{socket: s, transport: &quic.Transport{Conn: s}}, nil
}

func (e *endpoint) close() {
	_ = e.socket.Close()
	_ = e.transport.Close()
}

// dial opens a flow. What it returns on failure was not run, since 0-RTT is
// off and no request leaves before the handshake is complete.
func (c *Client) dial(ctx context.Context) (*flow, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	e, err := c.config.newEndpoint()
	if err != nil {
		return nil, &DialError{Err: err}
	}
	tlsConfig := http3.ConfigureTLSConfig(c.config.TLS.Clone())
	tlsConfig.ServerName = c.config.ServerName
	conn, err := e.transport.Dial(ctx, net.UDPAddrFromAddrPort(c.config.Addr), tlsConfig, &quic.Config{
		KeepAlivePeriod:         c.config.KeepAlive,
		MaxIdleTimeout:          c.config.IdleTimeout,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      -1,
	})
	if err != nil {
		e.close()
		return nil, &DialError{Err: err}
	}
	abandoned, abandon := context.WithCancel(context.Background())
	f := &flow{
		config:          &c.config,
		quic:            conn,
		http:            (&http3.Transport{DisableCompression: true}).NewClientConn(conn),
		abandoned:       abandoned,
		abandon:         abandon,
		onMigrated:      func() { c.counts.migrations.Add(1) },
		endpoints:       []*endpoint{e},
		endpointsClosed: make(chan struct{}),
	}
	c.counts.flows.Add(1)
	return f, nil
}

func (f *flow) isOpen() bool {
	return f.quic.Context().Err() == nil
}

func (f *flow) close() {
	_ = f.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// addEndpoint keeps a link until the flow ends.
func (f *flow) addEndpoint(e *endpoint) {
	f.mu.Lock()
	ended := f.ended
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	if ended {
		e.close()
	}
}

// closeOtherPorts gives up all local addresses but the one in use.
func (f *flow) closeOtherPorts(inUse *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e != inUse {
			e.socket.closePort()
		}
	}
}

// closeEndpoints closes the links of a flow that has ended.
func (f *flow) closeEndpoints() {
	f.mu.Lock()
	f.ended = true
	endpoints := f.endpoints
	f.mu.Unlock()
	f.abandon()
	for _, e := range endpoints {
		e.close()
	}
	close(f.endpointsClosed)
}
