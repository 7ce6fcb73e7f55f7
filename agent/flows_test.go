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

func TestRefusalsSayNotRun(t *testing.T) {
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
			backend := startRaw(t, answering(whole))
			s := serveAgent(t, backend.url(), nil)
			_, flow := s.dial(t)
			s.setView(test.change)
			_, err := flow.RoundTrip(newRequest(t.Context(), http.MethodPost, "/orders", strings.NewReader("psalm")))
			must.True(t, rejectedAsNotRun(err))
			must.Eq(t, 1, s.agent.counters.Count(test.cause))
			must.Eq(t, 0, backend.count())
		})
	}
}

func TestTruncatedAnswerIsNoCleanEnd(t *testing.T) {
	for _, head := range []string{"Content-Length: 9\r\n\r\nlines", "Transfer-Encoding: chunked\r\n\r\n5\r\nlines\r\n"} {
		backend := startRaw(t, answering("HTTP/1.1 200 OK\r\n"+head))
		s := serveAgent(t, backend.url(), nil)
		_, flow := s.dial(t)
		// The reset may overtake the answer's head.
		response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		must.Error(t, err)
		must.False(t, rejectedAsNotRun(err))
		must.Eq(t, 1, backend.count())
	}
}

// TestCutSubmissionIsNeverWhole resets the caller's stream in its body.
func TestCutSubmissionIsNeverWhole(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		length  int64
		reaches bool
	}{
		{name: "small", size: 1000, length: -1},
		{name: "small with a length", size: 1000, length: 2000},
		{name: "large", size: 2 * prefetchSize, length: -1, reaches: true},
		{name: "large with a length", size: 2 * prefetchSize, length: 3 * prefetchSize, reaches: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen := make(chan error, 1)
			backend := startRaw(t, func(conn net.Conn) {
				_, _, err := readRequest(conn)
				seen <- err
				_, _ = io.WriteString(conn, whole)
			})
			s := serveAgent(t, backend.url(), nil)
			_, flow := s.dial(t)
			ready := s.begun
			if test.reaches {
				// The reset of a stream overtakes what the agent has not read, so
				// that a body broken earlier may not reach the backend at all.
				ready = func() bool { return backend.count() > 0 }
			}
			r := newRequest(t.Context(), http.MethodPost, "/orders", &brokenBody{size: test.size, ready: ready})
			r.ContentLength = test.length
			_, err := flow.RoundTrip(r)
			must.Error(t, err)
			if test.reaches {
				must.Error(t, <-seen)
				return
			}
			for s.agent.counters.Count(CauseCallerGone) == 0 {
				must.Eq(t, 0, s.agent.counters.Count(CauseDeadline)+s.agent.counters.Served())
				runtime.Gosched()
			}
			must.Eq(t, 0, backend.count())
		})
	}
}

// serveSilentBackend starts an agent whose backend server reads one request and
// never answers. It tells when the request began and when its connection ended.
func serveSilentBackend(t *testing.T) (s *servedAgent, began, ended chan struct{}) {
	began, ended = make(chan struct{}), make(chan struct{})
	backend := startRaw(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		close(began)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	return serveAgent(t, backend.url(), nil), began, ended
}

func TestCancelClosesTheBackendsConnection(t *testing.T) {
	s, began, ended := serveSilentBackend(t)
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

func TestAnswersKeepTheirForm(t *testing.T) {
	tests := []struct{ name, method, answer, length, body, trailer string }{
		{name: "length", method: http.MethodGet, answer: whole, length: "5", body: "lines"},
		{name: "head", method: http.MethodHead, answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", length: "5"},
		{name: "head without a length", method: http.MethodHead, answer: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "no content", method: http.MethodGet, answer: "HTTP/1.1 204 No Content\r\n\r\n"},
		{
			name: "trailer", method: http.MethodGet, body: "lines", trailer: "abc",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Digest\r\n\r\n5\r\nlines\r\n0\r\nDigest: abc\r\n\r\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRaw(t, answering(test.answer))
			s := serveAgent(t, backend.url(), nil)
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

func TestBodiesOfUnknownLengthArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, prefetchSize - 1, prefetchSize, prefetchSize + 1, 20 * prefetchSize} {
		got := make(chan int, 1)
		backend := startRaw(t, func(conn net.Conn) {
			_, body, err := readRequest(conn)
			must.NoError(t, err)
			got <- len(body)
			_, _ = io.WriteString(conn, whole)
		})
		s := serveAgent(t, backend.url(), nil)
		_, flow := s.dial(t)
		r := newRequest(t.Context(), http.MethodPost, "/orders", io.LimitReader(&brokenBody{size: size + 1}, int64(size)))
		response, err := flow.RoundTrip(r)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, size, <-got)
	}
}

func TestRepeatsAreNotRun(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 9)
	backend := startRaw(t, func(conn net.Conn) {
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
		_, _ = io.WriteString(conn, whole)
	})
	s := serveAgent(t, backend.url(), nil)
	_, flow := s.dial(t)
	send := func(path string) (*http.Response, error) {
		r := newRequest(t.Context(), http.MethodPost, path, strings.NewReader("psalm"))
		r.Header.Set(HeaderKey, "order-7")
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
	repeat, err := send("/orders")
	must.NoError(t, err)
	must.Eq(t, http.StatusConflict, repeat.StatusCode)
	must.Eq(t, "running", repeat.Header.Get(HeaderRepeated))
	close(release)
	must.NoError(t, <-first)
	repeat, err = send("/orders")
	must.NoError(t, err)
	must.Eq(t, "ended", repeat.Header.Get(HeaderRepeated))
	must.Eq(t, 1, backend.count())
	// What was not run may be tried again.
	_, err = send("/shed")
	must.True(t, rejectedAsNotRun(err))
	_, err = send("/shed")
	must.True(t, rejectedAsNotRun(err))
	s.setView(func(v *View) { v.Service.Idempotent = true })
	again, err := send("/orders")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, again.StatusCode)
}

func TestRepeatsAreBounded(t *testing.T) {
	m := newRepeats(8)
	key := func(i int) keyDigest { return keyDigest{byte(i)} }
	must.Eq(t, "", m.begin(key(0)))
	for i := 1; i <= 40; i++ {
		must.Eq(t, "", m.begin(key(i)))
		m.end(key(i), false)
	}
	must.LessEq(t, 8, len(m.ended)+len(m.previous))
	must.Eq(t, "running", m.begin(key(0)))
	must.Eq(t, "ended", m.begin(key(40)))
	must.Eq(t, "", m.begin(key(1)))
}

// TestDrain lets a request in service end whole and closes flows without
// requests, also those of callers that know no GOAWAY.
func TestDrain(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{})
	backend := startRaw(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		close(began)
		<-release
		_, _ = io.WriteString(conn, whole)
	})
	s := serveAgent(t, backend.url(), nil)
	_, flow := s.dial(t)
	idle := s.dialBare(t)
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
	late := s.dialBare(t)
	<-late.Context().Done()
	close(release)
	must.NoError(t, <-first)
	<-drained
}

