package world

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The range of second octets of the loopback networks that worlds use.
const (
	firstNetworkOctet = 16
	networkOctets     = 224
)

// worldCount is the number of worlds created in this process.
var worldCount atomic.Uint32

// network is the part of the loopback network that belongs to one world, so
// that worlds running at the same time share no addresses.
type network struct {
	octet        byte
	lockListener net.Listener
	nodeCount    int
}

// reserveNetwork returns a network that no other world uses. The reservation
// is a TCP listener on a fixed port of the network and works across processes.
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

// serviceIP returns the IP address of the i-th service.
func (n *network) serviceIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet, byte(i), 1})
}

// returnIP returns the IP address that the fabric of the i-th service uses as
// the source address of callers' packets.
func (n *network) returnIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet, byte(i), 2})
}

// newNodeIP returns an IP address that no other node of the world has used.
func (n *network) newNodeIP() netip.Addr {
	k := n.nodeCount
	n.nodeCount++
	return netip.AddrFrom4([4]byte{127, n.octet, byte(128 + k/250), byte(1 + k%250)})
}

// handedOut holds the addresses that freePort and freeTCPPort have returned. The system
// may choose the same port twice, since both free it again.
var handedOut sync.Map

// freePort returns a port of the IP address that is free for UDP and that was not
// returned before. On a node's own IP address it is free for TCP as well and stays free,
// because only that node takes ports there.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	return handOutNew(ip, listenUDPOnce)
}

// freeTCPPort is like freePort for TCP.
func freeTCPPort(ip netip.Addr) (netip.AddrPort, error) {
	return handOutNew(ip, listenTCPOnce)
}

// handOutNew calls listenOnce until it returns an address that was not handed out.
func handOutNew(ip netip.Addr, listenOnce func(netip.Addr) (netip.AddrPort, error)) (netip.AddrPort, error) {
	for {
		addr, err := listenOnce(ip)
		if err != nil {
			return netip.AddrPort{}, err
		}
		if _, taken := handedOut.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
}

func listenUDPOnce(ip netip.Addr) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func listenTCPOnce(ip netip.Addr) (netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}
