package world

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Second networkOctets of the loopback networks that worlds take.
const (
	firstNetworkOctet = 16
	networkOctets     = 224
)

// worldCount counts the worldCount of this process.
var worldCount atomic.Uint32

// network is a world's own part of the loopback network, so that worlds that
// run side by side share no address.
type network struct {
	octet        byte
	lockListener net.Listener
	nodeCount    int
}

// reserveNetwork takes a network that no other world holds. A listener on its
// first address guards it.
func reserveNetwork() (*network, error) {
	start := uint32(os.Getpid())*7 + worldCount.Add(1)
	var lastErr error
	for i := range uint32(networkOctets) {
		octet := byte(firstNetworkOctet + (start+i)%networkOctets)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, 255, 1}), lockPort)
		listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err == nil {
			return &network{octet: octet, lockListener: listener}, nil
		}
		lastErr = err
	}
	return nil, errors.WithStack(lastErr)
}

const lockPort = 20009

func (n *network) release() {
	_ = n.lockListener.Close()
}

// serviceIP returns the IP of serviceIP i.
func (n *network) serviceIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet, byte(i), 1})
}

// returnIP returnIP the IP of the return addresses of callers of service i.
func (n *network) returnIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet, byte(i), 2})
}

// newNodeIP returns an IP that no other newNodeIP has had.
func (n *network) newNodeIP() netip.Addr {
	k := n.nodeCount
	n.nodeCount++
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
