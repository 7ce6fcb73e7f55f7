package agent

import (
	"crypto/sha256"
	"net/http"
	"sync"
)

// Headers of repeated requests.
const (
	// HeaderKey names a request, so that a repeat of it is known.
	HeaderKey = "Idempotency-Key"
	// HeaderRepeated is set on a 409 answer to a repeat that was not run.
	// It tells whether the first request is "running" or has "ended".
	HeaderRepeated = "Request-Repeated"
)

// maxRepeats bounds the requests that are remembered.
const maxRepeats = 1 << 16

// keyDigest identifies a request by its key, method and path.
type keyDigest [16]byte

func digestKey(r *http.Request) keyDigest {
	sum := sha256.Sum256([]byte(r.Header.Get(HeaderKey) + "\x00" + r.Method + "\x00" + r.URL.Path))
	return keyDigest(sum[:])
}

// repeats remembers the keys of requests that were run, so that none runs
// twice on this agent. The oldest ended ones are forgotten first.
type repeats struct {
	mu       sync.Mutex
	running  map[keyDigest]struct{}
	ended    map[keyDigest]struct{}
	previous map[keyDigest]struct{}
	half     int
}

func newRepeats(size int) *repeats {
	return &repeats{
		running:  make(map[keyDigest]struct{}),
		ended:    make(map[keyDigest]struct{}),
		previous: make(map[keyDigest]struct{}),
		half:     size / 2,
	}
}

// begin notes a request and reports the state of an earlier one with the same
// key, or none.
func (m *repeats) begin(key keyDigest) (state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.running[key]; found {
		return "running"
	}
	_, recent := m.ended[key]
	_, older := m.previous[key]
	if recent || older {
		return "ended"
	}
	m.running[key] = struct{}{}
	return ""
}

// end notes that the request ended. One that was not run is forgotten, so
// that it may be tried again.
func (m *repeats) end(key keyDigest, notRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, key)
	if notRun {
		return
	}
	if len(m.ended) >= m.half {
		m.previous = m.ended
		m.ended = make(map[keyDigest]struct{})
	}
	m.ended[key] = struct{}{}
}
