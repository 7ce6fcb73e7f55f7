package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

// Headers between callers, agents and backend servers.
const (
	// HeaderDeadline carries the remaining time for the request in milliseconds.
	HeaderDeadline = "Request-Timeout-Ms"
	// HeaderNotRun is set by a backend server on a 503 response to a request that
	// it did not begin to process.
	HeaderNotRun = "Request-Not-Run"
)

const (
	dialTimeout    = time.Second
	maxHeaderBytes = 64 << 10 // bytes
)

// backendClient sends requests to the backend server over HTTP/1.1. Each request
// has a connection of its own, which is closed afterwards. This way a late
// response cannot be taken for that of another request, and the HTTP library
// cannot replay a request that failed on a stale keep-alive connection.
type backendClient struct {
	base      *url.URL
	transport *http.Transport
}

func newBackendClient(backend string) (*backendClient, error) {
	base, err := url.Parse(backend)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		request, ok := ctx.Value(backendRequestKey{}).(*backendRequest)
		if !ok {
			return conn, nil
		}
		return &guardedConn{Conn: conn, ctx: request.ctx, guard: &request.guard}, nil
	}
	return &backendClient{base: base, transport: transport}, nil
}

// backendRequest is the state of one request to the backend server.
type backendRequest struct {
	ctx   context.Context
	guard sendGuard
	// wroteAt is when the request was written completely, respondedAt when the
	// first byte of the response arrived: Unix times in nanoseconds, or 0.
	wroteAt     atomic.Int64
	respondedAt atomic.Int64
}

// latency returns the time from the end of the request to the first byte of the
// response. It returns 0 when that is not known, or when the response began
// before the request was written completely.
func (r *backendRequest) latency() time.Duration {
	wrote, responded := r.wroteAt.Load(), r.respondedAt.Load()
	if wrote == 0 || responded < wrote {
		return 0
	}
	return time.Duration(responded - wrote)
}

func (r *backendRequest) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				r.wroteAt.Store(time.Now().UnixNano())
			}
		},
		GotFirstResponseByte: func() { r.respondedAt.Store(time.Now().UnixNano()) },
	}
}

// roundTrip sends the request and returns the response. It sets the outcome and
// the latency in result, which adjust the host's concurrency limit. It returns a
// *NotRunError when no byte was sent to the backend server or the backend server
// itself reports that it did not run the request, and an *UnknownOutcomeError
// on any other failure.
func (c *backendClient) roundTrip(ctx context.Context, r *http.Request, result *admission.Result) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, &NotRunError{Cause: CauseDeadline, Err: ctx.Err()}
	}
	request := &backendRequest{ctx: ctx}
	tracedCtx := context.WithValue(ctx, backendRequestKey{}, request)
	tracedCtx = httptrace.WithClientTrace(tracedCtx, request.trace())
	response, err := c.transport.RoundTrip(c.outgoingRequest(tracedCtx, r))
	if err != nil {
		return nil, classifyFailure(ctx, request, err, result)
	}
	result.Latency = request.latency()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) != "" {
		_ = response.Body.Close()
		result.Outcome = admission.Shed
		return nil, &NotRunError{Cause: CauseBackendShed}
	}
	result.Outcome = statusOutcome(response.StatusCode)
	if !delimited(r.Method, response) {
		_ = response.Body.Close()
		return nil, &UnknownOutcomeError{Cause: CauseUndelimited}
	}
	return response, nil
}

// classifyFailure returns a *NotRunError when no byte of the request was sent,
// and an *UnknownOutcomeError otherwise. It sets the outcome in result when the
// failure is due to the backend server.
func classifyFailure(ctx context.Context, request *backendRequest, err error, result *admission.Result) error {
	notRun := request.guard.abort()
	invariant.Check("not_run_was_not_sent", !notRun || request.wroteAt.Load() == 0)
	switch {
	case notRun && ctx.Err() != nil:
		return &NotRunError{Cause: CauseDeadline, Err: err}
	case notRun:
		result.Outcome = dialOutcome(err)
		return &NotRunError{Cause: CauseBackendUnreachable, Err: err}
	case errors.Is(ctx.Err(), context.Canceled):
		return &UnknownOutcomeError{Cause: CauseCallerGone, Err: err}
	default:
		result.Outcome = admission.Failed
		return &UnknownOutcomeError{Cause: CauseBackendFailed, Err: err}
	}
}

// dialOutcome returns Failed when connecting timed out, as with a backend server
// that is slow to accept, and Refused when no connection was possible.
func dialOutcome(err error) admission.Outcome {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return admission.Failed
	}
	return admission.ConnectionRefused
}

// statusOutcome returns the outcome of a status code for admission control. 502,
// 503 and 504 count as failures of the backend server. Other server errors, such
// as 500, indicate a fault in processing the request and not overload, so they
// leave the limit unchanged.
func statusOutcome(status int) admission.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return admission.Failed
	}
	if status >= http.StatusInternalServerError {
		return admission.Abandoned
	}
	return admission.Succeeded
}

func (c *backendClient) outgoingRequest(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = c.base.Scheme
	out.URL.Host = c.base.Host
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	out.Header.Del(HeaderDeadline)
	if deadline, found := ctx.Deadline(); found {
		remaining := max(1, time.Until(deadline).Milliseconds())
		out.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	if r.ContentLength == 0 {
		out.Body = nil
	}
	return out
}

// delimited reports whether the framing of the response allows a truncated body
// to be detected.
func delimited(method string, response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	noBody := method == http.MethodHead || response.StatusCode == http.StatusNoContent
	chunked := len(response.TransferEncoding) > 0
	return noBody || chunked || response.ContentLength >= 0
}

var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
