package caller

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"
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
	// MaxAttempts is the number of times that a request is tried while it is
	// refused as not run.
	MaxAttempts int
	// Backoff is the mean wait before the second attempt. It doubles with
	// each, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RetryRatio is the number of repeats that each request adds to the
	// client's retry budget, and RetryBurst is the most that it holds.
	RetryRatio float64
	RetryBurst float64
	// DialTimeout bounds one handshake.
	DialTimeout time.Duration
	// KeepAlive is the time between packets on an idle flow.
	KeepAlive time.Duration
	// SilenceTimeout is how long nothing may arrive on a flow before it moves
	// to a new local address. It is longer than KeepAlive.
	SilenceTimeout time.Duration
	// ProbeTimeout bounds the first check of a new path.
	ProbeTimeout time.Duration
	// IdleTimeout is how long a silent flow is kept.
	IdleTimeout time.Duration
}

// DefaultConfig returns the settings that need no value from the caller.
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

// Request is one request.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent allows the client to repeat the request after an unknown
	// outcome, as long as no part of an answer was handed on.
	Idempotent bool
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts is the number of times that the request was tried.
	Attempts int
}
