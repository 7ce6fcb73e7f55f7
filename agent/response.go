package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const copyBufferSize = 16 << 10 // bytes

// answer writes one answer to the caller.
type responseWriter struct {
	ctx context.Context
	w   http.ResponseWriter
	// stall bounds how long the caller may take no byte, 0 for no bound.
	stallTimeout time.Duration
	controller   *http.ResponseController
}

// write copies the whole answer. On failure it returns an *UnknownError: the
// caller must not see a clean end.
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

// copyBody flushes each piece, so that streams are not held back. The first
// flush keeps the header as the backend server sent it.
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

// cutCause tells an answer that the caller or its deadline ended from one
// that the backend server cut.
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
