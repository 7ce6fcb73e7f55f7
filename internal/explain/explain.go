// Package explain serves and queries the explanation of where a new flow would go, over
// HTTP at the metrics address of an entry or agent of opaque flows.
package explain

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/datagram"
)

// Path is the path at which explanations are served.
const Path = "/explain"

const (
	// maxQueryBytes limits the query of a request.
	maxQueryBytes = 512
	// maxZoneBytes limits the name of a zone, which errors repeat.
	maxZoneBytes = 128
	// maxResponseBytes limits an answer. Candidates that do not fit are left out.
	maxResponseBytes = 128 << 10
)

// The codes of errors in answers.
const (
	codeBadQuery     = "bad_query"
	codeUnknownRoute = "unknown_route"
	codeUnknownZone  = "unknown_zone"
	codeNoCatalog    = "no_catalog"
	codeTooLarge     = "too_large"
)

// QueryError reports a query with a parameter that is not valid.
type QueryError struct {
	Parameter, Reason string
}

// Error implements error.
func (e *QueryError) Error() string { return "parameter " + e.Parameter + ": " + e.Reason }

// failure is the body of an answer with an error.
type failure struct {
	Code   string `json:"error"`
	Detail string `json:"detail"`
}

// Func explains where a new flow would go.
type Func func(now time.Duration, q datagram.ExplainQuery) (*datagram.Explanation, error)

// Handler answers GET requests with explanations.
func Handler(now func() time.Duration, explain Func) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		q, err := parseQuery(r.URL.RawQuery)
		if err != nil {
			writeError(w, err)
			return
		}
		x, err := explain(now(), q)
		if err != nil {
			writeError(w, err)
			return
		}
		body, err := encode(x)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(body) // The client has gone if this fails.
	})
}

const contentType = "application/json"

// parseQuery returns the query of a request, or a *QueryError.
func parseQuery(raw string) (datagram.ExplainQuery, error) {
	var q datagram.ExplainQuery
	if len(raw) > maxQueryBytes {
		return q, &QueryError{Parameter: "query", Reason: "longer than " + strconv.Itoa(maxQueryBytes) + " bytes"}
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, &QueryError{Parameter: "query", Reason: "not valid"}
	}
	for name := range values {
		var err error
		switch value := values.Get(name); name {
		case "route":
			q.Route, err = ParseEndpoint(value)
		case "requester":
			q.Requester, err = ParseEndpoint(value)
		case "zone":
			q.Zone = value
			if len(value) > maxZoneBytes {
				err = errors.Errorf("longer than %d bytes", maxZoneBytes)
			}
		default:
			err = errors.New("not known")
		}
		if err != nil {
			return q, &QueryError{Parameter: strconv.Quote(name), Reason: err.Error()}
		}
	}
	if !q.Route.IsValid() {
		return q, &QueryError{Parameter: "route", Reason: "required"}
	}
	return q, nil
}

// EndpointError reports text that is not an IPv4 address and a port.
type EndpointError struct {
	Text string
}

// Error implements error.
func (e *EndpointError) Error() string {
	return strconv.Quote(e.Text) + " is not an IPv4 address and a port, such as 198.18.0.1:443"
}

// ParseEndpoint returns an IPv4 address and a port, or an *EndpointError.
func ParseEndpoint(text string) (netip.AddrPort, error) {
	endpoint, err := netip.ParseAddrPort(text)
	if err != nil || !endpoint.Addr().Is4() {
		return netip.AddrPort{}, &EndpointError{Text: text}
	}
	return endpoint, nil
}

// encode returns the explanation as JSON, with as many candidates as the size permits.
func encode(x *datagram.Explanation) ([]byte, error) {
	for {
		body, err := json.Marshal(x)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if len(body) <= maxResponseBytes {
			return body, nil
		}
		if len(x.Candidates) == 0 {
			return nil, &TooLargeError{Bytes: len(body)}
		}
		keep := len(x.Candidates) / 2
		x.Omitted += len(x.Candidates) - keep
		x.Candidates = x.Candidates[:keep]
	}
}

// TooLargeError reports an explanation that exceeds the maximum size of an answer.
type TooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "the explanation has " + strconv.Itoa(e.Bytes) + " bytes, allowed are " + strconv.Itoa(maxResponseBytes)
}

func writeError(w http.ResponseWriter, err error) {
	f, status := failure{Detail: err.Error()}, http.StatusInternalServerError
	var query *QueryError
	var route *datagram.UnknownRouteError
	var zone *datagram.UnknownZoneError
	var noCatalog *datagram.NoCatalogError
	var large *TooLargeError
	switch {
	case errors.As(err, &query):
		f.Code, status = codeBadQuery, http.StatusBadRequest
	case errors.As(err, &route):
		f.Code, f.Detail, status = codeUnknownRoute, route.Route, http.StatusNotFound
	case errors.As(err, &zone):
		f.Code, f.Detail, status = codeUnknownZone, zone.Zone, http.StatusNotFound
	case errors.As(err, &noCatalog):
		f.Code, status = codeNoCatalog, http.StatusServiceUnavailable
	case errors.As(err, &large):
		f.Code = codeTooLarge
	}
	body, encodeErr := json.Marshal(f)
	if encodeErr != nil {
		http.Error(w, encodeErr.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // The client has gone if this fails.
}
