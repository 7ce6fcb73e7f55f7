package world

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// links knows which mesh links between nodes are cut. Nodes are told apart by
// their IPs, from which they dial.
type links struct {
	mu    sync.Mutex
	parts map[netip.Addr]int
	conns map[*relayed]struct{}
}

// relayed is one mesh link on its way through a relay.
type relayed struct {
	from, to netip.Addr
	near     net.Conn
	far      net.Conn
}

func newLinks() *links {
	return &links{parts: make(map[netip.Addr]int), conns: make(map[*relayed]struct{})}
}

// split puts each node into a part. Links between parts are cut.
func (l *links) split(parts map[netip.Addr]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts = parts
	for r := range l.conns {
		if l.isCut(r) {
			r.close()
		}
	}
}

// isCut reports whether the link is cut. The caller holds mu.
func (l *links) isCut(r *relayed) bool {
	return l.parts[r.from] != l.parts[r.to]
}

// open notes the link and reports whether it may stand.
func (l *links) open(r *relayed) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut(r) {
		return false
	}
	l.conns[r] = struct{}{}
	return true
}

func (l *links) forget(r *relayed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, r)
}

func (r *relayed) close() {
	_ = r.near.Close()
	_ = r.far.Close()
}

// relay stands before a node's mesh address and carries links that are not
// cut.
type relay struct {
	links    *links
	listener *net.TCPListener
	target   netip.AddrPort
}

// startRelay listens on another port of the target's IP.
func startRelay(l *links, target netip.AddrPort) (*relay, error) {
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
		near, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

func (r *relay) carry(near *net.TCPConn) {
	far, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(r.target))
	if err != nil {
		_ = near.Close()
		return
	}
	link := &relayed{
		from: near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(),
		to:   r.target.Addr(),
		near: near,
		far:  far,
	}
	defer link.close()
	if !r.links.open(link) {
		return
	}
	defer r.links.forget(link)
	done := make(chan struct{}, 2)
	pipe := func(dst io.Writer, src io.Reader) {
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go pipe(far, near)
	go pipe(near, far)
	<-done
}
