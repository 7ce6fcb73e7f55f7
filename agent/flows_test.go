package agent

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/tunnel"
)

func asError(err error, target any) bool {
	return errors.As(err, target)
}

func TestRefusedRequestsAreRejectedAsNotRun(t *testing.T) {
	tests := []struct {
		name   string
		change func(*View)
		cause  Cause
	}{
		{name: "stale view", change: func(v *View) { v.ValidUntil = time.Now().Add(-time.Second) }, cause: CauseStaleView},
		{name: "zone out", change: func(v *View) { v.State = tunnel.HostZoneOut }, cause: CauseZoneOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRawBackend(t, respondWith(completeResponse))
			s := startAgentServer(t, backend.url(), nil)
			_, flow := s.dial(t)
			s.setView(test.change)
			_, err := flow.RoundTrip(newRequest(t.Context(), http.MethodPost, "/orders", strings.NewReader("psalm")))
			must.True(t, isRequestRejected(err))
			must.Eq(t, 1, s.agent.counters.Count(test.cause))
			must.Eq(t, 0, backend.connectionCount())
		})
	}
}

func TestTruncatedResponseResetsStream(t *testing.T) {
	for _, head := range []string{"Content-Length: 9\r\n\r\nlines", "Transfer-Encoding: chunked\r\n\r\n5\r\nlines\r\n"} {
		backend := startRawBackend(t, respondWith("HTTP/1.1 200 OK\r\n"+head))
		s := startAgentServer(t, backend.url(), nil)
		_, flow := s.dial(t)
		// The stream reset may arrive before the response's header.
		response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		must.Error(t, err)
		must.False(t, isRequestRejected(err))
		must.Eq(t, 1, backend.connectionCount())
	}
}

// TestTruncatedRequestBodyIsNeverComplete resets the caller's stream within the
// request body. The backend server must not take the body for a complete one.
func TestTruncatedRequestBodyIsNeverComplete(t *testing.T) {
	tests := []struct {
		name           string
		size           int
		length         int64
		reachesBackend bool
	}{
		{name: "small", size: 1000, length: -1},
		{name: "small with a length", size: 1000, length: 2000},
		{name: "large", size: 2 * prefetchSize, length: -1, reachesBackend: true},
		{name: "large with a length", size: 2 * prefetchSize, length: 3 * prefetchSize, reachesBackend: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			readErr := make(chan error, 1)
			backend := startRawBackend(t, func(conn net.Conn) {
				_, _, err := readRequest(conn)
				readErr <- err
				_, _ = io.WriteString(conn, completeResponse)
			})
			s := startAgentServer(t, backend.url(), nil)
			_, flow := s.dial(t)
			ready := s.requestBegun
			if test.reachesBackend {
				// A stream reset discards the data that the agent has not read yet.
				// If it came earlier, the request might not reach the backend server
				// at all.
				ready = func() bool { return backend.connectionCount() > 0 }
			}
			r := newRequest(t.Context(), http.MethodPost, "/orders", &failingBody{size: test.size, ready: ready})
			r.ContentLength = test.length
			_, err := flow.RoundTrip(r)
			must.Error(t, err)
			if test.reachesBackend {
				must.Error(t, <-readErr)
				return
			}
			for s.agent.counters.Count(CauseCallerGone) == 0 {
				must.Eq(t, 0, s.agent.counters.Count(CauseDeadline)+s.agent.counters.Served())
				runtime.Gosched()
			}
			must.Eq(t, 0, backend.connectionCount())
		})
	}
}

