package agent

import (
	"context"
	"net"
	"sync/atomic"
)

// claim settles, once, whether the first byte of a request went out or the
// request was given up before. A word of "not run" is true only if it was
// given up: a write that comes later fails.
type sendGuard struct {
	state atomic.Uint32
}

const (
	sendPending uint32 = iota
	sendStarted
	sendAborted
)

// send reports whether bytes may be written.
func (g *sendGuard) allowWrite() bool {
	return g.state.CompareAndSwap(sendPending, sendStarted) || g.state.Load() == sendStarted
}

// giveUp reports whether no byte was written, and none will be.
func (g *sendGuard) abort() bool {
	return g.state.CompareAndSwap(sendPending, sendAborted) || g.state.Load() == sendAborted
}

type backendRequestKey struct{}

// claimConn writes only while its request was not given up.
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
