package agent

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/tunnel"
)

// front serves callers' HTTP/3 requests.
type front struct {
	config   Config
	views    *atomic.Pointer[View]
	gate     *gate
	exchange *exchange
	log      *logrus.Logger
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := f.serve(w, r)
	if err == nil {
		return
	}
	f.log.WithFields(logrus.Fields{"path": r.URL.Path, "error": err}).Debug("request_failed")
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		reject(w)
		return
	}
	// The server resets the stream, so that the caller sees no clean end.
	panic(http.ErrAbortHandler)
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) error {
	view := f.views.Load()
	if view.State == tunnel.HostLeaving || view.State == tunnel.HostZoneOut {
		return &NotRunError{Cause: leavingCause(view.State)}
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.timeout(r))
	defer cancel()
	if !isStream(view, r) {
		if !f.admit(ctx) {
			return &NotRunError{Cause: CauseNoSlot}
		}
		defer f.gate.end()
	}
	response, err := f.exchange.do(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response.Body); err != nil {
		return &UnknownError{Cause: CauseAnswerCut, Err: err}
	}
	return nil
}

func (f *front) admit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, f.config.QueueWait)
	defer cancel()
	return f.gate.begin(ctx)
}

// timeout returns the time that the caller gives the request.
func (f *front) timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return f.config.RequestTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

func isStream(view *View, r *http.Request) bool {
	for _, prefix := range view.Service.Streams {
		if strings.HasPrefix(r.URL.Path, prefix) {
			return true
		}
	}
	return false
}

// reject resets the stream with H3_REQUEST_REJECTED, the standard word for a
// request that was not processed (RFC 9114, section 4.1.1).
func reject(w http.ResponseWriter) {
	streamer, ok := w.(http3.HTTPStreamer)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	stream, err := streamer.HTTPStream()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
	stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestRejected))
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}

func leavingCause(state tunnel.HostState) Cause {
	if state == tunnel.HostZoneOut {
		return CauseZoneOut
	}
	return CauseLeaving
}