// startWithSilentBackend starts an agent whose backend server reads one request
// and never responds. began is closed when the request has been read, ended when
// its connection has ended.
func startWithSilentBackend(t *testing.T) (s *agentServer, began, ended chan struct{}) {
	began, ended = make(chan struct{}), make(chan struct{})
	backend := startRawBackend(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		close(began)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	return startAgentServer(t, backend.url(), nil), began, ended
}

func TestCancelClosesBackendConnection(t *testing.T) {
	s, began, ended := startWithSilentBackend(t)
	_, flow := s.dial(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := flow.RoundTrip(newRequest(ctx, http.MethodGet, "/lots", nil))
	must.Error(t, err)
	<-ended
}

func TestResponseFramingIsPreserved(t *testing.T) {
	tests := []struct{ name, method, backendResponse, length, body, trailer string }{
		{name: "length", method: http.MethodGet, backendResponse: completeResponse, length: "5", body: "lines"},
		{name: "head", method: http.MethodHead, backendResponse: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", length: "5"},
		{name: "head without a length", method: http.MethodHead, backendResponse: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "no content", method: http.MethodGet, backendResponse: "HTTP/1.1 204 No Content\r\n\r\n"},
		{
			name: "trailer", method: http.MethodGet, body: "lines", trailer: "abc",
			backendResponse: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Digest\r\n\r\n5\r\nlines\r\n0\r\nDigest: abc\r\n\r\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRawBackend(t, respondWith(test.backendResponse))
			s := startAgentServer(t, backend.url(), nil)
			_, flow := s.dial(t)
			response, err := flow.RoundTrip(newRequest(t.Context(), test.method, "/proof", nil))
			must.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, test.body, string(body))
			must.Eq(t, test.length, response.Header.Get("Content-Length"))
			must.Eq(t, test.trailer, response.Trailer.Get("Digest"))
		})
	}
}

func TestBodiesOfUnknownLengthArriveComplete(t *testing.T) {
	for _, size := range []int{0, 1, prefetchSize - 1, prefetchSize, prefetchSize + 1, 20 * prefetchSize} {
		got := make(chan int, 1)
		backend := startRawBackend(t, func(conn net.Conn) {
			_, body, err := readRequest(conn)
			must.NoError(t, err)
			got <- len(body)
			_, _ = io.WriteString(conn, completeResponse)
		})
		s := startAgentServer(t, backend.url(), nil)
		_, flow := s.dial(t)
		r := newRequest(t.Context(), http.MethodPost, "/orders", io.LimitReader(&failingBody{size: size + 1}, int64(size)))
		response, err := flow.RoundTrip(r)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, size, <-got)
	}
}

func TestDuplicateRequestsAreNotRun(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 9)
	backend := startRawBackend(t, func(conn net.Conn) {
		r, _, err := readRequest(conn)
		if err != nil {
			return
		}
		began <- struct{}{}
		if r.URL.Path == "/shed" {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		<-release
		_, _ = io.WriteString(conn, completeResponse)
	})
	s := startAgentServer(t, backend.url(), nil)
	_, flow := s.dial(t)
	send := func(path string) (*http.Response, error) {
		r := newRequest(t.Context(), http.MethodPost, path, strings.NewReader("psalm"))
		r.Header.Set(HeaderIdempotencyKey, "order-7")
		response, err := flow.RoundTrip(r)
		if err != nil {
			return nil, err
		}
		_, err = io.ReadAll(response.Body)
		return response, err
	}
	first := make(chan error, 1)
	go func() {
		_, err := send("/orders")
		first <- err
	}()
	<-began
	duplicate, err := send("/orders")
	must.NoError(t, err)
	must.Eq(t, http.StatusConflict, duplicate.StatusCode)
	must.Eq(t, "running", duplicate.Header.Get(HeaderRepeated))
	close(release)
	must.NoError(t, <-first)
	duplicate, err = send("/orders")
	must.NoError(t, err)
	must.Eq(t, "ended", duplicate.Header.Get(HeaderRepeated))
	must.Eq(t, 1, backend.connectionCount())
	// A request that was not run can be retried.
	_, err = send("/shed")
	must.True(t, isRequestRejected(err))
	_, err = send("/shed")
	must.True(t, isRequestRejected(err))
	s.setView(func(v *View) { v.Service.Idempotent = true })
	again, err := send("/orders")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, again.StatusCode)
}

func TestDuplicateFilterIsBounded(t *testing.T) {
	filter := newDuplicateFilter(8)
	key := func(i int) keyDigest { return keyDigest{byte(i)} }
	must.Eq(t, "", filter.begin(key(0)))
	for i := 1; i <= 40; i++ {
		must.Eq(t, "", filter.begin(key(i)))
		filter.end(key(i), false)
	}
	must.LessEq(t, 8, len(filter.completed)+len(filter.previousCompleted))
	must.Eq(t, "running", filter.begin(key(0)))
	must.Eq(t, "ended", filter.begin(key(40)))
	must.Eq(t, "", filter.begin(key(1)))
}

