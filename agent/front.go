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

// front serves callers' HTTP/3 requests.
type front struct {
	config   Config
	views    *atomic.Pointer[View]
	gate     *gate
	exchange *exchange
	repeats  *repeats
	prefetch *prefetcher
	counters *Counters
	log      *logrus.Logger
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := f.serveOnce(w, r)
	if err == nil {
		f.counters.served.Add(1)
		return
	}
	cause, notRun := causeOf(err)
	f.counters.add(cause)
	f.log.WithFields(logrus.Fields{"path": r.URL.Path, "cause": cause, "error": err}).Debug("request_failed")
	if notRun {
		reject(w)
		return
	}
	// The server resets the stream, so that the caller sees no clean end.
	panic(http.ErrAbortHandler)
}

// serveOnce answers a repeat of a request that this agent has run by itself.
func (f *front) serveOnce(w http.ResponseWriter, r *http.Request) error {
	view := f.views.Load()
	if r.Header.Get(HeaderKey) == "" || view.Service.Idempotent {
		return f.serve(w, r, view)
	}
	key := digestKey(r)
	if state := f.repeats.begin(key); state != "" {
		f.counters.add(CauseRepeated)
		w.Header().Set(HeaderRepeated, state)
		w.WriteHeader(http.StatusConflict)
		return nil
	}
	notRun := false
	defer func() { f.repeats.end(key, notRun) }()
	err := f.serve(w, r, view)
	_, notRun = causeOf(err)
	return err
}

func (f *front) serve(w http.ResponseWriter, r *http.Request, view *View) error {
	flow := flowOf(r.Context())
	flow.begin()
	defer flow.end()
	if err := f.mayRun(view, flow); err != nil {
		return err
	}
	stream := isStream(view, r)
	ctx, cancel := f.bound(w, r, stream)
	defer cancel()
	release, err := f.prefetch.fetch(r, stream)
	if err != nil {
		return err
	}
	defer release()
	result := admission.Result{}
	if stream {
		defer func() { f.gate.observe(result) }()
	} else {
		if !f.admit(ctx, flow.priority()) {
			return &NotRunError{Cause: waitCause(ctx)}
		}
		defer func() { f.gate.end(result) }()
	}
	result.Began = time.Now()
	err = f.run(ctx, w, r, stream, &result)
	if err == nil {
		flow.served.Store(true)
	}
	return err
}

func (f *front) run(ctx context.Context, w http.ResponseWriter, r *http.Request, stream bool, result *admission.Result) error {
	response, err := f.exchange.do(ctx, r, result)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	a := &answer{ctx: ctx, w: w, controller: http.NewResponseController(w)}
	if !stream {
		a.stall = f.config.StallTimeout
	}
	err = a.write(response)
	if cause, _ := causeOf(err); err != nil && cause == CauseAnswerCut {
		result.Outcome = admission.Failed
	}
	return err
}

// mayRun refuses a request that this host may not take up.
func (f *front) mayRun(view *View, flow *flow) error {
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

func (f *front) admit(ctx context.Context, priority admission.Priority) bool {
	ctx, cancel := context.WithTimeout(ctx, f.config.QueueWait)
	defer cancel()
	return f.gate.begin(ctx, priority)
}

// bound returns a context that ends with the time that the caller gives the
// request. Its end unblocks reads and writes of the stream. A stream without
// a deadline has none.
func (f *front) bound(w http.ResponseWriter, r *http.Request, stream bool) (context.Context, context.CancelFunc) {
	ctx, cancel := withBound(r.Context(), f.timeout(r, stream))
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		past := time.Now()
		_ = controller.SetReadDeadline(past)
		_ = controller.SetWriteDeadline(past)
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

func withBound(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(ctx, timeout)
	}
	return context.WithCancel(ctx)
}

// timeout returns the time that the caller gives the request, or 0 for no
// bound.
func (f *front) timeout(r *http.Request, stream bool) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	switch {
	case err == nil && ms > 0 && ms <= int64(maxTimeout/time.Millisecond):
		return time.Duration(ms) * time.Millisecond
	case stream:
		return 0
	default:
		return f.config.RequestTimeout
	}
}

// maxTimeout is the longest deadline that is taken from a caller.
const maxTimeout = 7 * 24 * time.Hour

// waitCause tells a request whose deadline passed in the queue from one that
// found no slot.
func waitCause(ctx context.Context) Cause {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return CauseCallerGone
	case ctx.Err() != nil:
		return CauseDeadline
	default:
		return CauseNoSlot
	}
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
