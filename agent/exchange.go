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
	// HeaderDeadline carries the time left for the request in milliseconds.
	HeaderDeadline = "Request-Timeout-Ms"
	// HeaderNotRun is set by a backend server on a 503 answer to a request
	// that it did not begin.
	HeaderNotRun = "Request-Not-Run"
)

const (
	dialTimeout     = time.Second
	headerReadLimit = 64 << 10 // bytes
)

// exchange carries one request to the backend server and its answer back.
// Each exchange has its own connection, closed at its end, so that a late
// answer cannot meet another request and no library can send a request twice
// on a connection found stale.
type exchange struct {
	base      *url.URL
	transport *http.Transport
}

func newExchange(backend string) (*exchange, error) {
	base, err := url.Parse(backend)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerReadLimit,
	}
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		sending, ok := ctx.Value(claimKey{}).(*sending)
		if !ok {
			return conn, nil
		}
		return &claimConn{Conn: conn, ctx: sending.ctx, claim: &sending.claim}, nil
	}
	return &exchange{base: base, transport: transport}, nil
}

// sending is the state of one request on its way to the backend server.
type sending struct {
	ctx   context.Context
	claim claim
	// wroteAt and answeredAt are Unix times in nanoseconds, or 0.
	wroteAt    atomic.Int64
	answeredAt atomic.Int64
}

// latency returns the time that the backend server took to answer, or 0.
func (s *sending) latency() time.Duration {
	wrote, answered := s.wroteAt.Load(), s.answeredAt.Load()
	if wrote == 0 || answered < wrote {
		return 0
	}
	return time.Duration(answered - wrote)
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				s.wroteAt.Store(time.Now().UnixNano())
			}
		},
		GotFirstResponseByte: func() { s.answeredAt.Store(time.Now().UnixNano()) },
	}
}

// do sends the request and fills in what the host's limit learns from it. On
// failure it returns a *NotRunError when no byte reached the backend server
// or the backend server itself said so, and an *UnknownError otherwise.
func (x *exchange) do(ctx context.Context, r *http.Request, result *admission.Result) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, &NotRunError{Cause: CauseDeadline, Err: ctx.Err()}
	}
	s := &sending{ctx: ctx}
	traced := context.WithValue(ctx, claimKey{}, s)
	traced = httptrace.WithClientTrace(traced, s.trace())
	response, err := x.transport.RoundTrip(x.outgoing(traced, r))
	if err != nil {
		return nil, failure(ctx, s, err, result)
	}
	result.Latency = s.latency()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) != "" {
		_ = response.Body.Close()
		result.Outcome = admission.Shed
		return nil, &NotRunError{Cause: CauseBackendShed}
	}
	result.Outcome = judge(response.StatusCode)
	if !delimited(r.Method, response) {
		_ = response.Body.Close()
		return nil, &UnknownError{Cause: CauseUndelimited}
	}
	return response, nil
}

// failure tells a request that was not run from one whose outcome is unknown.
func failure(ctx context.Context, s *sending, err error, result *admission.Result) error {
	notRun := s.claim.giveUp()
	invariant.Check("not_run_was_not_sent", !notRun || s.wroteAt.Load() == 0)
	switch {
	case notRun && ctx.Err() != nil:
		return &NotRunError{Cause: CauseDeadline, Err: err}
	case notRun:
		result.Outcome = dialOutcome(err)
		return &NotRunError{Cause: CauseBackendUnreachable, Err: err}
	case errors.Is(ctx.Err(), context.Canceled):
		return &UnknownError{Cause: CauseCallerGone, Err: err}
	default:
		result.Outcome = admission.Failed
		return &UnknownError{Cause: CauseBackendFailed, Err: err}
	}
}

// dialOutcome tells a backend server that does not listen from one that is
// slow to accept.
func dialOutcome(err error) admission.Outcome {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return admission.Failed
	}
	return admission.ConnectionRefused
}

// judge reads an outcome from a status code. An internal error tells of a
// fault in the work and not of the load.
func judge(status int) admission.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return admission.Failed
	}
	if status >= http.StatusInternalServerError {
		return admission.Abandoned
	}
	return admission.Succeeded
}

func (x *exchange) outgoing(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = x.base.Scheme
	out.URL.Host = x.base.Host
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	for _, name := range hopHeaders {
		out.Header.Del(name)
	}
	out.Header.Del(HeaderDeadline)
	if deadline, found := ctx.Deadline(); found {
		left := max(1, time.Until(deadline).Milliseconds())
		out.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if r.ContentLength == 0 {
		out.Body = nil
	}
	return out
}

// delimited reports whether a truncated body can be told from a whole one.
func delimited(method string, response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	noBody := method == http.MethodHead || response.StatusCode == http.StatusNoContent
	chunked := len(response.TransferEncoding) > 0
	return noBody || chunked || response.ContentLength >= 0
}

var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
