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
	config    Config
	budget    *retryBudget
	dialGroup singleflight.Group
	ctx       context.Context
	cancel    context.CancelFunc
	counts    counters

	mu sync.Mutex
	// current takes new requests. It is nil when there is none.
	current *flow
	// flows are all that have not ended.
	flows  map[*flow]struct{}
	closed bool
}

// New returns a client without a flow.
func New(config Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config,
		budget: newRetryBudget(config.RetryRatio, config.RetryBurst, time.Now()),
		ctx:    ctx,
		cancel: cancel,
		flows:  make(map[*flow]struct{}),
	}
}

// Close ends the client's flows and what is in service on them.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.current = nil
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
	sink := &bodySink{
		onChunk: func(chunk []byte) { body.Write(chunk) },
		reset:   body.Reset,
	}
	response, err := c.do(ctx, request, sink)
	if err != nil {
		return nil, err
	}
	response.Body = body.Bytes()
	return response, nil
}

// Stream sends the request and hands the answer's body to receive piece by
// piece. The error is a *NotRunError or an *UnknownError.
func (c *Client) Stream(ctx context.Context, request Request, onChunk func([]byte)) (*Response, error) {
	return c.do(ctx, request, &bodySink{onChunk: onChunk})
}

// Stats returns what the client has counted so far.
func (c *Client) Stats() Stats {
	return c.counts.snapshot()
}

// bodySink takes the pieces of an answer.
type bodySink struct {
	onChunk func([]byte)
	// reset forgets the pieces. It is nil where they were handed on.
	reset     func()
	delivered bool
}

func (s *bodySink) deliver(chunk []byte) {
	s.delivered = true
	s.onChunk(chunk)
}

// prepareRetry prepares for a repeat and reports whether there may be one.
func (s *bodySink) prepareRetry() bool {
	if !s.delivered {
		return true
	}
	if s.reset == nil {
		return false
	}
	s.reset()
	s.delivered = false
	return true
}

func (c *Client) do(ctx context.Context, request Request, sink *bodySink) (*Response, error) {
	c.budget.deposit()
	for attempt := 1; ; attempt++ {
		response, err := c.tryOnce(ctx, request, sink)
		if err == nil {
			response.Attempts = attempt
			return response, nil
		}
		if !c.shouldRetry(ctx, err, attempt, request, sink) {
			return nil, withAttempts(err, attempt)
		}
		c.counts.retries.Add(1)
		timer := time.NewTimer(c.config.backoff(attempt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, withAttempts(err, attempt)
		case <-timer.C:
		}
	}
}

// shouldRetry reports whether the request may be tried again after the error.
func (c *Client) shouldRetry(ctx context.Context, err error, attempt int, request Request, sink *bodySink) bool {
	if attempt >= c.config.MaxAttempts || ctx.Err() != nil || isPermanent(err) {
		return false
	}
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) && !(request.Idempotent && sink.prepareRetry()) {
		return false
	}
	if !c.budget.withdraw(time.Now()) {
		c.counts.retriesDenied.Add(1)
		return false
	}
	return true
}

// isPermanent reports whether another attempt would fail in the same way.
func isPermanent(err error) bool {
	var invalid *InvalidRequestError
	var closed *ClosedError
	return errors.As(err, &invalid) || errors.As(err, &closed)
}

func withAttempts(err error, attempts int) error {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		notRun.Attempts = attempts
	}
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) {
		unknown.Attempts = attempts
	}
	return err
}

// tryOnce sends the request once.
func (c *Client) tryOnce(ctx context.Context, request Request, sink *bodySink) (*Response, error) {
	outgoing, err := c.buildRequest(ctx, request)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	for round := 1; ; round++ {
		x := &exchange{request: outgoing, body: request.Body, sink: sink}
		response, err := c.sendOnFlow(ctx, x, request.Idempotent)
		if err == nil {
			return response, nil
		}
		if x.maybeSent.Load() {
			return nil, c.classify(x, err)
		}
		var dial *DialError
		if round == maxFlowsPerAttempt || ctx.Err() != nil || isPermanent(err) || errors.As(err, &dial) {
			return nil, &NotRunError{Err: err}
		}
	}
}

// maxFlowsPerAttempt is how often a flow that takes no new stream is replaced within
// one attempt.
const maxFlowsPerAttempt = 2

// sendOnFlow sends the request on the client's flow.
func (c *Client) sendOnFlow(ctx context.Context, x *exchange, idempotent bool) (*Response, error) {
	f, err := c.acquireFlow(ctx)
	if err != nil {
		return nil, err
	}
	defer c.releaseFlow(f)
	response, err := x.run(ctx, f, idempotent)
	if err == nil {
		return response, nil
	}
	// A flow that opened no stream has ended, or a GOAWAY has arrived. One
	// that refused may do so again.
	if !x.maybeSent.Load() && ctx.Err() == nil || x.isRefused(err) {
		c.retire(f)
	}
	return nil, err
}

// classify tells a refusal from an unknown outcome.
func (c *Client) classify(x *exchange, err error) error {
	if x.isRefused(err) {
		c.counts.refused.Add(1)
		return &NotRunError{Err: err}
	}
	return &OutcomeUnknownError{Err: err}
}
