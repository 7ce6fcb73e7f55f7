package world

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Sink receives and records the packets that are still sent to the address of
// a VM that has ended.
type Sink struct {
	conn *net.UDPConn

	mu      sync.Mutex
	packets []ReceivedPacket
}

// ReceivedPacket describes one packet that arrived at a Sink.
type ReceivedPacket struct {
	At   time.Time
	From netip.AddrPort
	Size int
}

// OpenSink listens on the tunnel address of a node whose process has ended.
func (n *Node) OpenSink() (*Sink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.VM().Addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Sink{conn: conn}
	go s.run()
	return s, nil
}

// PacketCount returns the number of packets received so far.
func (s *Sink) PacketCount() uint64 {
	return uint64(len(s.ReceivedPackets()))
}

// ReceivedPackets returns the packets received so far.
func (s *Sink) ReceivedPackets() []ReceivedPacket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.packets)
}

// Close releases the address.
func (s *Sink) Close() {
	_ = s.conn.Close()
}

func (s *Sink) run() {
	buf := make([]byte, sinkBuffer)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			s.add(ReceivedPacket{At: time.Now(), From: from, Size: n})
		}
	}
}

func (s *Sink) add(arrival ReceivedPacket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.packets = append(s.packets, arrival)
}

const sinkBuffer = 2048 // bytes
