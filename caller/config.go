package caller

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"
)

// HeaderDeadline is the request header that carries the remaining time for the
// request in milliseconds.
const HeaderDeadline = "Request-Timeout-Ms"

// Config holds the settings of a Client.
type Config struct {
	// Addr is the service's address.
	Addr netip.AddrPort
	// ServerName is the name in the service's certificate.
	ServerName string
	// TLS holds the trusted root certificates. The client sets the server name
	// and the ALPN protocol on a copy.
	TLS *tls.Config
	// MaxAttempts is the maximum number of attempts per request, including the
	// first.
	MaxAttempts int
	// Backoff is the mean delay before the second attempt. It doubles with each
	// further attempt, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RetryRatio is the number of retries that each request adds to the client's
	// retry budget, and RetryBurst is the maximum that the budget holds.
	RetryRatio float64
	RetryBurst float64
	// DialTimeout limits the duration of one handshake.
	DialTimeout time.Duration
	// KeepAlive is the interval between packets on an idle flow.
	KeepAlive time.Duration
	// SilenceTimeout is how long a flow may receive no packet before it migrates
	// to a new local address. It must be longer than KeepAlive. The limit is
	// raised on paths with a long round-trip time.
	SilenceTimeout time.Duration
	// ProbeTimeout limits the first validation of a new path. The limit doubles
	// with each further validation, up to a fixed maximum.
	ProbeTimeout time.Duration
	// IdleTimeout is how long a flow that receives no packet stays open.
	IdleTimeout time.Duration
}

// DefaultConfig returns the default settings. Addr, ServerName and TLS have no
// default.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:    8,
		Backoff:        50 * time.Millisecond,
		MaxBackoff:     time.Second,
		RetryRatio:     0.2,
		RetryBurst:     20,
		DialTimeout:    3 * time.Second,
		KeepAlive:      500 * time.Millisecond,
		SilenceTimeout: time.Second,
		ProbeTimeout:   700 * time.Millisecond,
		IdleTimeout:    30 * time.Second,
	}
}

// Request is one HTTP request.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the client to retry the request after an unknown
	// outcome, as long as no part of the response body was passed on to the
	// application.
	Idempotent bool
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts is the number of times that the request was tried.
	Attempts int
}
