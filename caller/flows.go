package caller

import (
	"context"

	"github.com/pkg/errors"
)

// acquire returns the client's flow for one request, opening one when there
// is none.
func (c *Client) acquire(ctx context.Context) (*flow, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, &ClosedError{}
	}
	if c.flow != nil && c.flow.usable() {
		f := c.flow
		f.active++
		c.mu.Unlock()
		return f, nil
	}
	c.mu.Unlock()
	f, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f.active++
	return f, nil
}

// connect opens a flow for new requests. Requests that need one at the same
// time share it.
func (c *Client) connect(ctx context.Context) (*flow, error) {
	result := c.dials.DoChan("", func() (any, error) {
		f, err := c.dial(c.ctx)
		if err != nil {
			return nil, err
		}
		return f, c.adopt(f)
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

// adopt makes the flow the one that takes new requests.
func (c *Client) adopt(f *flow) error {
	c.mu.Lock()
	before := c.flow
	closed := c.closed
	if !closed {
		c.flow = f
		c.flows[f] = struct{}{}
	}
	c.mu.Unlock()
	context.AfterFunc(f.quic.Context(), func() { c.end(f) })
	if closed {
		f.close()
		return &ClosedError{}
	}
	go f.watch(c.replace)
	if before != nil {
		c.retire(before)
	}
	return nil
}

// retire makes the next request open a new flow. What is in service on the
// old one goes on, and its end closes the flow.
func (c *Client) retire(f *flow) {
	c.mu.Lock()
	if c.flow == f {
		c.flow = nil
	}
	f.retired = true
	idle := f.active == 0
	c.mu.Unlock()
	if idle {
		f.close()
	}
}

// release notes the end of a request on the flow.
func (c *Client) release(f *flow) {
	c.mu.Lock()
	f.active--
	idle := f.retired && f.active == 0
	c.mu.Unlock()
	if idle {
		f.close()
	}
}

// replace opens another flow beside a silent one. Requests in service on the
// silent flow wait for it to come back, but for idempotent ones.
func (c *Client) replace(f *flow) {
	c.mu.Lock()
	needed := !c.closed && (c.flow == nil || c.flow == f)
	c.mu.Unlock()
	if needed {
		if _, err := c.connect(c.ctx); err != nil {
			return
		}
	}
	if f.silent.Load() {
		c.events.replaced.Add(1)
		f.giveUp()
	}
}

// end forgets a flow that has ended.
func (c *Client) end(f *flow) {
	c.mu.Lock()
	delete(c.flows, f)
	if c.flow == f {
		c.flow = nil
	}
	c.mu.Unlock()
	f.release()
}
