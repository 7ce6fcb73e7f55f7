// Package backend is a stand-in for a backend server. It has slots, starts
// cold, falls over under full load while cold, sheds, drains, notices
// cancellation and counts how often each request ran.
package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeaderRequestID names a request, so that doubled runs can be counted.
const HeaderRequestID = "Request-Id"

// HeaderServedBy names the service and host that served a request.
const HeaderServedBy = "Served-By"

// HeaderNotRun is set on a 503 answer to a request that was not begun.
const HeaderNotRun = "Request-Not-Run"

// Config holds the settings of a Backend.
type Config struct {
	// Service is the qualified service name, "customer/name".
	Service string
	// Host names the host.
	Host string
	// Slots is the number of requests served at a time when warm.
	Slots int
	// ColdSlots is the number borne while cold.
	ColdSlots int
	// Warmup is the length of a cold start.
	Warmup time.Duration
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
}

// RunCounter counts the runs of each request over all backend servers.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[string]int)}
}

// Runs returns how often the request ran.
func (l *RunCounter) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Duplicates returns the number of requests that ran more than once.
func (l *RunCounter) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubled := 0
	for _, runs := range l.runs {
		if runs > 1 {
			doubled++
		}
	}
	return doubled
}

func (l *RunCounter) add(id string) {
	if id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Backend is one backend server. It implements http.Handler.
type Backend struct {
	config Config
	ledger *RunCounter

	mu        sync.Mutex
	started   time.Time
	inService int
	peak      int
	draining  bool
	fallen    int
	served    int
	cancelled int
}

// New returns a backend server that starts cold now.
func New(config Config, ledger *RunCounter) *Backend {
	return &Backend{config: config, ledger: ledger, started: time.Now()}
}

// Restart makes the backend server cold again.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = time.Now()
}

// SetDraining changes what the health endpoint says.
func (b *Backend) SetDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
}

// Stats are the counts of a backend server.
type Stats struct {
	Served int
	// ColdOverloads counts requests over what a cold server bears.
	ColdOverloads int
	Cancelled     int
	InService     int
	PeakInService int
}

// Stats returns the counts so far.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Served:        b.served,
		ColdOverloads: b.fallen,
		Cancelled:     b.cancelled,
		InService:     b.inService,
		PeakInService: b.peak,
	}
}

// ServeHTTP implements http.Handler.
//
//	/healthz        health
//	/feed?n=N&ms=M  N lines, one each M milliseconds
//	other paths     one unit of work
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		b.health(w)
	case "/feed":
		b.feed(w, r)
	default:
		b.work(w, r)
	}
}

func (b *Backend) health(w http.ResponseWriter) {
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

func (b *Backend) feed(w http.ResponseWriter, r *http.Request) {
	count, _ := strconv.Atoi(r.URL.Query().Get("n"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	b.name(w)
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

func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
	if !b.begin() {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	b.ledger.add(r.Header.Get(HeaderRequestID))
	select {
	case <-r.Context().Done():
		b.mu.Lock()
		b.cancelled++
		b.mu.Unlock()
		return
	case <-time.After(b.config.ServiceTime):
	}
	b.name(w)
	_, _ = fmt.Fprintf(w, "%s %s %s\n", b.config.Service, r.URL.Path, r.Header.Get(HeaderRequestID))
}

func (b *Backend) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inService >= b.config.Slots {
		return false
	}
	cold := time.Since(b.started) < b.config.Warmup
	if cold && b.inService >= b.config.ColdSlots {
		b.fallen++
		return false
	}
	b.inService++
	b.peak = max(b.peak, b.inService)
	return true
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inService--
	b.served++
}

func (b *Backend) name(w http.ResponseWriter) {
	w.Header().Set(HeaderServedBy, b.config.Service+"@"+b.config.Host)
}
