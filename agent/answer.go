package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const copyBuffer = 16 << 10 // bytes

// answer writes one answer to the caller.
type answer struct {
	ctx context.Context
	w   http.ResponseWriter
	// stall bounds how long the caller may take no byte, 0 for no bound.
	stall      time.Duration
	controller *http.ResponseController
}

// write copies the whole answer. On failure it returns an *UnknownError: the
// caller must not see a clean end.
func (a *answer) write(response *http.Response) error {
	copyHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
	if err := a.copyBody(response.Body); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		a.w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody flushes each piece, so that streams are not held back. The first
// flush keeps the header as the backend server sent it.
func (a *answer) copyBody(body io.Reader) error {
	if err := a.controller.Flush(); err != nil {
		return &UnknownError{Cause: CauseCallerGone, Err: err}
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if werr := a.writePiece(buf[:n]); werr != nil {
			return &UnknownError{Cause: CauseCallerGone, Err: werr}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &UnknownError{Cause: a.cutCause(), Err: err}
		}
	}
}

func (a *answer) writePiece(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if a.stall > 0 {
		_ = a.controller.SetWriteDeadline(time.Now().Add(a.stall))
	}
	if err := a.ctx.Err(); err != nil {
		return errors.WithStack(err)
	}
	if _, err := a.w.Write(piece); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(a.controller.Flush())
}

// cutCause tells an answer that the caller or its deadline ended from one
// that the backend server cut.
func (a *answer) cutCause() Cause {
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		return CauseCallerGone
	case a.ctx.Err() != nil:
		return CauseDeadline
	default:
		return CauseAnswerCut
	}
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}
