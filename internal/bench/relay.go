package bench

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/turmericrock/turmericrock/tunnel"
)

// batchSize is the maximum number of packets per system call.
const batchSize = 64

// Relay listens on one address and forwards all datagrams unchanged to another,
// in batches, until an error occurs. It is the baseline for the forwarding rate
// of an entry.
func Relay(from, to netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(from))
	if err != nil {
		return errors.WithStack(err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	outConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: from.Addr().AsSlice()})
	if err != nil {
		return errors.WithStack(err)
	}
	receiver, sender := ipv4.NewPacketConn(conn), ipv4.NewPacketConn(outConn)
	received := newBatch(nil)
	sending := newBatch(net.UDPAddrFromAddrPort(to))
	for {
		n, err := receiver.ReadBatch(received, 0)
		if err != nil {
			return errors.WithStack(err)
		}
		for i := range n {
			sending[i].Buffers[0] = received[i].Buffers[0][:received[i].N]
		}
		if err := writeBatch(sender, sending[:n]); err != nil {
			return err
		}
	}
}

const socketBuffer = 4 << 20 // bytes

// newBatch returns a batch of messages with buffers of tunnel.MaxDatagram bytes,
// addressed to the given address.
func newBatch(to net.Addr) []ipv4.Message {
	batch := make([]ipv4.Message, batchSize)
	for i := range batch {
		batch[i].Buffers = [][]byte{make([]byte, tunnel.MaxDatagram)}
		batch[i].Addr = to
	}
	return batch
}

func writeBatch(conn *ipv4.PacketConn, batch []ipv4.Message) error {
	for len(batch) > 0 {
		n, err := conn.WriteBatch(batch, 0)
		if err != nil {
			return errors.WithStack(err)
		}
		batch = batch[n:]
	}
	return nil
}
