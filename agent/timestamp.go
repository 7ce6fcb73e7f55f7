package agent

import (
	"net"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxDatagramAge is how long a datagram may have waited in the socket's
	// buffer. Older ones waited while the process was paused: what they ask
	// for may have been given up.
	maxDatagramAge = time.Second
	// controlSize holds a timestamp's control message, in bytes.
	controlMessageSize = 64
)

// stampArrivals makes the kernel tell when each datagram arrived.
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

// datagramAge returns how long ago the kernel received the datagram with the
// control message, or 0 when it does not tell.
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
	// The kernel's stamp is of the wall clock, and so is this difference.
	return now.Round(0).Sub(time.Unix(timestamp.Unix()))
}
