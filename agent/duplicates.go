package agent

import (
	"crypto/sha256"
	"net/http"
	"sync"
)

// Headers for duplicate requests.
const (
	// HeaderIdempotencyKey identifies a request, so that duplicates of it can be
	// detected.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeated is set on the 409 response to a duplicate, which is not run.
	// Its value is the state of the first request: "running" or "ended".
	HeaderRepeated = "Request-Repeated"
)

// maxRememberedRequests bounds the completed requests whose keys are kept.
const maxRememberedRequests = 1 << 16

// keyDigest identifies a request by its idempotency key, method and path.
type keyDigest [16]byte

func digestKey(r *http.Request) keyDigest {
	sum := sha256.Sum256([]byte(r.Header.Get(HeaderIdempotencyKey) + "\x00" + r.Method + "\x00" + r.URL.Path))
	return keyDigest(sum[:])
}

// duplicateFilter keeps the keys of requests that are running or have been run, so
// that no request runs twice on this agent. Completed requests are kept in two
// generations, of which the older one is discarded when the newer one is full.
// It is safe for concurrent use.
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

// begin returns the state of an earlier request with the same key, "running" or
// "ended". If there is none, it records the request as running and returns "".
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

// end records that the request ended. A request that was not run is removed, so
// that it can be retried.
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