func TestFlowIsIdleOnlyAfterItsAnswerCouldArrive(t *testing.T) {
	f := &flow{}
	f.begin()
	must.False(t, f.idle(time.Now().Add(time.Hour)))
	f.end()
	must.False(t, f.idle(time.Now()))
	must.True(t, f.idle(time.Now().Add(idleGrace)))
}

// TestDrainWish ends a feed whose caller would never let go.
func TestDrainWish(t *testing.T) {
	began := make(chan struct{})
	backend := startRaw(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		close(began)
		_, _ = io.Copy(io.Discard, conn)
	})
	s := serveAgent(t, backend.url(), nil)
	conn, flow := s.dial(t)
	go func() { _, _ = flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/feed", nil)) }()
	<-began
	s.agent.flows.drain(100 * time.Millisecond)
	<-conn.Context().Done()
}

func TestRequestAfterGoAwayIsNotRun(t *testing.T) {
	backend := startRaw(t, answering(whole))
	s := serveAgent(t, backend.url(), nil)
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
	must.True(t, rejectedAsNotRun(err))
	must.Eq(t, 1, backend.count())
}

func TestZoneOutClosesFlowsAndCancelsTheBackend(t *testing.T) {
	s, began, ended := serveSilentBackend(t)
	conn, flow := s.dial(t)
	go func() { _, _ = flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil)) }()
	<-began
	s.agent.Execute(FlowsClosed{})
	<-ended
	<-conn.Context().Done()
	late, _ := s.dial(t)
	<-late.Context().Done()
	s.agent.Execute(FlowsResumed{})
	back, _ := s.dial(t)
	must.NoError(t, back.Context().Err())
}

// TestSlowCallerLosesItsSlot reads nothing of an answer larger than any
// window.
func TestSlowCallerLosesItsSlot(t *testing.T) {
	const size = 8 << 20
	backend := startRaw(t, func(conn net.Conn) {
		_, _, _ = readRequest(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
		_, _ = conn.Write(make([]byte, size))
	})
	s := serveAgent(t, backend.url(), func(c *Config) { c.StallTimeout = 50 * time.Millisecond })
	_, flow := s.dial(t)
	response, err := flow.RoundTrip(newRequest(t.Context(), http.MethodGet, "/proof", nil))
	must.NoError(t, err)
	for s.agent.counters.Count(CauseCallerGone) == 0 || s.agent.Status().InService > 0 {
		runtime.Gosched()
	}
	_, err = io.ReadAll(response.Body)
	must.Error(t, err)
}

func TestSilentFlowIsClosed(t *testing.T) {
	s := serveAgent(t, "http://127.0.0.1:9", func(c *Config) { c.FirstRequest = 50 * time.Millisecond })
	conn := s.dialBare(t)
	<-conn.Context().Done()
	must.Eq(t, 1, s.agent.counters.Count(CauseFlowSilent))
}

func TestNoEarlyData(t *testing.T) {
	s := serveAgent(t, "http://127.0.0.1:9", nil)
	must.False(t, s.agent.quicConfig().Allow0RTT)
	s.roots.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	for range 2 {
		conn, err := quic.DialAddrEarly(t.Context(), s.addr.String(), http3.ConfigureTLSConfig(s.roots), &quic.Config{})
		must.NoError(t, err)
		<-conn.HandshakeComplete()
		must.False(t, conn.ConnectionState().Used0RTT)
		stream, err := conn.AcceptUniStream(t.Context())
		must.NoError(t, err)
		_, _ = stream.Read(make([]byte, 1))
		must.NoError(t, conn.CloseWithError(0, ""))
	}
}
