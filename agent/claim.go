package agent

import (
	"context"
	"net"
	"sync/atomic"
)

// claim settles, once, whether the first byte of a request went out or the
// request was given up before. A word of "not run" is true only if it was
// given up: a write that comes later fails.
type claim struct {
	state atomic.Uint32
}

const (
	claimOpen uint32 = iota
	claimSent
	claimGivenUp
)

// send reports whether bytes may be written.
func (c *claim) send() bool {
	return c.state.CompareAndSwap(claimOpen, claimSent) || c.state.Load() == claimSent
}

// giveUp reports whether no byte was written, and none will be.
func (c *claim) giveUp() bool {
	return c.state.CompareAndSwap(claimOpen, claimGivenUp) || c.state.Load() == claimGivenUp
}

type claimKey struct{}

// claimConn writes only while its request was not given up.
type claimConn struct {
	net.Conn
	ctx   context.Context
	claim *claim
}

// Write implements net.Conn.
func (c *claimConn) Write(p []byte) (int, error) {
	if c.ctx.Err() != nil {
		c.claim.giveUp()
	}
	if !c.claim.send() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}
