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

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlines"

// exchangeOnce sends one submission and returns its answer's body.
func exchangeOnce(ctx context.Context, backend string, result *admission.Result) (string, error) {
	x, err := newExchange(backend)
	if err != nil {
		return "", err
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders", strings.NewReader("psalm twenty-three"))
	r.Header.Set(HeaderKey, "one")
	r.Header.Set(HeaderDeadline, "5")
	response, err := x.do(ctx, r, result)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	w := httptest.NewRecorder()
	a := &answer{ctx: ctx, w: w, controller: http.NewResponseController(w)}
	err = a.write(response)
	return w.Body.String(), err
}

func TestCutsAtEveryPosition(t *testing.T) {
	invariant.SetHandler(func(name string) { t.Error("violated: " + name) })
	t.Cleanup(func() { invariant.SetHandler(nil) })
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name    string
		play    func(net.Conn)
		notRun  bool
		cause   Cause
		outcome admission.Outcome
	}{
		{name: "at the first byte", play: cutAfter("P"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the request head", play: cutAfter("POST /"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "after the request head", play: cutAfter("\r\n\r\n"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the request body", play: cutAfter("psalm"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "after the request body", play: cutAfter("three"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the status line", play: answering("HTTP/1.1 2"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "in the answer's head", play: answering("HTTP/1.1 200 OK\r\nContent-Le"), cause: CauseBackendFailed, outcome: admission.Failed},
		{name: "after the answer's head", play: answering("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "in a body with a length", play: answering("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nline"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "before the first chunk", play: answering(chunked), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "in a chunk's size", play: answering(chunked + "5"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "in a chunk", play: answering(chunked + "5\r\nlin"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "between chunks", play: answering(chunked + "5\r\nlines\r\n"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "in the last chunk", play: answering(chunked + "5\r\nlines\r\n0"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "in the trailer", play: answering(chunked + "5\r\nlines\r\n0\r\nDigest: a"), cause: CauseAnswerCut, outcome: admission.Succeeded},
		{name: "no length", play: answering("HTTP/1.1 200 OK\r\n\r\nlines"), cause: CauseUndelimited, outcome: admission.Succeeded},
		{name: "switching protocols", play: answering("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n"), cause: CauseUndelimited, outcome: admission.Succeeded},
		{name: "shed", play: answering("HTTP/1.1 503 Busy\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), notRun: true, cause: CauseBackendShed, outcome: admission.Shed},
		{name: "shed, cut in the head", play: answering("HTTP/1.1 503 Busy\r\nRequest-Not-Run: 1\r\n"), cause: CauseBackendFailed, outcome: admission.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRaw(t, test.play)
			var result admission.Result
			_, err := exchangeOnce(context.Background(), backend.url(), &result)
			must.Error(t, err)
			cause, notRun := causeOf(err)
			must.Eq(t, test.notRun, notRun)
			must.Eq(t, test.cause, cause)
			must.Eq(t, test.outcome, result.Outcome)
			must.Eq(t, 1, backend.count())
		})
	}
}

func TestWholeAnswers(t *testing.T) {
	tests := []struct{ name, answer, body string }{
		{name: "length", answer: whole, body: "lines"},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlines\r\n0\r\n\r\n", body: "lines"},
		{name: "early hints", answer: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole, body: "lines"},
		{name: "no content", answer: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "not modified", answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		{name: "a second answer on the connection", answer: whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", body: "lines"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := startRaw(t, answering(test.answer))
			var result admission.Result
			body, err := exchangeOnce(context.Background(), backend.url(), &result)
			must.NoError(t, err)
			must.Eq(t, test.body, body)
			must.Eq(t, admission.Succeeded, result.Outcome)
			must.Positive(t, result.Latency)
			must.Eq(t, 1, backend.count())
		})
	}
}

func TestStatusesTellOfTheLoad(t *testing.T) {
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
		must.Eq(t, outcome, judge(status))
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	backend := startRaw(t, func(net.Conn) {})
	must.NoError(t, backend.listener.Close())
	var result admission.Result
	_, err := exchangeOnce(context.Background(), backend.url(), &result)
	cause, notRun := causeOf(err)
	must.True(t, notRun)
	must.Eq(t, CauseBackendUnreachable, cause)
	must.Eq(t, admission.ConnectionRefused, result.Outcome)
}

// TestNoReplayOnAStaleConnection closes the connection of every second
// request after reading it. A client that keeps connections would send it
// again by itself.
func TestNoReplayOnAStaleConnection(t *testing.T) {
	var requests atomic.Int64
	backend := startRaw(t, func(conn net.Conn) {
		for {
			if _, _, err := readRequest(conn); err != nil {
				return
			}
			if requests.Add(1)%2 == 0 {
				return
			}
			_, _ = io.WriteString(conn, whole)
		}
	})
	x, err := newExchange(backend.url())
	must.NoError(t, err)
	for i := range 6 {
		r := httptest.NewRequest(http.MethodGet, "/lots", nil)
		r.Header.Set(HeaderKey, "same")
		response, err := x.do(context.Background(), r, &admission.Result{})
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
	must.Eq(t, 6, backend.count())
}

// TestLateAnswerMeetsNoOtherRequest answers the first request only once the
// second is answered.
func TestLateAnswerMeetsNoOtherRequest(t *testing.T) {
	release := make(chan struct{})
	backend := startRaw(t, func(conn net.Conn) {
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
	x, err := newExchange(backend.url())
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = x.do(ctx, httptest.NewRequest(http.MethodGet, "/first", nil), &admission.Result{})
	_, notRun := causeOf(err)
	must.Error(t, err)
	must.False(t, notRun)
	response, err := x.do(context.Background(), httptest.NewRequest(http.MethodGet, "/second", nil), &admission.Result{})
	must.NoError(t, err)
	close(release)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, "second", string(body))
}

func TestClaimIsSettledOnce(t *testing.T) {
	c := &claim{}
	must.True(t, c.giveUp())
	must.False(t, c.send())
	must.True(t, c.giveUp())
	c = &claim{}
	must.True(t, c.send())
	must.False(t, c.giveUp())
	must.True(t, c.send())
}

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	written int
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// TestNothingIsWrittenAfterGivingUp ends the request between the connection
// and its first byte.
func TestNothingIsWrittenAfterGivingUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	under := &countingConn{}
	conn := &claimConn{Conn: under, ctx: ctx, claim: &claim{}}
	cancel()
	_, err := conn.Write([]byte("POST"))
	must.ErrorIs(t, err, net.ErrClosed)
	must.Eq(t, 0, under.written)
	must.True(t, conn.claim.giveUp())
}

// TestConnectionCutBeforeTheRequest meets a backend server that closes each
// connection unread. Whether a byte went out before the close was noticed is
// for the kernel to say; the word must fit.
func TestConnectionCutBeforeTheRequest(t *testing.T) {
	backend := startRaw(t, func(net.Conn) {})
	var result admission.Result
	_, err := exchangeOnce(context.Background(), backend.url(), &result)
	must.Error(t, err)
	want := admission.Failed
	if _, notRun := causeOf(err); notRun {
		want = admission.ConnectionRefused
	}
	must.Eq(t, want, result.Outcome)
	must.Eq(t, 1, backend.count())
}

func TestDeadlineReachesTheBackend(t *testing.T) {
	left := make(chan string, 1)
	backend := startRaw(t, func(conn net.Conn) {
		r, _, err := readRequest(conn)
		if err != nil {
			return
		}
		left <- r.Header.Get(HeaderDeadline)
		_, _ = io.WriteString(conn, whole)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := exchangeOnce(ctx, backend.url(), &admission.Result{})
	must.NoError(t, err)
	must.StrHasPrefix(t, "3599", <-left)
	_, err = exchangeOnce(context.Background(), backend.url(), &admission.Result{})
	must.NoError(t, err)
	must.Eq(t, "", <-left)
}

func TestPassedDeadlineIsNotRun(t *testing.T) {
	backend := startRaw(t, answering(whole))
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	_, err := exchangeOnce(ctx, backend.url(), &admission.Result{})
	cause, notRun := causeOf(err)
	must.True(t, notRun)
	must.Eq(t, CauseDeadline, cause)
	must.Eq(t, 0, backend.count())
}
