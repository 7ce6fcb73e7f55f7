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
	// lost ends once another flow has taken the place of this silent one.
	lost     context.Context
	giveUp   context.CancelFunc
	silent   atomic.Bool
	migrated func()

	// heads keeps the heads of answers and a change of path apart: the QUIC
	// library reads the connection's state for the one and writes it for the
	// other, without a lock of its own.
	heads sync.RWMutex

	mu    sync.Mutex
	links []*link
	// released is closed once the links are.
	released chan struct{}
	ended    bool

	// active and retired belong to the client's lock.
	active  int
	retired bool
}

// link is one local address with its transport.
type link struct {
	socket    *socket
	transport *quic.Transport
}

func (c *Config) newLink() (*link, error) {
	network := "udp4"
	if c.Addr.Addr().Is6() {
		network = "udp6"
	}
	s, err := newSocket(network)
	if err != nil {
		return nil, err
	}
	return &link{socket: s, transport: &quic.Transport{Conn: s}}, nil
}

func (l *link) close() {
	_ = l.socket.Close()
	_ = l.transport.Close()
}

// dial opens a flow. What it returns on failure was not run, since 0-RTT is
// off and no request leaves before the handshake is complete.
func (c *Client) dial(ctx context.Context) (*flow, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	l, err := c.config.newLink()
	if err != nil {
		return nil, &DialError{Err: err}
	}
	tlsConfig := http3.ConfigureTLSConfig(c.config.TLS.Clone())
	tlsConfig.ServerName = c.config.ServerName
	conn, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(c.config.Addr), tlsConfig, &quic.Config{
		KeepAlivePeriod:         c.config.KeepAlive,
		MaxIdleTimeout:          c.config.IdleTimeout,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      -1,
	})
	if err != nil {
		l.close()
		return nil, &DialError{Err: err}
	}
	lost, giveUp := context.WithCancel(context.Background())
	f := &flow{
		config:   &c.config,
		quic:     conn,
		http:     (&http3.Transport{DisableCompression: true}).NewClientConn(conn),
		lost:     lost,
		giveUp:   giveUp,
		migrated: func() { c.events.migrations.Add(1) },
		links:    []*link{l},
		released: make(chan struct{}),
	}
	c.events.flows.Add(1)
	return f, nil
}

func (f *flow) usable() bool {
	return f.quic.Context().Err() == nil
}

func (f *flow) close() {
	_ = f.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// add keeps a link until the flow ends.
func (f *flow) add(l *link) {
	f.mu.Lock()
	ended := f.ended
	f.links = append(f.links, l)
	f.mu.Unlock()
	if ended {
		l.close()
	}
}

// park gives up all local addresses but the one in use.
func (f *flow) park(inUse *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		if l != inUse {
			l.socket.park()
		}
	}
}

// release closes the links of a flow that has ended.
func (f *flow) release() {
	f.mu.Lock()
	f.ended = true
	links := f.links
	f.mu.Unlock()
	f.giveUp()
	for _, l := range links {
		l.close()
	}
	close(f.released)
}
