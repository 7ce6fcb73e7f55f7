package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/shoenig/test/must"
)

func TestRefusedRequestIsRetriedWithFullBody(t *testing.T) {
	refusals := 3
	bodies := make(chan string, 1)
	s := newTestService(t, func(run int64, w http.ResponseWriter, r *http.Request) {
		if run <= int64(refusals) {
			rejectRequest(w)
			return
		}
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
	})
	c := s.client(s.config())
	response, err := c.Do(testContext(t), Request{Method: http.MethodPost, Path: "/", Body: []byte("psalm 23")})
	must.NoError(t, err)
	must.Eq(t, refusals+1, response.Attempts)
	must.Eq(t, "psalm 23", receive(t, "body", bodies))
}

// CONNECTION_REFUSED during the handshake means that no request was run.
func TestRefusedHandshakeIsRetried(t *testing.T) {
	s := newTestService(t, func(int64, http.ResponseWriter, *http.Request) {})
	s.refuseNext(2)
	c := s.client(s.config())
	response, err := c.Do(testContext(t), Request{Method: http.MethodPost, Path: "/"})
	must.NoError(t, err)
	must.Eq(t, 3, response.Attempts)
	must.Eq(t, 1, s.runs.Load())

	c = s.client(s.config())
	before := s.refuseNext(1000)
	_, err = c.Do(testContext(t), Request{Method: http.MethodPost, Path: "/"})
	mustErrorAs[*NotRunError](t, err)
	mustErrorAs[*DialError](t, err)
	// Each attempt makes exactly one handshake.
	must.Eq(t, c.config.MaxAttempts, s.refuseNext(0)-before)
	must.Eq(t, 1, s.runs.Load())
}

func TestUnknownOutcomeIsRetriedOnlyIfIdempotent(t *testing.T) {
	s := newTestService(t, func(run int64, w http.ResponseWriter, _ *http.Request) {
		if run == 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
	})
	c := s.client(s.config())
	_, err := c.Do(testContext(t), Request{Method: http.MethodPost, Path: "/"})
	mustErrorAs[*OutcomeUnknownError](t, err)
	must.Eq(t, 1, s.runs.Load())

	s.runs.Store(0)
	response, err := c.Do(testContext(t), Request{Method: http.MethodPost, Path: "/", Idempotent: true})
	must.NoError(t, err)
	must.Eq(t, "done", string(response.Body))
	must.Eq(t, 2, s.runs.Load())
}

// H3_REQUEST_REJECTED reports that a request was not run. After the response
// has started, a reset with this code is no refusal, since the request was
// answered.
func TestRejectAfterResponseStartIsUnknownOutcome(t *testing.T) {
	arrived := make(chan struct{})
	s := newTestService(t, func(_ int64, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		stream, err := w.(http3.HTTPStreamer).HTTPStream()
		must.NoError(t, err)
		_, _ = io.WriteString(stream, "half")
		<-arrived
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
	})
	c := s.client(s.config())
	_, err := c.Stream(testContext(t), Request{Method: http.MethodGet, Path: "/"}, func([]byte) { close(arrived) })
	mustErrorAs[*OutcomeUnknownError](t, err)
	must.Eq(t, 1, s.runs.Load())
}

func TestTruncatedResponseIsUnknownOutcome(t *testing.T) {
	endings := map[string]func(*http3.Stream){
		"clean end": func(stream *http3.Stream) { _ = stream.Close() },
		"reset":     func(stream *http3.Stream) { stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeNoError)) },
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			s := newTestService(t, func(_ int64, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				w.WriteHeader(http.StatusOK)
				stream, err := w.(http3.HTTPStreamer).HTTPStream()
				must.NoError(t, err)
				_, _ = io.WriteString(stream, "half")
				end(stream)
			})
			c := s.client(s.config())
			_, err := c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/"})
			mustErrorAs[*OutcomeUnknownError](t, err)
		})
	}
}

// Retrying a request after a chunk was passed on would deliver that chunk
// twice.
func TestStreamIsNotRetriedAfterFirstChunk(t *testing.T) {
	arrived := make(chan struct{})
	s := newTestService(t, func(_ int64, w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "piece")
		_ = http.NewResponseController(w).Flush()
		<-arrived
		panic(http.ErrAbortHandler)
	})
	c := s.client(s.config())
	var got []byte
	_, err := c.Stream(testContext(t), Request{Method: http.MethodGet, Path: "/", Idempotent: true}, func(chunk []byte) {
		got = append(got, chunk...)
		close(arrived)
	})
	mustErrorAs[*OutcomeUnknownError](t, err)
	must.Eq(t, "piece", string(got))
	must.Eq(t, 1, s.runs.Load())
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	s := newTestService(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { rejectRequest(w) })
	config := s.config()
	config.RetryRatio = 0.1
	config.RetryBurst = 5
	c := s.client(config)
	const requests = 40
	for range requests {
		_, err := c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/"})
		mustErrorAs[*NotRunError](t, err)
	}
	// Without the budget, each request would be tried MaxAttempts times.
	must.Less(t, 2*requests, s.runs.Load())
	must.Positive(t, c.Stats().RetriesDenied)
}

