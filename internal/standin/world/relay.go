package world

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// meshLinks knows which mesh meshLinks between nodes are cut. Nodes are told apart by
// their IPs, from which they dial.
type meshLinks struct {
	mu        sync.Mutex
	groups    map[netip.Addr]int
	openLinks map[*meshLink]struct{}
}

// meshLink is one mesh link on its way through a relay.
type meshLink struct {
	from, to   netip.Addr
	clientConn net.Conn
	serverConn net.Conn
}

func newMeshLinks() *meshLinks {
	return &meshLinks{groups: make(map[netip.Addr]int), openLinks: make(map[*meshLink]struct{})}
}

// setPartition puts each node into a part. Links between parts are cut.
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

// isCut reports whether the link is cut. The caller holds mu.
func (l *meshLinks) isCut(r *meshLink) bool {
	return l.groups[r.from] != l.groups[r.to]
}

// add notes the link and reports whether it may stand.
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

// relay stands before a node's mesh address and carries links that are not
// cut.
type relay struct {
	links    *meshLinks
	listener *net.TCPListener
	target   netip.AddrPort
}

// startRelay listens on another port of the target's IP.
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
