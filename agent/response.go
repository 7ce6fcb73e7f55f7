package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const copyBufferSize = 16 << 10 // bytes

// responseWriter copies one response of the backend server to the caller.
type responseWriter struct {
	ctx context.Context
	w   http.ResponseWriter
	// stallTimeout is the write deadline of each chunk, or 0 for none.
	stallTimeout time.Duration
	controller   *http.ResponseController
}

// write copies the header, the body and the trailer. On failure it returns an
// *UnknownOutcomeError; the stream must then be reset, so that the caller does
// not take a truncated response for a complete one.
func (rw *responseWriter) write(response *http.Response) error {
	copyHeader(rw.w.Header(), response.Header)
	rw.w.WriteHeader(response.StatusCode)
	if err := rw.copyBody(response.Body); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		rw.w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies the body and flushes after each chunk, so that streamed
// responses are not delayed by buffering. The flush before the first chunk sends
// the header as it is; otherwise the HTTP/3 server could add a Content-Length to
// a short body.
func (rw *responseWriter) copyBody(body io.Reader) error {
	if err := rw.controller.Flush(); err != nil {
		return &UnknownOutcomeError{Cause: CauseCallerGone, Err: err}
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buf)
		if writeErr := rw.writeChunk(buf[:n]); writeErr != nil {
			return &UnknownOutcomeError{Cause: CauseCallerGone, Err: writeErr}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &UnknownOutcomeError{Cause: rw.truncationCause(), Err: err}
		}
	}
}

func (rw *responseWriter) writeChunk(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if rw.stallTimeout > 0 {
		_ = rw.controller.SetWriteDeadline(time.Now().Add(rw.stallTimeout))
	}
	if err := rw.ctx.Err(); err != nil {
		return errors.WithStack(err)
	}
	if _, err := rw.w.Write(chunk); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(rw.controller.Flush())
}

// truncationCause returns why a response body ended early: the caller canceled,
// the deadline passed, or the backend server closed the connection.
func (rw *responseWriter) truncationCause() Cause {
	switch {
	case errors.Is(rw.ctx.Err(), context.Canceled):
		return CauseCallerGone
	case rw.ctx.Err() != nil:
		return CauseDeadline
	default:
		return CauseResponseTruncated
	}
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}
