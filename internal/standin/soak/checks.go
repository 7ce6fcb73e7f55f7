package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// Bounds of the platform's pages.
const (
	drainBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	strayWindow   = 2 * time.Second
	strayMost     = 3
	contactTime   = 4 * time.Second
	recoveryBound = 12 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	At        time.Duration
	Guarantee string
	Detail    string
}

// String returns the violation as it is printed.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.At.Seconds(), v.Guarantee, v.Detail)
}

// checks holds what requesters and hosts have seen.
type checks struct {
	started time.Time

	mu         sync.Mutex
	owner      map[flow.Key]*host
	strays     map[flow.Key][]time.Time
	route      map[flow.Endpoint]string
	closedAt   map[*host]time.Time // when a host began to drain or its zone went out
	closeBound map[*host]time.Duration
	// disturbed is when a fault last touched any machine.
	disturbed  time.Time
	violations []Violation
	served     int
	failed     int
	resets     int
}

func newChecks() *checks {
	return &checks{
		started: time.Now(), owner: make(map[flow.Key]*host), strays: make(map[flow.Key][]time.Time),
		route: make(map[flow.Endpoint]string), closedAt: make(map[*host]time.Time), closeBound: make(map[*host]time.Duration),
	}
}

// violated notes a violation. The caller holds mu.
func (c *checks) violated(promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: time.Since(c.started), Guarantee: promise, Detail: fmt.Sprintf(format, args...)})
}

// disturb notes a fault that no plan foresaw.
func (c *checks) disturb() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed = time.Now()
}

func (c *checks) calm() bool { return time.Since(c.disturbed) > contactTime }

// closeTo notes that a host may take no openings once the bound is over.
func (c *checks) closeTo(h *host, bound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedAt[h], c.closeBound[h] = time.Now(), bound
}

func (c *checks) openTo(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closedAt, h)
}

// arrived checks a packet that a host received.
func (c *checks) arrived(h *host, key flow.Key, opening bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service := c.route[key.Service]; service != h.service {
		c.violated("ROUTE", "a packet of %v for %s reached a host of %s", key, service, h.service)
	}
	if closed, ok := c.closedAt[h]; ok && opening && time.Since(closed) > c.closeBound[h] && c.calm() {
		c.violated("DRAIN", "an opening %v reached a host that left %v ago", key, time.Since(closed))
	}
	switch own := c.owner[key]; {
	case own == nil:
	case own == h:
		delete(c.strays, key)
	case !opening && own != h:
		c.strays[key] = append(c.strays[key], time.Now())
		first := c.strays[key][0]
		if len(c.strays[key]) >= strayMost && time.Since(first) > strayWindow && c.calm() && own.holds(key) {
			c.violated("FLOW", "%d packets of %v reached foreign hosts in %v", len(c.strays[key]), key, time.Since(first))
		}
	}
}

// opened notes that a flow is open at a host.
func (c *checks) opened(h *host, key flow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner[key] = h
}

// reset checks a reset that a requester received on an open flow.
func (c *checks) reset(key flow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets++
	own := c.owner[key]
	if own != nil && own.holds(key) {
		c.violated("FLOW", "open flow %v was reset while its host holds it", key)
	}
}

// answered checks an answer.
func (c *checks) answered(key flow.Key, want, got string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if want == got {
		c.served++
		return true
	}
	c.violated("MIXED", "flow %v: answer %q, want %q", key, got, want)
	return false
}

func (c *checks) gaveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed++
}
