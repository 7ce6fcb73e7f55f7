// Package backend is a stand-in for a backend server. It has a limited number
// of request slots, starts cold, cannot serve its full load while cold, sheds
// excess requests, drains, notices cancellation and counts how often each
// request was run.
package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeaderRequestID is the header with the request ID, by which duplicate runs
// are counted.
const HeaderRequestID = "Request-Id"

// HeaderServedBy is the header with the service and host that served the
// request, as "service@host".
const HeaderServedBy = "Served-By"

// HeaderNotRun is set on a 503 response to a request that was not started.
const HeaderNotRun = "Request-Not-Run"

// Config holds the settings of a Backend.
type Config struct {
	// Service is the qualified service name, "customer/name".
	Service string
	// Host is the name of the host.
	Host string
	// Slots is the number of concurrent requests that a warm server can run.
	Slots int
	// ColdSlots is the number of concurrent requests that a cold server can
	// run.
	ColdSlots int
	// Warmup is how long the server stays cold after a start.
	Warmup time.Duration
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
}

// RunCounter counts the runs of each request over all backend servers. It is
// safe for concurrent use.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty RunCounter.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[string]int)}
}

// Runs returns how often the request was run.
func (c *RunCounter) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// Duplicates returns the number of requests that were run more than once.
func (c *RunCounter) Duplicates() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	duplicates := 0
	for _, runs := range c.runs {
		if runs > 1 {
			duplicates++
		}
	}
	return duplicates
}

func (c *RunCounter) add(id string) {
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// Backend is one backend server. It implements http.Handler.
type Backend struct {
	config     Config
	runCounter *RunCounter

	mu            sync.Mutex
	started       time.Time
	inService     int
	peakInService int
	draining      bool
	coldOverloads int
	served        int
	cancelled     int
}

// New returns a backend server that is cold and starts to warm up.
func New(config Config, runCounter *RunCounter) *Backend {
	return &Backend{config: config, runCounter: runCounter, started: time.Now()}
}

// Restart resets the backend server to the cold state.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = time.Now()
}

// SetDraining sets whether the health endpoint reports that the server is
// draining.
func (b *Backend) SetDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
}

// Stats are the counters of a backend server.
type Stats struct {
	Served int
	// ColdOverloads counts requests that were refused because the server was
	// cold and its cold slots were in use.
	ColdOverloads int
	Cancelled     int
	InService     int
	PeakInService int
}

// Stats returns the current counters.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Served:        b.served,
		ColdOverloads: b.coldOverloads,
		Cancelled:     b.cancelled,
		InService:     b.inService,
		PeakInService: b.peakInService,
	}
}

// ServeHTTP implements http.Handler.
//
//	/healthz        health check
//	/feed?n=N&ms=M  N lines, one every M milliseconds
//	other paths     a request that takes ServiceTime
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		b.serveHealth(w)
	case "/feed":
		b.serveFeed(w, r)
	default:
		b.serveWork(w, r)
	}
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("draining"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (b *Backend) serveFeed(w http.ResponseWriter, r *http.Request) {
	count, _ := strconv.Atoi(r.URL.Query().Get("n"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	b.setServedBy(w)
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(time.Duration(max(ms, 1)) * time.Millisecond)
	defer ticker.Stop()
	for i := range count {
		_, _ = fmt.Fprintf(w, "%s %d\n", b.config.Service, i)
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	if !b.tryBegin() {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.finish()
	b.runCounter.add(r.Header.Get(HeaderRequestID))
	select {
	case <-r.Context().Done():
		b.mu.Lock()
		b.cancelled++
		b.mu.Unlock()
		return
	case <-time.After(b.config.ServiceTime):
	}
	b.setServedBy(w)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", b.config.Service, r.URL.Path, r.Header.Get(HeaderRequestID))
}

func (b *Backend) tryBegin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inService >= b.config.Slots {
		return false
	}
	cold := time.Since(b.started) < b.config.Warmup
	if cold && b.inService >= b.config.ColdSlots {
		b.coldOverloads++
		return false
	}
	b.inService++
	b.peakInService = max(b.peakInService, b.inService)
	return true
}

func (b *Backend) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inService--
	b.served++
}

func (b *Backend) setServedBy(w http.ResponseWriter) {
	w.Header().Set(HeaderServedBy, b.config.Service+"@"+b.config.Host)
}
