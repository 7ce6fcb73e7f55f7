package datagram

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/flow"
)

// maxDatagram is the size of the receive buffer in bytes.
const maxDatagram = 2048

// expireInterval is the time between two calls of Node.Expire.
const expireInterval = time.Second

// tickInterval is the time between two calls of Node.Tick.
const tickInterval = 100 * time.Millisecond

// headerTimeout limits how long an HTTP client may take to send the headers of
// a request.
const headerTimeout = time.Second

// defaultStopTimeout leaves the platform's usual grace period of 6 s room for the time that
// an entry keeps serving.
const defaultStopTimeout = 2 * time.Second

// Handler processes a received datagram.
type Handler func(now time.Duration, data []byte, out Output)

// FrameHandler processes a datagram received from the address of another
// process.
type FrameHandler func(now time.Duration, from [4]byte, data []byte, out Output)

// Sockets holds the addresses of a node. An address that is not valid is not
// used.
type Sockets struct {
	// Requesters is where the packets of requesters arrive.
	Requesters netip.AddrPort
	// Peers is where frames of other processes arrive.
	Peers netip.AddrPort
	// FromHost is where the host's packets arrive, Host the address at which
	// the host receives packets.
	FromHost, Host netip.AddrPort
}

// Node supplies a core with sockets, a clock and HTTP servers.
type Node struct {
	Sockets Sockets
	// RequesterPort is the port on which requesters receive packets.
	RequesterPort uint16
	// OnRequester, OnPeer and OnHost process the datagrams that arrive at the
	// respective sockets.
	OnRequester, OnHost Handler
	OnPeer              FrameHandler
	// Expire is called about once a second.
	Expire func(now time.Duration)
	// Tick is called about every tickInterval. It may be nil.
	Tick func(now time.Duration, out Output)
	// Flush is called at the times that Alarm passes. Both may be nil.
	Flush func(now time.Duration, out Output)
	Alarm *Alarm
	// Servers are the HTTP servers that run together with the node.
	Servers []Server
	// Background are functions that run until the context of Run is done. They may use the
	// sockets, the log and the metrics until they return.
	Background []func(context.Context)
	// StopTimeout limits how long Run waits for the node's goroutines once its context is
	// done. If it is 0, the limit is defaultStopTimeout.
	StopTimeout time.Duration
	Now         func() time.Duration
	Log         *logrus.Entry
	Events      *Events

	peers, requesters, host *net.UDPConn
}

// StopTimeoutError reports goroutines of a node that had not ended within the node's
// StopTimeout.
type StopTimeoutError struct {
	// Waiting names the groups of goroutines: background, readers or both.
	Waiting string
	Timeout time.Duration
}

// Error implements error.
func (e *StopTimeoutError) Error() string {
	return "the node's " + e.Waiting + " did not end within " + e.Timeout.String()
}

// Run serves until the context is done. Listen must have succeeded before. It returns when
// the node's goroutines have ended, and a *StopTimeoutError if they do not end in time.
func (n *Node) Run(ctx context.Context) error {
	var background, readers sync.WaitGroup
	n.startReaders(&readers)
	background.Go(func() { n.sweep(ctx) })
	for _, run := range n.Background {
		background.Go(func() { run(ctx) })
	}
	<-ctx.Done()
	limit := n.StopTimeout
	if limit <= 0 {
		limit = defaultStopTimeout
	}
	stopping := context.WithoutCancel(ctx)
	waiting, cancel := context.WithTimeout(stopping, limit)
	defer cancel()
	// The readers get a quarter of the time, also if the background uses up its part.
	waitingForBackground, cancelBackground := context.WithTimeout(stopping, limit-limit/4)
	defer cancelBackground()
	// What runs in the background still sends and counts, so sockets and metrics close after it.
	var timeouts []string
	if !isDone(waitingForBackground, &background) {
		timeouts = append(timeouts, "background")
	}
	n.close()
	if !isDone(waiting, &readers) {
		timeouts = append(timeouts, "readers")
	}
	if len(timeouts) == 0 {
		return nil
	}
	return errors.WithStack(&StopTimeoutError{Waiting: strings.Join(timeouts, " and "), Timeout: limit})
}

// startReaders starts the goroutines that end when the sockets and servers are closed.
func (n *Node) startReaders(group *sync.WaitGroup) {
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
}

// isDone waits until the goroutines of a group have ended, or the context is done, and
// reports whether they have ended.
func isDone(ctx context.Context, group *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// close closes the node's sockets and HTTP servers.
func (n *Node) close() {
	for _, s := range n.Servers {
		if s.server != nil {
			_ = s.server.Close() // The process is exiting.
		}
	}
	for _, c := range []*net.UDPConn{n.peers, n.requesters, n.host} {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Listen opens the node's sockets for frames, requesters and the host, and the
// listeners of its HTTP servers.
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

// PeersAddr returns the address at which the node receives frames. Listen must have
// succeeded before.
func (n *Node) PeersAddr() netip.AddrPort {
	return n.peers.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Server is an HTTP server. It is not started if Address is empty.
type Server struct {
	Name    string
	Address string
	Handler http.Handler
	// Optional marks a server that is skipped, with a warning in the log, if
	// it cannot listen.
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

// NewOutput returns an Output that sends through the node's sockets. It is not
// safe for concurrent use. Listen must have succeeded before.
func (n *Node) NewOutput() Output {
	return &output{node: n, scratch: make([]byte, 0, maxDatagram+flow.FrameSize)}
}

// sweep calls Tick and Expire and refills the log budgets at regular intervals
// until the context is done.
func (n *Node) sweep(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	var tick <-chan time.Time
	if n.Tick != nil {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		tick = ticker.C
	}
	var wake <-chan time.Duration
	if n.Alarm != nil {
		wake = n.Alarm.times
	}
	flush := time.NewTimer(0)
	defer flush.Stop()
	<-flush.C
	out := n.NewOutput()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-wake:
			flush.Reset(max(0, at-n.Now()))
		case <-flush.C:
			n.contain("flush", func() { n.Flush(n.Now(), out) })
		case <-tick:
			n.contain("tick", func() { n.Tick(n.Now(), out) })
		case <-expire.C:
			n.contain("expire", func() { n.Expire(n.Now()) })
			n.Events.Refill()
		}
	}
}

// anySender returns a frame handler that ignores the sender's address.
func anySender(handle Handler) FrameHandler {
	return func(now time.Duration, _ [4]byte, data []byte, out Output) { handle(now, data, out) }
}

// read passes the datagrams that arrive at a socket to the handler until the
// socket is closed.
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
		n.contain("datagram", func() { handle(n.Now(), from.Addr().Unmap().As4(), buffer[:size], out) })
	}
}

// contain runs a step and logs a panic in it, so that one unexpected message does not
// end the process and, with it, every flow that it carries. The cores release their
// locks by defer.
func (n *Node) contain(step string, run func()) {
	defer func() {
		if reason := recover(); reason != nil {
			n.Events.Drop(DropPanic)
			n.Events.Log(EventPanic, flow.Key{}, "step", step, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
		}
	}()
	run()
}

// output sends through the node's sockets. It has a buffer of its own, so each
// reader goroutine uses a separate one.
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
