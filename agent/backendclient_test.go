package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlines"

// sendOnce sends one POST request with a body and returns the response's body.
func sendOnce(ctx context.Context, backend string, result *admission.Result) (string, error) {
	client, err := newBackendClient(backend)
	if err != nil {
		return "", err
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders", strings.NewReader("psalm twenty-three"))
	r.Header.Set(HeaderIdempotencyKey, "one")
	r.Header.Set(HeaderDeadline, "5")
	response, err := client.roundTrip(ctx, r, result)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	w := httptest.NewRecorder()
	writer := &responseWriter{ctx: ctx, w: w, controller: http.NewResponseController(w)}
	err = writer.write(response)
	return w.Body.String(), err
}

func TestConnectionLossAtEveryPosition(t *testing.T) {
	invariant.SetHandler(func(name string) { t.Error("violated: " + name) })
	t.Cleanup(func() { invariant.SetHandler(nil) })
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name    string
		handle  func(net.Conn)
		notRun  bool
		cause   Cause
		outcome admission.Outcome
	}{
		{name: "at the first byte", handle: resetAfter("P"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the request head", handle: resetAfter("POST /"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "after the request head", handle: resetAfter("\r\n\r\n"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the request body", handle: resetAfter("psalm"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "after the request body", handle: resetAfter("three"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the status line", handle: respondWith("HTTP/1.1 2"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the answer's head", handle: respondWith("HTTP/1.1 200 OK\r\nContent-Le"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "after the answer's head", handle: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "in a body with a length", handle: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nline"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "before the first chunk", handle: respondWith(chunked), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "in a chunk's size", handle: respondWith(chunked + "5"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "in a chunk", handle: respondWith(chunked + "5\r\nlin"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "between chunks", handle: respondWith(chunked + "5\r\nlines\r\n"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "in the last chunk", handle: respondWith(chunked + "5\r\nlines\r\n0"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "in the trailer", handle: respondWith(chunked + "5\r\nlines\r\n0\r\nDigest: a"), cause: CauseResponseTruncated, outcome: admission.Succeeded},
		{name: "no length", handle: respondWith("HTTP/1.1 200 OK\r\n\r\nlines"), cause: CauseUndelimited, outcome: admission.Succeeded},
		{name: "switching protocols", handle: respondWith("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n"), cause: CauseUndelimited, outcome: admission.Succeeded},
		{name: "shed", handle: respondWith("HTTP/1.1 503 Busy\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), notRun: true, cause: CauseBackendShed, outcome: admission.Shed},
		{name: "shed, cut in the head", handle: respondWith("HTTP/1.1 503 Busy\r\nRequest-Not-Run: 1\r\n"), cause: CauseBackendFailed, outcome: admission.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRawBackend(t, test.handle)
			var result admission.Result
			_, err := sendOnce(context.Background(), backend.url(), &result)
			must.Error(t, err)
			cause, notRun := causeOf(err)
			must.Eq(t, test.notRun, notRun)
			must.Eq(t, test.cause, cause)
			must.Eq(t, test.outcome, result.Outcome)
			must.Eq(t, 1, backend.connectionCount())
		})
	}
}

func TestCompleteResponses(t *testing.T) {
	tests := []struct{ name, response, body string }{
		{name: "length", response: completeResponse, body: "lines"},
		{name: "chunks", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlines\r\n0\r\n\r\n", body: "lines"},
		{name: "early hints", response: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + completeResponse, body: "lines"},
		{name: "no content", response: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "not modified", response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		{name: "a second answer on the connection", response: completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", body: "lines"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRawBackend(t, respondWith(test.response))
			var result admission.Result
			body, err := sendOnce(context.Background(), backend.url(), &result)
			must.NoError(t, err)
			must.Eq(t, test.body, body)
			must.Eq(t, admission.Succeeded, result.Outcome)
			must.Positive(t, result.Latency)
			must.Eq(t, 1, backend.connectionCount())
		})
	}
}

func TestStatusOutcomes(t *testing.T) {
	want := map[int]admission.Outcome{
		http.StatusOK:                  admission.Succeeded,
		http.StatusNotFound:            admission.Succeeded,
		http.StatusInternalServerError: admission.Abandoned,
		http.StatusNotImplemented:      admission.Abandoned,
		http.StatusBadGateway:          admission.Failed,
		http.StatusServiceUnavailable:  admission.Failed,
		http.StatusGatewayTimeout:      admission.Failed,
	}
	for status, outcome := range want {
		must.Eq(t, outcome, statusOutcome(status))
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	backend := startRawBackend(t, func(net.Conn) {})
	must.NoError(t, backend.listener.Close())
	var result admission.Result
	_, err := sendOnce(context.Background(), backend.url(), &result)
	cause, notRun := causeOf(err)
	must.True(t, notRun)
	must.Eq(t, CauseBackendUnreachable, cause)
	must.Eq(t, admission.ConnectionRefused, result.Outcome)
}

// TestNoReplayOnStaleConnection guards against the replay of a request by the
// HTTP library. The backend server closes the connection of every second request
// after reading it; a client that reuses connections would resend the request.
func TestNoReplayOnStaleConnection(t *testing.T) {
	var requests atomic.Int64
	backend := startRawBackend(t, func(conn net.Conn) {
		for {
			if _, _, err := readRequest(conn); err != nil {
				return
			}
			if requests.Add(1)%2 == 0 {
				return
			}
			_, _ = io.WriteString(conn, completeResponse)
		}
	})
	client, err := newBackendClient(backend.url())
	must.NoError(t, err)
	for i := range 6 {
		r := httptest.NewRequest(http.MethodGet, "/lots", nil)
		r.Header.Set(HeaderIdempotencyKey, "same")
		response, err := client.roundTrip(context.Background(), r, &admission.Result{})
		if i%2 == 0 {
			must.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			continue
		}
		_, notRun := causeOf(err)
		must.Error(t, err)
		must.False(t, notRun)
	}
	must.Eq(t, 6, requests.Load())
	must.Eq(t, 6, backend.connectionCount())
}

// TestLateResponseIsNotDeliveredToAnotherRequest guards against mixing up
// responses. The first request times out, and its response is sent only after the
// head of the second one's response has arrived.
func TestLateResponseIsNotDeliveredToAnotherRequest(t *testing.T) {
	release := make(chan struct{})
	backend := startRawBackend(t, func(conn net.Conn) {
		r, _, err := readRequest(conn)
		if err != nil {
			return
		}
		if r.URL.Path == "/first" {
			<-release
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	})
	client, err := newBackendClient(backend.url())
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.roundTrip(ctx, httptest.NewRequest(http.MethodGet, "/first", nil), &admission.Result{})
	_, notRun := causeOf(err)
	must.Error(t, err)
	must.False(t, notRun)
	response, err := client.roundTrip(context.Background(), httptest.NewRequest(http.MethodGet, "/second", nil), &admission.Result{})
	must.NoError(t, err)
	close(release)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "second", string(body))
}

func TestSendGuardIsDecidedOnce(t *testing.T) {
	guard := &sendGuard{}
	must.True(t, guard.abort())
	must.False(t, guard.allowWrite())
	must.True(t, guard.abort())
	guard = &sendGuard{}
	must.True(t, guard.allowWrite())
	must.False(t, guard.abort())
	must.True(t, guard.allowWrite())
}

// countingConn counts the bytes written to it and discards them.
type countingConn struct {
	net.Conn
	written int
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// TestNoWriteAfterAbort cancels a request after the connection is established and
// before its first byte is written.
func TestNoWriteAfterAbort(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	underlying := &countingConn{}
	conn := &guardedConn{Conn: underlying, ctx: ctx, guard: &sendGuard{}}
	cancel()
	_, err := conn.Write([]byte("POST"))
	must.ErrorIs(t, err, net.ErrClosed)
	must.Eq(t, 0, underlying.written)
	must.True(t, conn.guard.abort())
}

// TestConnectionClosedBeforeRequest uses a backend server that closes each
// connection without reading. Whether a byte is sent before the close is noticed
// depends on the kernel; the error and the outcome must agree with each other.
func TestConnectionClosedBeforeRequest(t *testing.T) {
	backend := startRawBackend(t, func(net.Conn) {})
	var result admission.Result
	_, err := sendOnce(context.Background(), backend.url(), &result)
	must.Error(t, err)
	want := admission.Failed
	if _, notRun := causeOf(err); notRun {
		want = admission.ConnectionRefused
	}
	must.Eq(t, want, result.Outcome)
	must.Eq(t, 1, backend.connectionCount())
}

func TestDeadlineIsSentToBackend(t *testing.T) {
	remaining := make(chan string, 1)
	backend := startRawBackend(t, func(conn net.Conn) {
		r, _, err := readRequest(conn)
		if err != nil {
			return
		}
		remaining <- r.Header.Get(HeaderDeadline)
		_, _ = io.WriteString(conn, completeResponse)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := sendOnce(ctx, backend.url(), &admission.Result{})
	must.NoError(t, err)
	must.StrHasPrefix(t, "3599", <-remaining)
	_, err = sendOnce(context.Background(), backend.url(), &admission.Result{})
	must.NoError(t, err)
	must.Eq(t, "", <-remaining)
}

func TestExpiredDeadlineIsNotRun(t *testing.T) {
	backend := startRawBackend(t, respondWith(completeResponse))
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	_, err := sendOnce(ctx, backend.url(), &admission.Result{})
	cause, notRun := causeOf(err)
	must.True(t, notRun)
	must.Eq(t, CauseDeadline, cause)
	must.Eq(t, 0, backend.connectionCount())
}