func TestDeadlineIsSentAndEnforced(t *testing.T) {
	remaining := make(chan string, 1)
	cancelled := make(chan error, 1)
	s := newTestService(t, func(_ int64, _ http.ResponseWriter, r *http.Request) {
		remaining <- r.Header.Get(HeaderDeadline)
		<-r.Context().Done()
		cancelled <- r.Context().Err()
	})
	c := s.client(s.config())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := c.Do(ctx, Request{Method: http.MethodPost, Path: "/"})
	mustErrorAs[*OutcomeUnknownError](t, err)
	must.ErrorIs(t, err, context.DeadlineExceeded)
	ms, err := strconv.Atoi(receive(t, "deadline", remaining))
	must.NoError(t, err)
	must.Between(t, 1, ms, 1000)
	must.Error(t, receive(t, "cancellation", cancelled))

	_, err = c.Do(ctx, Request{Method: http.MethodPost, Path: "/"})
	mustErrorAs[*NotRunError](t, err)
	must.Eq(t, 1, s.runs.Load())
}

func TestInvalidRequestsAreNotSent(t *testing.T) {
	s := newTestService(t, func(int64, http.ResponseWriter, *http.Request) {})
	c := s.client(s.config())
	_, err := c.Do(testContext(t), Request{Method: "NOT A METHOD", Path: "/"})
	mustErrorAs[*InvalidRequestError](t, err)
	c.Close()
	_, err = c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/"})
	mustErrorAs[*ClosedError](t, err)
	must.Eq(t, 0, s.runs.Load())
}

func TestGoAwayMovesNewRequestsOnly(t *testing.T) {
	began := make(chan struct{}, 1)
	release := make(chan struct{})
	s := newTestService(t, func(_ int64, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/feed" {
			began <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.client(s.config())
	feed := make(chan *Response, 1)
	go func() {
		response, err := c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/feed"})
		must.NoError(t, err)
		feed <- response
	}()
	receive(t, "feed", began)
	first := receive(t, "first flow", s.conns)
	s.goAway()
	for c.Stats().Flows < 2 {
		_, err := c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/lookup"})
		must.NoError(t, err)
	}
	must.NoError(t, first.Context().Err())
	close(release)
	must.Eq(t, "/feed", string(receive(t, "response", feed).Body))
	receive(t, "end of the first flow", first.Context().Done())
	second := receive(t, "second flow", s.conns)
	must.NoError(t, second.Context().Err())
}

// A restarted agent answers packets of flows from before the restart with a
// stateless reset. Both timeouts are set so long that nothing else can end the
// flow.
func TestStatelessResetEndsFlowAtOnce(t *testing.T) {
	s := newTestService(t, func(_ int64, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	})
	config := s.config()
	config.SilenceTimeout = time.Hour
	config.IdleTimeout = time.Hour
	c := s.client(config)
	begun := make(chan struct{})
	held := make(chan error, 1)
	go func() {
		_, err := c.Stream(testContext(t), Request{Method: http.MethodPost, Path: "/hold"}, func([]byte) { close(begun) })
		held <- err
	}()
	// The response acknowledges the request, so the client has nothing left to
	// retransmit.
	receive(t, "response", begun)
	s.stop()
	s.start()
	err := receive(t, "end of the request", held)
	mustErrorAs[*OutcomeUnknownError](t, err)
	mustErrorAs[*quic.StatelessResetError](t, err)
	_, err = c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/"})
	must.NoError(t, err)
}

func TestRefusingFlowIsClosedOnceIdle(t *testing.T) {
	s := newTestService(t, func(run int64, w http.ResponseWriter, _ *http.Request) {
		if run == 1 {
			rejectRequest(w)
		}
	})
	c := s.client(s.config())
	_, err := c.Do(testContext(t), Request{Method: http.MethodGet, Path: "/"})
	must.NoError(t, err)
	first := receive(t, "first flow", s.conns)
	receive(t, "end of the first flow", first.Context().Done())
	must.Eq(t, 2, c.Stats().Flows)
}
