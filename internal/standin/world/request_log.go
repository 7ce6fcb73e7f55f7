package world

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/turmericrock/turmericrock/internal/standin/backend"
)

// HeaderService is the header that carries the service to which the caller
// addressed the request, so that a backend server can detect misrouted
// requests.
const HeaderService = "Request-Service"

// RequestLog records which hosts received each request, over all backend
// servers.
type RequestLog struct {
	mu        sync.Mutex
	hosts     map[string][]string
	misrouted int
}

func NewRequestLog() *RequestLog {
	return &RequestLog{hosts: make(map[string][]string)}
}

// Hosts returns the hosts that received the request, in order of arrival.
func (j *RequestLog) Hosts(id string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.hosts[id]...)
}

// Repeated returns the hosts of each request that arrived more than once, by
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

// Misrouted returns the number of requests that reached a backend server of a
// service other than the one they were addressed to.
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

// requestRecorder records the requests to a backend server before it passes
// them on. Health checks are not recorded.
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

// requestCount returns the number of requests received.
func (o *requestRecorder) requestCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.received
}
