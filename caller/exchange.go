package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go/http3"
)

// exchange is one request and its response on a stream of its own. It uses
// http3.ClientConn, which sends a request only once. http3.Transport retries
// requests on its own and is therefore never used to send one.
type exchange struct {
	request *http.Request
	body    []byte
	sink    *bodySink
	// maybeSent is set once any part of the request may have been sent.
	maybeSent atomic.Bool
	// responseStarted is set once the response headers have been received.
	responseStarted bool
}

// run sends the request on the flow and receives the response. Once the flow is
// abandoned, an idempotent request fails with a *SilentFlowError; other
// requests keep waiting.
func (x *exchange) run(ctx context.Context, f *flow, idempotent bool) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if idempotent {
		stop := context.AfterFunc(f.abandoned, func() { cancel(&SilentFlowError{}) })
		defer stop()
	}
	response, err := x.sendAndReceive(ctx, f)
	if err != nil && ctx.Err() != nil {
		return nil, errors.WithStack(context.Cause(ctx))
	}
	return response, err
}

func (x *exchange) sendAndReceive(ctx context.Context, f *flow) (*Response, error) {
	response, err := x.roundTrip(ctx, f)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	x.responseStarted = true
	defer func() { _ = response.Body.Close() }()
	if err := x.receiveBody(response.Body); err != nil {
		return nil, err
	}
	return &Response{Status: response.StatusCode, Header: response.Header}, nil
}

// roundTrip sends the request and waits for the response headers. It holds
// pathMu from the first byte of the response to the end of its headers, so that
// the flow cannot switch paths in between.
func (x *exchange) roundTrip(ctx context.Context, f *flow) (*http.Response, error) {
	pathLocked := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { x.maybeSent.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { x.maybeSent.Store(true) },
		GotFirstResponseByte: func() {
			f.pathMu.RLock()
			pathLocked = true
		},
	})
	defer func() {
		if pathLocked {
			f.pathMu.RUnlock()
		}
	}()
	outgoing := x.request.WithContext(ctx)
	if len(x.body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(x.body))
		outgoing.ContentLength = int64(len(x.body))
	}
	return f.http.RoundTrip(outgoing)
}

// receiveBody passes the response body to the sink. The HTTP/3 library returns
// an error for a body that is shorter or longer than the declared length.
func (x *exchange) receiveBody(body io.Reader) error {
	buf := make([]byte, bodyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			x.sink.deliver(buf[:n])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

const bodyBufferSize = 16 << 10 // bytes

// buildRequest returns the HTTP request to send. The error is an
// *InvalidRequestError, or that of ctx if it has ended.
func (c *Client) buildRequest(ctx context.Context, request Request) (*http.Request, error) {
	if ctx.Err() != nil {
		return nil, errors.WithStack(ctx.Err())
	}
	target := "https://" + c.config.ServerName + request.Path
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, nil)
	if err != nil {
		return nil, &InvalidRequestError{Err: err}
	}
	if request.Header != nil {
		outgoing.Header = request.Header.Clone()
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		outgoing.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	return outgoing, nil
}

// isRefused reports whether the agent rejected the request as not run. A
// request whose response has started is never refused.
func (x *exchange) isRefused(err error) bool {
	var h3 *http3.Error
	return !x.responseStarted && errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
}
