package agent

import (
	"context"
	"net"
	"sync/atomic"
)

// sendGuard decides atomically, and only once, whether a request is sent to the
// backend server or aborted before its first byte. When sending fails, the
// request may be reported as not run only if abort succeeds: any later write then
// fails.
type sendGuard struct {
	state atomic.Uint32
}

const (
	sendPending uint32 = iota
	sendStarted
	sendAborted
)

// allowWrite reports whether bytes may be written. The first call that returns
// true rules out an abort.
func (g *sendGuard) allowWrite() bool {
	return g.state.CompareAndSwap(sendPending, sendStarted) || g.state.Load() == sendStarted
}

// abort reports whether no byte was written and none will be.
func (g *sendGuard) abort() bool {
	return g.state.CompareAndSwap(sendPending, sendAborted) || g.state.Load() == sendAborted
}

type backendRequestKey struct{}

// guardedConn is a connection whose writes fail with net.ErrClosed once its
// request has been aborted.
type guardedConn struct {
	net.Conn
	ctx   context.Context
	guard *sendGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.ctx.Err() != nil {
		c.guard.abort()
	}
	if !c.guard.allowWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}
