package world

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// meshLinks tracks the open mesh links between nodes and which pairs of nodes
// are partitioned. Nodes are identified by the IP addresses from which they
// dial.
type meshLinks struct {
	mu        sync.Mutex
	groups    map[netip.Addr]int
	openLinks map[*meshLink]struct{}
}

// meshLink is one mesh link that passes through a relay.
type meshLink struct {
	from, to   netip.Addr
	clientConn net.Conn
	serverConn net.Conn
}

func newMeshLinks() *meshLinks {
	return &meshLinks{groups: make(map[netip.Addr]int), openLinks: make(map[*meshLink]struct{})}
}

// setPartition assigns nodes to groups, where a node that is not in the map
// belongs to group 0, and closes the links between different groups.
func (l *meshLinks) setPartition(groups map[netip.Addr]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups = groups
	for r := range l.openLinks {
		if l.isCut(r) {
			r.close()
		}
	}
}

// isCut reports whether a partition separates the ends of the link. The caller
// holds mu.
func (l *meshLinks) isCut(r *meshLink) bool {
	return l.groups[r.from] != l.groups[r.to]
}

// add registers the link unless a partition separates its ends, and reports
// whether it did.
func (l *meshLinks) add(r *meshLink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut(r) {
		return false
	}
	l.openLinks[r] = struct{}{}
	return true
}

func (l *meshLinks) remove(r *meshLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openLinks, r)
}

func (r *meshLink) close() {
	_ = r.clientConn.Close()
	_ = r.serverConn.Close()
}

// relay accepts connections for a node's mesh address and forwards those that
// no partition cuts.
type relay struct {
	links    *meshLinks
	listener *net.TCPListener
	target   netip.AddrPort
}

// startRelay starts a relay on another port of the target's IP address.
func startRelay(l *meshLinks, target netip.AddrPort) (*relay, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(target.Addr(), 0)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := &relay{links: l, listener: listener, target: target}
	go r.run()
	return r, nil
}

func (r *relay) addr() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (r *relay) close() {
	_ = r.listener.Close()
}

func (r *relay) run() {
	for {
		clientConn, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		go r.forward(clientConn)
	}
}

func (r *relay) forward(clientConn *net.TCPConn) {
	serverConn, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(r.target))
	if err != nil {
		_ = clientConn.Close()
		return
	}
	link := &meshLink{
		from:       clientConn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(),
		to:         r.target.Addr(),
		clientConn: clientConn,
		serverConn: serverConn,
	}
	defer link.close()
	if !r.links.add(link) {
		return
	}
	defer r.links.remove(link)
	done := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader) {
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go pipe(serverConn, clientConn)
	go pipe(clientConn, serverConn)
	<-done
}
