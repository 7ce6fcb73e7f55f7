package world

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Sink counts the packets that arrive at the address of a VM that is gone.
type Sink struct {
	conn    *net.UDPConn
	packets atomic.Uint64
}

// Sink takes the tunnel address of a node whose process has ended.
func (n *Node) Sink() (*Sink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.VM().Addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Sink{conn: conn}
	go s.run()
	return s, nil
}

// Packets returns the number of packets so far.
func (s *Sink) Packets() uint64 {
	return s.packets.Load()
}

// Close gives the address up.
func (s *Sink) Close() {
	_ = s.conn.Close()
}

func (s *Sink) run() {
	buf := make([]byte, sinkBuffer)
	for {
		_, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			s.packets.Add(1)
		}
	}
}

const sinkBuffer = 2048 // bytes
