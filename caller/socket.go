package caller

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// socket is a UDP socket whose port can be released while a QUIC transport
// still uses it. A transport whose socket fails ends the flows on it, including
// those that have migrated elsewhere. closePort therefore releases the port of
// a socket that is no longer needed, and reads block until Close.
type socket struct {
	udp    *net.UDPConn
	closed chan struct{}

	mu         sync.Mutex
	portClosed bool
	// sent is closed when the next packet that is not a path probe is sent.
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

// closePort releases the local port.
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
// this socket. Path probes do not count; they are recognized by being padded to
// a full packet.
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

// WriteTo implements net.PacketConn. A packet that cannot be sent, for instance
// because there is no route or the port is released, is dropped without an
// error, as if lost on the network. An error would end the flow, though the
// fault may soon pass.
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

// SetReadBuffer is called by the QUIC library.
func (s *socket) SetReadBuffer(bytes int) error { return s.udp.SetReadBuffer(bytes) }

// SetWriteBuffer is called by the QUIC library.
func (s *socket) SetWriteBuffer(bytes int) error { return s.udp.SetWriteBuffer(bytes) }

// SyscallConn is called by the QUIC library.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.udp.SyscallConn() }
