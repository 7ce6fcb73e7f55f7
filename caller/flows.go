package caller

import (
	"context"

	"github.com/pkg/errors"
)

// acquireFlow returns the client's flow for one request, opening one when there
// is none.
func (c *Client) acquireFlow(ctx context.Context) (*flow, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, &ClosedError{}
	}
	if c.current != nil && c.current.isOpen() {
		f := c.current
		f.activeRequests++
		c.mu.Unlock()
		return f, nil
	}
	c.mu.Unlock()
	f, err := c.openFlow(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f.activeRequests++
	return f, nil
}

// openFlow opens a flow for new requests. Requests that need one at the same
// time share it.
func (c *Client) openFlow(ctx context.Context) (*flow, error) {
	result := c.dialGroup.DoChan("", func() (any, error) {
		f, err := c.dial(c.ctx)
		if err != nil {
			return nil, err
		}
		return f, c.setCurrent(f)
	})
	select {
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*flow), nil
	}
}

// setCurrent makes the flow the one that takes new requests.
func (c *Client) setCurrent(f *flow) error {
	c.mu.Lock()
	previous := c.current
	closed := c.closed
	if !closed {
		c.current = f
		c.flows[f] = struct{}{}
	}
	c.mu.Unlock()
	context.AfterFunc(f.quic.Context(), func() { c.removeFlow(f) })
	if closed {
		f.close()
		return &ClosedError{}
	}
	go f.monitorPath(c.replaceSilent)
	if previous != nil {
		c.retire(previous)
	}
	return nil
}

// retire makes the next request open a new flow. What is in service on the
// old one goes on, and its end closes the flow.
func (c *Client) retire(f *flow) {
	c.mu.Lock()
	if c.current == f {
		c.current = nil
	}
	f.retired = true
	idle := f.activeRequests == 0
	c.mu.Unlock()
	if idle {
		f.close()
	}
}

// releaseFlow notes the end of a request on the flow.
func (c *Client) releaseFlow(f *flow) {
	c.mu.Lock()
	f.activeRequests--
	idle := f.retired && f.activeRequests == 0
	c.mu.Unlock()
	if idle {
		f.close()
	}
}

// replaceSilent opens another flow beside a silent one. Requests in service on the
// silent flow wait for it to come back, but for idempotent ones.
func (c *Client) replaceSilent(f *flow) {
	c.mu.Lock()
	needed := !c.closed && (c.current == nil || c.current == f)
	c.mu.Unlock()
	if needed {
		if _, err := c.openFlow(c.ctx); err != nil {
			return
		}
	}
	if f.silent.Load() {
		c.counts.replaced.Add(1)
		f.abandon()
	}
}

// removeFlow forgets a flow that has ended.
func (c *Client) removeFlow(f *flow) {
	c.mu.Lock()
	delete(c.flows, f)
	if c.current == f {
		c.current = nil
	}
	c.mu.Unlock()
	f.closeEndpoints()
}
