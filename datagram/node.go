package datagram

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/flow"
)

// maxDatagram is the size of the buffer that a datagram is read into.
const maxDatagram = 2048

// expireInterval is the time between two sweeps of the tables.
const expireInterval = time.Second

// headerTimeout bounds how long a caller may take to send a request.
const headerTimeout = time.Second

// Handler takes a datagram.
type Handler func(now time.Duration, data []byte, out Output)

// FrameHandler takes a datagram that came from another process's address.
type FrameHandler func(now time.Duration, from [4]byte, data []byte, out Output)

// Sockets are the addresses of a node. Those that are not valid are not used.
type Sockets struct {
	// Requesters is where packets of requesters arrive; its port is also that
	// of requesters.
	Requesters netip.AddrPort
	// Peers is where frames arrive.
	Peers netip.AddrPort
	// FromHost is where the host's packets arrive, Host where it reads.
	FromHost, Host netip.AddrPort
}

// Node gives a core its sockets.
type Node struct {
	Sockets Sockets
	// RequesterPort is the port that requesters receive at.
	RequesterPort uint16
	// OnRequester, OnPeer and OnHost take what arrives.
	OnRequester, OnHost Handler
	OnPeer              FrameHandler
	// Expire is called about once a second.
	Expire func(now time.Duration)
	// Servers answer over TCP while the node runs.
	Servers []Server
	Now     func() time.Duration
	Log     *logrus.Entry
	Events  *Events

	peers, requesters, host *net.UDPConn
}

// Run serves until the context ends. The node must listen.
func (n *Node) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, s := range n.Servers {
		if s.server == nil {
			continue
		}
		group.Go(func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				n.Log.WithError(err).WithField("server", s.Name).Error("server_failed")
			}
		})
	}
	group.Go(func() { n.read(n.peers, n.OnPeer) })
	if n.requesters != nil {
		group.Go(func() { n.read(n.requesters, anySender(n.OnRequester)) })
	}
	if n.host != nil {
		group.Go(func() { n.read(n.host, anySender(n.OnHost)) })
	}
	n.sweep(ctx)
	for _, s := range n.Servers {
		if s.server != nil {
			_ = s.server.Close() // The process ends.
		}
	}
	for _, c := range []*net.UDPConn{n.peers, n.requesters, n.host} {
		if c != nil {
			_ = c.Close()
		}
	}
	group.Wait()
	return nil
}

// Listen opens the node's sockets for frames, requesters and the host.
func (n *Node) Listen() error {
	var err error
	for _, s := range []struct {
		at   netip.AddrPort
		conn **net.UDPConn
	}{
		{n.Sockets.Peers, &n.peers}, {n.Sockets.Requesters, &n.requesters}, {n.Sockets.FromHost, &n.host},
	} {
		if !s.at.IsValid() {
			continue
		}
		if *s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at)); err != nil {
			return errors.Wrap(err, "listen")
		}
	}
	return n.listenHTTP()
}

// Server answers HTTP calls at an address. Without an address it is left out.
type Server struct {
	Name    string
	Address string
	Handler http.Handler
	// Optional servers that cannot listen are logged and left out.
	Optional bool

	server   *http.Server
	listener net.Listener
}

func (n *Node) listenHTTP() error {
	for i := range n.Servers {
		s := &n.Servers[i]
		if s.Address == "" {
			continue
		}
		var err error
		s.listener, err = net.Listen("tcp4", s.Address)
		if err != nil && s.Optional {
			n.Log.WithError(err).WithField("server", s.Name).Warn("server_left_out")
			s.listener = nil
			continue
		}
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		s.server = &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
	}
	return nil
}

// NewOutput returns an output for one goroutine. The node must listen.
func (n *Node) NewOutput() Output {
	return &output{node: n, scratch: make([]byte, 0, maxDatagram+flow.FrameSize)}
}

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.Expire(n.Now())
			n.Events.Refill()
		}
	}
}

// anySender returns a handler that does not look at the sender's address.
func anySender(handle Handler) FrameHandler {
	return func(now time.Duration, _ [4]byte, data []byte, out Output) { handle(now, data, out) }
}

func (n *Node) read(conn *net.UDPConn, handle FrameHandler) {
	buffer := make([]byte, maxDatagram)
	out := n.NewOutput()
	for {
		size, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.Log.WithError(err).Debug("read_failed")
			continue
		}
		handle(n.Now(), from.Addr().Unmap().As4(), buffer[:size], out)
	}
}

// output sends through the node's sockets. Each reader has its own.
type output struct {
	node    *Node
	scratch []byte
}

func (o *output) send(conn *net.UDPConn, to netip.AddrPort, data []byte) {
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		o.node.Events.Drop(DropSend)
	}
}

// ToRequester implements Output.
func (o *output) ToRequester(to [4]byte, packet []byte) {
	conn := o.node.requesters
	if conn == nil {
		conn = o.node.host
	}
	o.send(conn, netip.AddrPortFrom(netip.AddrFrom4(to), o.node.RequesterPort), packet)
}

// ToNode implements Output.
func (o *output) ToNode(to flow.Endpoint, f *flow.Frame, packet []byte) {
	o.scratch = append(f.Append(o.scratch[:0]), packet...)
	o.send(o.node.peers, to.AddrPort(), o.scratch)
}

// ToHost implements Output.
func (o *output) ToHost(packet []byte) {
	o.send(o.node.peers, o.node.Sockets.Host, packet)
}
