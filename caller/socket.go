package caller

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// socket is a local address. A transport that loses its socket ends the
// flows on it, also those that have moved elsewhere; so a socket that is no
// longer needed is parked: it gives up its port, and reads wait for Close.
type socket struct {
	udp    *net.UDPConn
	closed chan struct{}

	mu         sync.Mutex
	portClosed bool
	// sent is closed by the next packet that is no probe of a path.
	sent      chan struct{}
	closeOnce sync.Once
}

func newSocket(network string) (*socket, error) {
	udp, err := net.ListenUDP(network, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &socket{udp: udp, closed: make(chan struct{})}, nil
}

// closePort gives up the port.
func (s *socket) closePort() {
	s.mu.Lock()
	s.portClosed = true
	s.mu.Unlock()
	_ = s.udp.Close()
}

func (s *socket) isPortClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.portClosed
}

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := s.udp.ReadFrom(p)
	if err != nil && s.isPortClosed() {
		<-s.closed
	}
	return n, addr, err
}

// notifyOnSend returns a channel that is closed once the connection sends on
// this socket. Probes of the path do not count: they are padded to a full
// packet.
func (s *socket) notifyOnSend() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = make(chan struct{})
	return s.sent
}

func (s *socket) recordSent(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent != nil && size < packetSize {
		close(s.sent)
		s.sent = nil
	}
}

// WriteTo implements net.PacketConn. What cannot be sent, as when there is no
// route or the socket is parked, is lost as on the network. An error would
// end the flow, which may be well again in a moment.
func (s *socket) WriteTo(p []byte, addr net.Addr) (int, error) {
	s.recordSent(len(p))
	n, err := s.udp.WriteTo(p, addr)
	if err == nil || errors.Is(err, net.ErrClosed) && !s.isPortClosed() {
		return n, err
	}
	return len(p), nil
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.udp.Close()
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return s.udp.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(t time.Time) error { return s.udp.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(t time.Time) error { return s.udp.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (s *socket) SetWriteDeadline(t time.Time) error { return s.udp.SetWriteDeadline(t) }

// SetReadBuffer is asked for by the QUIC library.
func (s *socket) SetReadBuffer(bytes int) error { return s.udp.SetReadBuffer(bytes) }

// SetWriteBuffer is asked for by the QUIC library.
func (s *socket) SetWriteBuffer(bytes int) error { return s.udp.SetWriteBuffer(bytes) }

// SyscallConn is asked for by the QUIC library.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.udp.SyscallConn() }
