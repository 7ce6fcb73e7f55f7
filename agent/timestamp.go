package agent

import (
	"net"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxDatagramAge is the maximum time that a datagram may have waited in the
	// socket's receive buffer. Older ones arrived while the process was paused, and
	// callers may have given up on the requests that they carry.
	maxDatagramAge = time.Second
	// controlMessageSize is the size in bytes of the buffer for the control
	// message with the timestamp.
	controlMessageSize = 64
)

// enableTimestamps makes the kernel attach the time of arrival to each datagram
// that is read from the socket.
func enableTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(sockoptErr)
}

// datagramAge returns the time since the kernel received the datagram to which the
// control message belongs. It returns 0 when control holds no timestamp.
func datagramAge(now time.Time, control []byte) time.Duration {
	if len(control) == 0 {
		return 0
	}
	header, data, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || header.Level != unix.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS {
		return 0
	}
	var timestamp unix.Timespec
	if len(data) < int(unsafe.Sizeof(timestamp)) {
		return 0
	}
	timestamp = *(*unix.Timespec)(unsafe.Pointer(&data[0]))
	// The kernel's timestamp is wall-clock time. Round strips the monotonic clock
	// reading, so that the difference is taken on the wall clock.
	return now.Round(0).Sub(time.Unix(timestamp.Unix()))
}
