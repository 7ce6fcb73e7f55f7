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

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/tunnel"
)

// requestHandler handles callers' HTTP/3 requests.
type requestHandler struct {
	config        Config
	currentView   *atomic.Pointer[View]
	admitter      *admitter
	backendClient *backendClient
	duplicates    *duplicateFilter
	prefetch      *prefetcher
	counters      *Counters
	log           *logrus.Logger
}

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := h.serveDeduplicated(w, r)
	if err == nil {
		h.counters.served.Add(1)
		return
	}
	cause, notRun := causeOf(err)
	h.counters.add(cause)
	h.log.WithFields(logrus.Fields{"path": r.URL.Path, "cause": cause, "error": err}).Debug("request_failed")
	if notRun {
		reject(w)
		return
	}
	// The panic makes the HTTP/3 server reset the stream, so that the caller does
	// not take the response for a complete one.
	panic(http.ErrAbortHandler)
}

// serveDeduplicated responds with 409 to a duplicate of a request that this agent
// has already run or is running, and serves any other request. Requests without
// an idempotency key, and those of idempotent services, are not checked.
func (h *requestHandler) serveDeduplicated(w http.ResponseWriter, r *http.Request) error {
	view := h.currentView.Load()
	if r.Header.Get(HeaderIdempotencyKey) == "" || view.Service.Idempotent {
		return h.serve(w, r, view)
	}
	key := digestKey(r)
	if state := h.duplicates.begin(key); state != "" {
		h.counters.add(CauseRepeatedKey)
		w.Header().Set(HeaderRepeated, state)
		w.WriteHeader(http.StatusConflict)
		return nil
	}
	notRun := false
	defer func() { h.duplicates.end(key, notRun) }()
	err := h.serve(w, r, view)
	_, notRun = causeOf(err)
	return err
}

func (h *requestHandler) serve(w http.ResponseWriter, r *http.Request, view *View) error {
	flow := flowFromContext(r.Context())
	flow.beginRequest()
	defer flow.endRequest()
	if err := h.checkServable(view, flow); err != nil {
		return err
	}
	stream := isStream(view, r)
	ctx, cancel := h.withDeadline(w, r, stream)
	defer cancel()
	release, err := h.prefetch.fetch(r, stream)
	if err != nil {
		return err
	}
	defer release()
	result := admission.Result{}
	if stream {
		defer func() { h.admitter.observe(result) }()
	} else {
		if !h.acquireSlot(ctx, flow.priority()) {
			return &NotRunError{Cause: slotFailureCause(ctx)}
		}
		defer func() { h.admitter.releaseSlot(result) }()
	}
	result.AdmittedAt = time.Now()
	err = h.run(ctx, w, r, stream, &result)
	if err == nil {
		flow.served.Store(true)
	}
	return err
}

// run sends the request to the backend server and the response to the caller, and
// records the outcome in result.
func (h *requestHandler) run(ctx context.Context, w http.ResponseWriter, r *http.Request, stream bool, result *admission.Result) error {
	response, err := h.backendClient.roundTrip(ctx, r, result)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	writer := &responseWriter{ctx: ctx, w: w, controller: http.NewResponseController(w)}
	if !stream {
		writer.stallTimeout = h.config.StallTimeout
	}
	err = writer.write(response)
	if cause, _ := causeOf(err); err != nil && cause == CauseResponseTruncated {
		result.Outcome = admission.Failed
	}
	return err
}

// checkServable returns a *NotRunError when the host must not serve the request:
// the view has expired, the zone is out of service, or the flow is draining.
func (h *requestHandler) checkServable(view *View, flow *flow) error {
	switch {
	case !view.Valid(time.Now()):
		return &NotRunError{Cause: CauseStaleView}
	case view.State == tunnel.HostZoneOut:
		return &NotRunError{Cause: CauseZoneOut}
	case view.State == tunnel.HostLeaving && flow.draining():
		return &NotRunError{Cause: CauseLeaving}
	default:
		return nil
	}
}

func (h *requestHandler) acquireSlot(ctx context.Context, priority admission.Priority) bool {
	ctx, cancel := context.WithTimeout(ctx, h.config.QueueWait)
	defer cancel()
	return h.admitter.awaitSlot(ctx, priority)
}

// withDeadline returns a context that ends at the request's deadline. Reads and
// writes of the HTTP/3 stream that block are then unblocked. A streaming request
// whose caller sets no deadline has none.
func (h *requestHandler) withDeadline(w http.ResponseWriter, r *http.Request, stream bool) (context.Context, context.CancelFunc) {
	ctx, cancel := withOptionalTimeout(r.Context(), h.timeout(r, stream))
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		now := time.Now()
		_ = controller.SetReadDeadline(now)
		_ = controller.SetWriteDeadline(now)
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

func withOptionalTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(ctx, timeout)
	}
	return context.WithCancel(ctx)
}

// timeout returns the timeout that the caller sets for the request, or else the
// default one; for streaming requests the default is 0, no timeout. A caller's
// value that is not valid or above maxTimeout is ignored.
func (h *requestHandler) timeout(r *http.Request, stream bool) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	switch {
	case err == nil && ms > 0 && ms <= int64(maxTimeout/time.Millisecond):
		return time.Duration(ms) * time.Millisecond
	case stream:
		return 0
	default:
		return h.config.RequestTimeout
	}
}

// maxTimeout is the longest request timeout that is accepted from a caller.
const maxTimeout = 7 * 24 * time.Hour

// slotFailureCause returns why a request was not admitted, by the state of its
// own context: the caller canceled, the deadline passed while it was queued, or
// no slot became free.
func slotFailureCause(ctx context.Context) Cause {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return CauseCallerGone
	case ctx.Err() != nil:
		return CauseDeadline
	default:
		return CauseNoSlot
	}
}

// isStream reports whether the service declares the request's path as streaming.
func isStream(view *View, r *http.Request) bool {
	for _, prefix := range view.Service.Streams {
		if strings.HasPrefix(r.URL.Path, prefix) {
			return true
		}
	}
	return false
}

// reject resets the stream with H3_REQUEST_REJECTED, the standard error code for
// a request that was not processed (RFC 9114, section 4.1.1).
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
