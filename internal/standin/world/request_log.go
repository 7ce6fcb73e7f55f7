package world

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/turmericrock/turmericrock/internal/standin/backend"
)

// HeaderService carries the service that the caller meant, so that a backend
// server can tell a request of another service.
const HeaderService = "Request-Service"

// RequestLog notes which hosts began which request, over all backend servers.
type RequestLog struct {
	mu        sync.Mutex
	hosts     map[string][]string
	misrouted int
}

func NewRequestLog() *RequestLog {
	return &RequestLog{hosts: make(map[string][]string)}
}

// Hosts returns the hosts at which the request arrived, in order.
func (j *RequestLog) Hosts(id string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.hosts[id]...)
}

// Repeated returns the hosts of requests that arrived more than once, by
// request ID.
func (j *RequestLog) Repeated() map[string][]string {
	j.mu.Lock()
	defer j.mu.Unlock()
	repeated := make(map[string][]string)
	for id, hosts := range j.hosts {
		if len(hosts) > 1 {
			repeated[id] = slices.Clone(hosts)
		}
	}
	return repeated
}

// Misrouted returns the number of requests that arrived at a backend server of
// another service than the caller meant.
func (j *RequestLog) Misrouted() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.misrouted
}

func (j *RequestLog) record(id, host string, misrouted bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if id != "" {
		j.hosts[id] = append(j.hosts[id], host)
	}
	if misrouted {
		j.misrouted++
	}
}

// requestRecorder stands before a backend server and notes what arrives.
type requestRecorder struct {
	next       http.Handler
	requestLog *RequestLog
	service    string
	host       string

	mu       sync.Mutex
	received int
}

// ServeHTTP implements http.Handler.
func (o *requestRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/healthz") {
		o.next.ServeHTTP(w, r)
		return
	}
	intended := r.Header.Get(HeaderService)
	o.requestLog.record(r.Header.Get(backend.HeaderRequestID), o.host, intended != "" && intended != o.service)
	o.mu.Lock()
	o.received++
	o.mu.Unlock()
	o.next.ServeHTTP(w, r)
}

// requestCount returns the number of requests that arrived.
func (o *requestRecorder) requestCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.received
}
