package caller

import (
	"context"

	"github.com/pkg/errors"
)

// acquireFlow returns the current flow for one request, and opens one if there
// is none. The request must call releaseFlow when it ends.
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

// openFlow opens a flow for new requests. Concurrent calls share one flow.
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

// setCurrent makes f the flow for new requests and retires the previous one.
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

// retire stops new requests from using the flow. Requests in progress continue,
// and the flow is closed when the last of them ends.
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

// releaseFlow records the end of a request on the flow, and closes the flow if
// it is retired and idle.
func (c *Client) releaseFlow(f *flow) {
	c.mu.Lock()
	f.activeRequests--
	idle := f.retired && f.activeRequests == 0
	c.mu.Unlock()
	if idle {
		f.close()
	}
}

// replaceSilent opens another flow next to a silent one. If the flow is still
// silent by then, idempotent requests abandon it; others wait for it to recover.
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

// removeFlow removes a flow that has ended and closes its endpoints.
func (c *Client) removeFlow(f *flow) {
	c.mu.Lock()
	delete(c.flows, f)
	if c.current == f {
		c.current = nil
	}
	c.mu.Unlock()
	f.closeEndpoints()
}
