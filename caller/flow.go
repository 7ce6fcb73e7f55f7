package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// packetSize is the UDP payload size in bytes. It leaves room for the header
// that entries add when they forward a packet.
const packetSize = 1200

// flow is one QUIC connection and the local endpoints that it has used.
type flow struct {
	config *Config
	quic   *quic.Conn
	http   *http3.ClientConn
	// abandoned is canceled once another flow has replaced this silent one.
	abandoned  context.Context
	abandon    context.CancelFunc
	silent     atomic.Bool
	onMigrated func()

	// pathMu excludes path switches while response headers are parsed. The QUIC
	// library writes the connection's state for the former and reads it for the
	// latter, without a lock of its own. Requests hold pathMu for reading, path
	// switches for writing.
	pathMu sync.RWMutex

	mu        sync.Mutex
	endpoints []*endpoint
	// endpointsClosed is closed once all endpoints are closed.
	endpointsClosed chan struct{}
	ended           bool

	// activeRequests and retired are guarded by Client.mu.
	activeRequests int
	retired        bool
}

// endpoint is a local UDP socket and the QUIC transport that uses it.
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

// dial opens a flow. If it fails, no request was run: 0-RTT is off, so no
// request is sent before the handshake is complete.
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

// addEndpoint registers an endpoint to be closed when the flow ends.
func (f *flow) addEndpoint(e *endpoint) {
	f.mu.Lock()
	ended := f.ended
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	if ended {
		e.close()
	}
}

// closeOtherPorts releases the local ports of all endpoints except the one in
// use.
func (f *flow) closeOtherPorts(inUse *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e != inUse {
			e.socket.closePort()
		}
	}
}

// closeEndpoints closes the endpoints of a flow that has ended.
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
