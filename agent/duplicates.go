package agent

import (
	"crypto/sha256"
	"net/http"
	"sync"
)

// Headers of repeated requests.
const (
	// HeaderKey names a request, so that a repeat of it is known.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeated is set on a 409 answer to a repeat that was not run.
	// It tells whether the first request is "running" or has "ended".
	HeaderRepeated = "Request-Repeated"
)

// maxRepeats bounds the requests that are remembered.
const maxRememberedRequests = 1 << 16

// keyDigest identifies a request by its key, method and path.
type keyDigest [16]byte

func digestKey(r *http.Request) keyDigest {
	sum := sha256.Sum256([]byte(r.Header.Get(HeaderIdempotencyKey) + "\x00" + r.Method + "\x00" + r.URL.Path))
	return keyDigest(sum[:])
}

// repeats remembers the keys of requests that were run, so that none runs
// twice on this agent. The oldest ended ones are forgotten first.
type duplicateFilter struct {
	mu                sync.Mutex
	running           map[keyDigest]struct{}
	completed         map[keyDigest]struct{}
	previousCompleted map[keyDigest]struct{}
	generationSize    int
}

func newDuplicateFilter(size int) *duplicateFilter {
	return &duplicateFilter{
		running:           make(map[keyDigest]struct{}),
		completed:         make(map[keyDigest]struct{}),
		previousCompleted: make(map[keyDigest]struct{}),
		generationSize:    size / 2,
	}
}

// begin notes a request and reports the state of an earlier one with the same
// key, or none.
func (d *duplicateFilter) begin(key keyDigest) (state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := d.running[key]; found {
		return "running"
	}
	_, recent := d.completed[key]
	_, older := d.previousCompleted[key]
	if recent || older {
		return "ended"
	}
	d.running[key] = struct{}{}
	return ""
}

// end notes that the request ended. One that was not run is forgotten, so
// that it may be tried again.
func (d *duplicateFilter) end(key keyDigest, notRun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, key)
	if notRun {
		return
	}
	if len(d.completed) >= d.generationSize {
		d.previousCompleted = d.completed
		d.completed = make(map[keyDigest]struct{})
	}
	d.completed[key] = struct{}{}
}
