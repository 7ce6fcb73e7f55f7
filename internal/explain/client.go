package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/datagram"
)

// clientTimeout is how long a process has for its answer. An agent may be short of
// processor time.
const clientTimeout = 5 * time.Second

// UnreachableError reports a process that did not answer.
type UnreachableError struct {
	Address netip.AddrPort
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("the process at %s does not answer: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// UnsupportedError reports an answer that is no explanation, such as that of a process of
// an earlier build, which serves its metrics at every path.
type UnsupportedError struct {
	Address netip.AddrPort
}

// Error implements error.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("the process at %s serves no explanations: it is of an earlier build, or no entry or agent of opaque flows", e.Address)
}

// RejectedError reports a query that the process could not answer.
type RejectedError struct {
	Status       int
	Code, Detail string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the process rejects the query with status %d: %s %s", e.Status, e.Code, e.Detail)
}

// Get queries the process with the metrics address. The error is an *UnreachableError,
// *UnsupportedError, *RejectedError, or one that the process gave (see
// datagram.Entry.Explain).
func Get(ctx context.Context, address netip.AddrPort, q datagram.ExplainQuery) (*datagram.Explanation, error) {
	query := url.Values{"route": {q.Route.String()}}
	if q.Requester.IsValid() {
		query.Set("requester", q.Requester.String())
	}
	if q.Zone != "" {
		query.Set("zone", q.Zone)
	}
	target := url.URL{Scheme: "http", Host: address.String(), Path: Path, RawQuery: query.Encode()}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// The address is that of a process of the system, so no proxy is used.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	if response.Header.Get("Content-Type") != contentType || len(body) > maxResponseBytes {
		return nil, &UnsupportedError{Address: address}
	}
	if response.StatusCode != http.StatusOK {
		return nil, errorOf(address, response.StatusCode, body)
	}
	var x datagram.Explanation
	if err := json.Unmarshal(body, &x); err != nil || x.Role == "" {
		return nil, &UnsupportedError{Address: address}
	}
	return &x, nil
}

// errorOf returns the error that a process answered with.
func errorOf(address netip.AddrPort, status int, body []byte) error {
	var f failure
	if err := json.Unmarshal(body, &f); err != nil {
		return &UnsupportedError{Address: address}
	}
	switch f.Code {
	case codeUnknownRoute:
		return &datagram.UnknownRouteError{Route: f.Detail}
	case codeUnknownZone:
		return &datagram.UnknownZoneError{Zone: f.Detail}
	case codeNoCatalog:
		return &datagram.NoCatalogError{}
	default:
		return &RejectedError{Status: status, Code: f.Code, Detail: f.Detail}
	}
}
