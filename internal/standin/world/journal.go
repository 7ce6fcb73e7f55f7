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
	mu      sync.Mutex
	hosts   map[string][]string
	crossed int
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
	return j.crossed
}

func (j *RequestLog) add(id, host string, crossed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if id != "" {
		j.hosts[id] = append(j.hosts[id], host)
	}
	if crossed {
		j.crossed++
	}
}

// observer stands before a backend server and notes what arrives.
type observer struct {
	next    http.Handler
	journal *RequestLog
	service string
	host    string

	mu    sync.Mutex
	begun int
}

// ServeHTTP implements http.Handler.
func (o *observer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/healthz") {
		o.next.ServeHTTP(w, r)
		return
	}
	meant := r.Header.Get(HeaderService)
	o.journal.add(r.Header.Get(backend.HeaderRequestID), o.host, meant != "" && meant != o.service)
	o.mu.Lock()
	o.begun++
	o.mu.Unlock()
	o.next.ServeHTTP(w, r)
}

// count returns the number of requests that arrived.
func (o *observer) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.begun
}
