package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
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
		sent, ok := ctx.Value(sentKey{}).(*atomic.Bool)
		if !ok {
			return conn, nil
		}
		return &sentConn{Conn: conn, sent: sent}, nil
	}
	return &exchange{base: base, transport: transport}, nil
}

// do sends the request. On failure it returns a *NotRunError when no byte
// reached the backend server or the backend server itself said so, and an
// *UnknownError otherwise.
func (x *exchange) do(ctx context.Context, r *http.Request) (*http.Response, error) {
	sent := &atomic.Bool{}
	ctx = context.WithValue(ctx, sentKey{}, sent)
	response, err := x.transport.RoundTrip(x.outgoing(ctx, r))
	if err != nil && !sent.Load() {
		return nil, &NotRunError{Cause: CauseBackendUnreachable, Err: err}
	}
	if err != nil {
		return nil, &UnknownError{Cause: CauseBackendFailed, Err: err}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) != "" {
		_ = response.Body.Close()
		return nil, &NotRunError{Cause: CauseBackendShed}
	}
	if !delimited(r.Method, response) {
		_ = response.Body.Close()
		return nil, &UnknownError{Cause: CauseUndelimited}
	}
	return response, nil
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
	if r.ContentLength == 0 {
		out.Body = nil
	}
	return out
}

// delimited reports whether a truncated body can be told from a whole one.
func delimited(method string, response *http.Response) bool {
	noBody := method == http.MethodHead || response.StatusCode == http.StatusNoContent
	chunked := len(response.TransferEncoding) > 0
	return noBody || chunked || response.ContentLength >= 0
}

var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

type sentKey struct{}

// sentConn notes whether any byte was written.
type sentConn struct {
	net.Conn
	sent *atomic.Bool
}

// Write implements net.Conn.
func (c *sentConn) Write(p []byte) (int, error) {
	c.sent.Store(true)
	return c.Conn.Write(p)
}

// copyBody copies the answer's body and flushes each piece, so that streams
// are not held back. The error tells that the answer is not whole.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.WithStack(werr)
			}
			if ferr := controller.Flush(); ferr != nil {
				return errors.WithStack(ferr)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

const copyBuffer = 16 << 10 // bytes
