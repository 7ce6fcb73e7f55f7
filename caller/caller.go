// Package caller is an HTTP/3 caller that others embed. It keeps one flow to
// a service, moves it to a new local address when its path goes silent, and
// opens another when it ends. It retries only what was refused as not run,
// honours deadlines and tells an unknown outcome from a refusal.
package caller

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// Client holds a flow to a service. It is safe for concurrent use.
type Client struct {
	config Config
	budget *budget
	dials  singleflight.Group
	ctx    context.Context
	cancel context.CancelFunc
	events counters

	mu sync.Mutex
	// flow takes new requests. It is nil when there is none.
	flow *flow
	// flows are all that have not ended.
	flows  map[*flow]struct{}
	closed bool
}

// New returns a client without a flow.
func New(config Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config,
		budget: newBudget(config.RetryRatio, config.RetryBurst, time.Now()),
		ctx:    ctx,
		cancel: cancel,
		flows:  make(map[*flow]struct{}),
	}
}

// Close ends the client's flows and what is in service on them.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.flow = nil
	flows := make([]*flow, 0, len(c.flows))
	for f := range c.flows {
		flows = append(flows, f)
	}
	c.mu.Unlock()
	c.cancel()
	for _, f := range flows {
		f.close()
	}
}

// Do sends the request and returns the whole answer. The error is a
// *NotRunError or an *UnknownError.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	var body bytes.Buffer
	collect := &receiver{
		receive: func(piece []byte) { body.Write(piece) },
		reset:   body.Reset,
	}
	response, err := c.do(ctx, request, collect)
	if err != nil {
		return nil, err
	}
	response.Body = body.Bytes()
	return response, nil
}

// Stream sends the request and hands the answer's body to receive piece by
// piece. The error is a *NotRunError or an *UnknownError.
func (c *Client) Stream(ctx context.Context, request Request, receive func([]byte)) (*Response, error) {
	return c.do(ctx, request, &receiver{receive: receive})
}

// Stats returns what the client has counted so far.
func (c *Client) Stats() Stats {
	return c.events.stats()
}

// receiver takes the pieces of an answer.
type receiver struct {
	receive func([]byte)
	// reset forgets the pieces. It is nil where they were handed on.
	reset     func()
	delivered bool
}

func (r *receiver) take(piece []byte) {
	r.delivered = true
	r.receive(piece)
}

// restart prepares for a repeat and reports whether there may be one.
func (r *receiver) restart() bool {
	if !r.delivered {
		return true
	}
	if r.reset == nil {
		return false
	}
	r.reset()
	r.delivered = false
	return true
}

func (c *Client) do(ctx context.Context, request Request, out *receiver) (*Response, error) {
	c.budget.deposit()
	for attempt := 1; ; attempt++ {
		response, err := c.try(ctx, request, out)
		if err == nil {
			response.Attempts = attempt
			return response, nil
		}
		if !c.mayRepeat(ctx, err, attempt, request, out) {
			return nil, withAttempts(err, attempt)
		}
		c.events.repeats.Add(1)
		timer := time.NewTimer(c.config.backoff(attempt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, withAttempts(err, attempt)
		case <-timer.C:
		}
	}
}

// mayRepeat reports whether the request may be tried again after the error.
func (c *Client) mayRepeat(ctx context.Context, err error, attempt int, request Request, out *receiver) bool {
	if attempt >= c.config.Attempts || ctx.Err() != nil || permanent(err) {
		return false
	}
	var unknown *UnknownError
	if errors.As(err, &unknown) && !(request.Idempotent && out.restart()) {
		return false
	}
	if !c.budget.withdraw(time.Now()) {
		c.events.overBudget.Add(1)
		return false
	}
	return true
}

// permanent reports whether another attempt would fail in the same way.
func permanent(err error) bool {
	var invalid *RequestError
	var closed *ClosedError
	return errors.As(err, &invalid) || errors.As(err, &closed)
}

func withAttempts(err error, attempts int) error {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		notRun.Attempts = attempts
	}
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		unknown.Attempts = attempts
	}
	return err
}

// try sends the request once.
func (c *Client) try(ctx context.Context, request Request, out *receiver) (*Response, error) {
	outgoing, err := c.build(ctx, request)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	for round := 1; ; round++ {
		x := &exchange{request: outgoing, body: request.Body, out: out}
		response, err := c.tryFlow(ctx, x, request.Idempotent)
		if err == nil {
			return response, nil
		}
		if x.opened.Load() {
			return nil, c.judge(x, err)
		}
		var dial *DialError
		if round == openRounds || ctx.Err() != nil || permanent(err) || errors.As(err, &dial) {
			return nil, &NotRunError{Err: err}
		}
	}
}

// openRounds is how often a flow that takes no new stream is replaced within
// one attempt.
const openRounds = 2

// tryFlow sends the request on the client's flow.
func (c *Client) tryFlow(ctx context.Context, x *exchange, idempotent bool) (*Response, error) {
	f, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer c.release(f)
	response, err := x.run(ctx, f, idempotent)
	if err == nil {
		return response, nil
	}
	// A flow that opened no stream has ended, or a GOAWAY has arrived. One
	// that refused may do so again.
	if !x.opened.Load() && ctx.Err() == nil || x.refused(err) {
		c.retire(f)
	}
	return nil, err
}

// judge tells a refusal from an unknown outcome.
func (c *Client) judge(x *exchange, err error) error {
	if x.refused(err) {
		c.events.refused.Add(1)
		return &NotRunError{Err: err}
	}
	return &UnknownError{Err: err}
}
