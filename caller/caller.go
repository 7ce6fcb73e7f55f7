// Package caller is a small HTTP/3 caller. It retries only what was refused
// as not run, honours deadlines and tells an unknown outcome from a refusal.
package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// HeaderDeadline carries the time left for the request in milliseconds.
const HeaderDeadline = "Request-Timeout-Ms"

// Config holds the settings of a Client.
type Config struct {
	// Addr is the service's address.
	Addr netip.AddrPort
	// ServerName is the name in the service's certificate.
	ServerName string
	// TLS holds the trusted roots.
	TLS *tls.Config
	// Attempts is the number of times that a request is tried while it is
	// refused as not run.
	Attempts int
	// Backoff is the wait before the second attempt. It doubles with each.
	Backoff time.Duration
	// DialTimeout bounds one handshake.
	DialTimeout time.Duration
	// KeepAlive is the time between packets on an idle flow.
	KeepAlive time.Duration
	// IdleTimeout is how long a silent flow is kept.
	IdleTimeout time.Duration
}

// DefaultConfig returns the settings that need no value from the caller.
func DefaultConfig() Config {
	return Config{
		Attempts:    5,
		Backoff:     50 * time.Millisecond,
		DialTimeout: 3 * time.Second,
		KeepAlive:   500 * time.Millisecond,
		IdleTimeout: 30 * time.Second,
	}
}

// Request is one request.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts is the number of times that the request was tried.
	Attempts int
}

// Client holds one flow to a service and opens another when it ends. It is
// safe for concurrent use.
type Client struct {
	config Config

	mu   sync.Mutex
	flow *flow
}

// flow is one QUIC connection.
type flow struct {
	transport *quic.Transport
	quic      *quic.Conn
	http      *http3.ClientConn
}

// New returns a client without a flow.
func New(config Config) *Client {
	return &Client{config: config}
}

// Close ends the client's flow.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow != nil {
		c.flow.close()
		c.flow = nil
	}
}

// Do sends the request and returns the whole answer. The error is a
// *NotRunError or an *UnknownError.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	var body bytes.Buffer
	response, err := c.Stream(ctx, request, func(piece []byte) {
		body.Write(piece)
	})
	if err != nil {
		return nil, err
	}
	response.Body = body.Bytes()
	return response, nil
}

// Stream sends the request and hands the answer's body to receive piece by
// piece. The error is a *NotRunError or an *UnknownError.
func (c *Client) Stream(ctx context.Context, request Request, receive func([]byte)) (*Response, error) {
	wait := c.config.Backoff
	for attempt := 1; ; attempt++ {
		response, err := c.try(ctx, request, receive)
		if err == nil {
			response.Attempts = attempt
			return response, nil
		}
		var notRun *NotRunError
		if !errors.As(err, &notRun) || attempt >= c.config.Attempts {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(wait):
		}
		wait *= 2
	}
}

func (c *Client) try(ctx context.Context, request Request, receive func([]byte)) (*Response, error) {
	f, err := c.current(ctx)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	stream, err := f.http.OpenRequestStream(ctx)
	if err != nil {
		c.forget(f)
		return nil, &NotRunError{Err: err}
	}
	response, err := exchange(ctx, stream, c.build(ctx, request), request.Body, receive)
	if err == nil {
		return response, nil
	}
	if rejected(err) {
		c.forget(f)
		return nil, &NotRunError{Err: err}
	}
	return nil, &UnknownError{Err: err}
}

func (c *Client) build(ctx context.Context, request Request) *http.Request {
	out, err := http.NewRequestWithContext(ctx, request.Method, "https://"+c.config.ServerName+request.Path, nil)
	if err != nil {
		out = &http.Request{}
	}
	if request.Header != nil {
		out.Header = request.Header.Clone()
	}
	out.ContentLength = int64(len(request.Body))
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		out.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return out
}

func exchange(ctx context.Context, stream *http3.RequestStream, request *http.Request, body []byte, receive func([]byte)) (*Response, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
	})
	defer stop()
	if err := stream.SendRequestHeader(request); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(body) > 0 {
		// A failed write is told by the answer: the agent may have refused.
		_, _ = stream.Write(body)
	}
	_ = stream.Close()
	response, err := stream.ReadResponse()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := receiveBody(response.Body, receive); err != nil {
		return nil, err
	}
	return &Response{Status: response.StatusCode, Header: response.Header}, nil
}

func receiveBody(body io.Reader, receive func([]byte)) error {
	buf := make([]byte, readBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			receive(buf[:n])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

const readBuffer = 16 << 10 // bytes

// rejected reports whether the agent said that the request was not run.
func rejected(err error) bool {
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
}

// current returns the client's flow, opening one when there is none.
func (c *Client) current(ctx context.Context) (*flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow != nil && c.flow.quic.Context().Err() == nil {
		return c.flow, nil
	}
	f, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	c.flow = f
	return f, nil
}

// forget makes the next request open a new flow. What is in service on the
// old one goes on.
func (c *Client) forget(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow == f {
		c.flow = nil
	}
}

func (c *Client) dial(ctx context.Context) (*flow, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	transport := &quic.Transport{Conn: socket}
	tlsConfig := http3.ConfigureTLSConfig(c.config.TLS.Clone())
	tlsConfig.ServerName = c.config.ServerName
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(c.config.Addr), tlsConfig, &quic.Config{
		KeepAlivePeriod:         c.config.KeepAlive,
		MaxIdleTimeout:          c.config.IdleTimeout,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, errors.WithStack(err)
	}
	context.AfterFunc(conn.Context(), func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	return &flow{
		transport: transport,
		quic:      conn,
		http:      (&http3.Transport{}).NewClientConn(conn),
	}, nil
}

const packetSize = 1200 // bytes

func (f *flow) close() {
	_ = f.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}
