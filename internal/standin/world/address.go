package world

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Second octets of the loopback networks that worlds take.
const (
	firstOctet = 16
	octets     = 224
)

// worlds counts the worlds of this process.
var worlds atomic.Uint32

// network is a world's own part of the loopback network, so that worlds that
// run side by side share no address.
type network struct {
	octet byte
	guard net.Listener
	nodes int
}

// claimNetwork takes a network that no other world holds. A listener on its
// first address guards it.
func claimNetwork() (*network, error) {
	start := uint32(os.Getpid())*7 + worlds.Add(1)
	var last error
	for i := range uint32(octets) {
		octet := byte(firstOctet + (start+i)%octets)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, 255, 1}), guardPort)
		guard, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err == nil {
			return &network{octet: octet, guard: guard}, nil
		}
		last = err
	}
	return nil, errors.WithStack(last)
}

const guardPort = 20009

func (n *network) release() {
	_ = n.guard.Close()
}

// service returns the IP of service i.
func (n *network) service(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet, byte(i), 1})
}

// returns returns the IP of the return addresses of callers of service i.
func (n *network) returns(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet, byte(i), 2})
}

// node returns an IP that no other node has had.
func (n *network) node() netip.Addr {
	k := n.nodes
	n.nodes++
	return netip.AddrFrom4([4]byte{127, n.octet, byte(128 + k/250), byte(1 + k%250)})
}

// freePort returns a port of the IP that is free for UDP and TCP. Nothing but
// the asking node takes ports of a node's IP.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func freeTCPPort(ip netip.Addr) (netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}
