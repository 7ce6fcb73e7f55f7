package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// exchange carries one request on a stream of its own. It uses the stream
// itself and not http3.ClientConn.RoundTrip, and http3.Transport is never
// asked to send, so that no library can repeat a request.
type exchange struct {
	stream  *http3.RequestStream
	request *http.Request
	body    []byte
	out     *receiver
	// answered is set once the head of an answer has arrived.
	answered bool
}

// run sends the request and receives the answer. An idempotent request does
// not wait for a flow that was given up.
func (x *exchange) run(ctx context.Context, f *flow, idempotent bool) (*Response, error) {
	stop := context.AfterFunc(ctx, x.cancel)
	defer stop()
	if idempotent {
		unwatch := context.AfterFunc(f.lost, x.cancel)
		defer unwatch()
	}
	response, err := x.carry()
	if err == nil {
		return response, nil
	}
	x.cancel()
	switch {
	case ctx.Err() != nil:
		return nil, errors.WithStack(ctx.Err())
	case idempotent && f.lost.Err() != nil:
		return nil, &LostError{}
	default:
		return nil, err
	}
}

func (x *exchange) cancel() {
	x.stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
	x.stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
}

func (x *exchange) carry() (*Response, error) {
	if err := x.stream.SendRequestHeader(x.request); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(x.body) > 0 {
		// A failed write is told by the answer: the agent may have refused.
		_, _ = x.stream.Write(x.body)
	}
	_ = x.stream.Close()
	response, err := x.stream.ReadResponse()
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = x.stream.ReadResponse()
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	x.answered = true
	defer func() { _ = response.Body.Close() }()
	if err := x.receive(response); err != nil {
		return nil, err
	}
	return &Response{Status: response.StatusCode, Header: response.Header}, nil
}

// receive hands on the body and checks that it is whole.
func (x *exchange) receive(response *http.Response) error {
	buf := make([]byte, readBuffer)
	var got int64
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			got += int64(n)
			x.out.take(buf[:n])
		}
		if err == io.EOF {
			return checkLength(x.request.Method, response, got)
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

func checkLength(method string, response *http.Response, got int64) error {
	noBody := method == http.MethodHead || response.StatusCode == http.StatusNotModified
	want, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	if noBody || err != nil || got == want {
		return nil
	}
	return &TruncatedError{Got: got, Want: want}
}

const readBuffer = 16 << 10 // bytes

// build returns the request as it is sent. The error is a *RequestError, or
// tells that the deadline is over.
func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	if ctx.Err() != nil {
		return nil, errors.WithStack(ctx.Err())
	}
	target := "https://" + c.config.ServerName + request.Path
	out, err := http.NewRequestWithContext(ctx, request.Method, target, nil)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	if request.Header != nil {
		out.Header = request.Header.Clone()
	}
	out.ContentLength = int64(len(request.Body))
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return out, nil
}

// rejected reports whether the agent said that the request was not run.
func rejected(err error) bool {
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
}
