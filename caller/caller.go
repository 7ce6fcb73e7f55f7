// Package caller is an embeddable HTTP/3 client. A Client keeps one QUIC
// connection, called a flow, to a service. It migrates the flow to a new local
// address when its path goes silent, and opens another flow when it ends. It
// retries requests that were refused before they ran, and idempotent requests
// whose outcome is unknown. It sends the remaining time of a request's deadline
// with it, and reports refusals and unknown outcomes as different errors.
package caller

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// Client sends requests to one service over a flow. It is safe for concurrent
// use.
type Client struct {
	config    Config
	budget    *retryBudget
	dialGroup singleflight.Group
	ctx       context.Context
	cancel    context.CancelFunc
	counts    counters

	mu sync.Mutex
	// current is the flow for new requests. It is nil if there is none.
	current *flow
	// flows holds all flows that have not ended, including retired ones that
	// still carry requests.
	flows  map[*flow]struct{}
	closed bool
}

// New returns a client. It opens its first flow on the first request.
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

// Close closes the client's flows and aborts the requests in progress on them.
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

// Do sends the request and returns the complete response. The error is a
// *NotRunError or an *OutcomeUnknownError.
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

// Stream sends the request and passes the response body to onChunk in chunks. A
// chunk is valid only until onChunk returns. The returned Response has no Body.
// The error is a *NotRunError or an *OutcomeUnknownError.
func (c *Client) Stream(ctx context.Context, request Request, onChunk func([]byte)) (*Response, error) {
	return c.do(ctx, request, &bodySink{onChunk: onChunk})
}

// Stats returns a snapshot of the client's counters.
func (c *Client) Stats() Stats {
	return c.counts.snapshot()
}

// bodySink receives the chunks of a response body.
type bodySink struct {
	onChunk func([]byte)
	// reset discards the chunks received so far. It is nil if chunks are passed
	// on to the application as they arrive.
	reset     func()
	delivered bool
}

func (s *bodySink) deliver(chunk []byte) {
	s.delivered = true
	s.onChunk(chunk)
}

// prepareRetry discards the chunks received so far and reports whether the
// request may be retried. It may not once a chunk was passed on to the
// application, since that cannot be undone.
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

// shouldRetry reports whether to retry the request after err. A retry takes a
// token from the retry budget.
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

// isPermanent reports whether another attempt would fail with the same error.
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

// tryOnce makes one attempt at the request. If a flow takes no new stream, it
// uses another one, up to maxFlowsPerAttempt in total.
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

// maxFlowsPerAttempt is the maximum number of flows that one attempt uses when
// a flow takes no new stream.
const maxFlowsPerAttempt = 2

// sendOnFlow sends the request on the client's current flow.
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
	// A flow on which no stream could be opened has ended or has received a
	// GOAWAY. A flow that refused a request may refuse the next one too.
	if !x.maybeSent.Load() && ctx.Err() == nil || x.isRefused(err) {
		c.retire(f)
	}
	return nil, err
}

// classify wraps err in a *NotRunError if the request was refused, and in an
// *OutcomeUnknownError otherwise.
func (c *Client) classify(x *exchange, err error) error {
	if x.isRefused(err) {
		c.counts.refused.Add(1)
		return &NotRunError{Err: err}
	}
	return &OutcomeUnknownError{Err: err}
}