// TestDrain checks that a request in service completes during a drain, and that
// flows without requests are closed, including those of callers that do not
// handle GOAWAY and those established during the drain.
func TestDrain(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{})
	backend := startRawBackend(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		close(began)
		<-release
		_, _ = io.WriteString(conn, completeResponse)
	})
	s := startAgentServer(t, backend.url(), nil)
	_, flow := s.dial(t)
	idle := s.dialQUIC(t)
	first := make(chan error, 1)
	go func() {
		response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		first <- err
	}()
	<-began
	drained := make(chan struct{})
	go func() {
		s.agent.flows.drain(time.Hour)
		close(drained)
	}()
	<-idle.Context().Done()
	late := s.dialQUIC(t)
	<-late.Context().Done()
	close(release)
	must.NoError(t, <-first)
	<-drained
}

func TestFlowIsIdleOnlyAfterGracePeriod(t *testing.T) {
	f := &flow{}
	f.beginRequest()
	must.False(t, f.idle(time.Now().Add(time.Hour)))
	f.endRequest()
	must.False(t, f.idle(time.Now()))
	must.True(t, f.idle(time.Now().Add(idleGrace)))
}

// TestDrainTimeout checks that a drain ends a stream that would otherwise never
// end.
func TestDrainTimeout(t *testing.T) {
	began := make(chan struct{})
	backend := startRawBackend(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		close(began)
		_, _ = io.Copy(io.Discard, conn)
	})
	s := startAgentServer(t, backend.url(), nil)
	conn, flow := s.dial(t)
	go func() { _, _ = flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/feed", nil)) }()
	<-began
	s.agent.flows.drain(100 * time.Millisecond)
	<-conn.Context().Done()
}

func TestRequestAfterGoAwayIsNotRun(t *testing.T) {
	backend := startRawBackend(t, respondWith(completeResponse))
	s := startAgentServer(t, backend.url(), nil)
	_, flow := s.dial(t)
	response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	must.NoError(t, err)
	s.setView(func(v *View) { v.State = tunnel.HostLeaving })
	s.agent.flows.mu.Lock()
	for _, f := range s.agent.flows.list() {
		must.Eq(t, admission.ExistingFlow, f.priority())
		f.goAway.Store(true)
	}
	s.agent.flows.mu.Unlock()
	_, err = flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.True(t, isRequestRejected(err))
	must.Eq(t, 1, backend.connectionCount())
}

func TestZoneOutClosesFlowsAndCancelsBackendRequests(t *testing.T) {
	s, began, ended := startWithSilentBackend(t)
	conn, flow := s.dial(t)
	go func() { _, _ = flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil)) }()
	<-began
	s.agent.Execute(FlowsClosed{})
	<-ended
	<-conn.Context().Done()
	late, _ := s.dial(t)
	<-late.Context().Done()
	s.agent.Execute(NewFlowsAllowed{})
	reopened, _ := s.dial(t)
	must.NoError(t, reopened.Context().Err())
}

// TestStalledCallerReleasesSlot uses a caller that does not read a response that
// is larger than any flow-control window.
func TestStalledCallerReleasesSlot(t *testing.T) {
	const size = 8 << 20
	backend := startRawBackend(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
		_, _ = conn.Write(make([]byte, size))
	})
	s := startAgentServer(t, backend.url(), func(c *Config) { c.StallTimeout = 50 * time.Millisecond })
	_, flow := s.dial(t)
	response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.NoError(t, err)
	for s.agent.counters.Count(CauseCallerGone) == 0 || s.agent.Status().InService > 0 {
		runtime.Gosched()
	}
	_, err = io.ReadAll(response.Body)
	must.Error(t, err)
}

func TestFlowWithoutRequestIsClosed(t *testing.T) {
	s := startAgentServer(t, "http://127.0.0.1:9", func(c *Config) { c.FirstRequestTimeout = 50 * time.Millisecond })
	conn := s.dialQUIC(t)
	<-conn.Context().Done()
	must.Eq(t, 1, s.agent.counters.Count(CauseFlowSilent))
}

func TestNoEarlyData(t *testing.T) {
	s := startAgentServer(t, "http://127.0.0.1:9", nil)
	must.False(t, s.agent.quicConfig().Allow0RTT)
	s.clientTLS.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	for range 2 {
		conn, err := quic.DialAddrEarly(t.Context(), s.addr.String(), http3.ConfigureTLSConfig(s.clientTLS), &quic.Config{})
		must.NoError(t, err)
		<-conn.HandshakeComplete()
		must.False(t, conn.ConnectionState().Used0RTT)
		stream, err := conn.AcceptUniStream(t.Context())
		must.NoError(t, err)
		_, _ = stream.Read(make([]byte, 1))
		must.NoError(t, conn.CloseWithError(0, ""))
	}
}
