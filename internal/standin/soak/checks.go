package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// Limits from the documentation of the platform.
const (
	drainBound      = 3 * time.Second
	evacuateBound   = 5 * time.Second
	misroutedWindow = 2 * time.Second
	misroutedLimit  = 3
	settleTime      = 4 * time.Second
	recoveryBound   = 12 * time.Second
)

// Violation is a violation of one of the guarantees that the run checks.
type Violation struct {
	At        time.Duration
	Guarantee string
	Detail    string
}

// String returns the violation in the form in which it is printed.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.At.Seconds(), v.Guarantee, v.Detail)
}

// checker checks the guarantees against what requesters and hosts observe.
type checker struct {
	started time.Time
	// hosts are all hosts, set before the first requester starts.
	hosts []*host

	// mu is not held while a host's mutex is taken, since hosts call the checker with theirs.
	mu         sync.Mutex
	owners     map[flow.Key]*host
	misrouted  map[flow.Key][]time.Time
	routes     map[flow.Endpoint]string
	closedAt   map[*host]time.Time // when the host began to drain or its availability zone was evacuated
	closeBound map[*host]time.Duration
	// lastFault is when a fault last affected any machine.
	lastFault  time.Time
	violations []Violation
	served     int
	failed     int
	resets     int
	// written holds the packets that requesters and hosts have sent.
	written map[string]bool
	// runs counts how often each request was run; refused holds those that were refused in
	// their last attempt, and refusals counts the attempts that were.
	runs     map[string]int
	refused  map[string]bool
	refusals int
}

func newChecker() *checker {
	return &checker{
		started: time.Now(), owners: make(map[flow.Key]*host), misrouted: make(map[flow.Key][]time.Time),
		routes: make(map[flow.Endpoint]string), closedAt: make(map[*host]time.Time), closeBound: make(map[*host]time.Duration),
		written: make(map[string]bool), runs: make(map[string]int), refused: make(map[string]bool),
	}
}

// addViolation records a violation. The caller holds mu.
func (c *checker) addViolation(guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: time.Since(c.started), Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// addViolationLocked is like addViolation for callers that do not hold mu.
func (c *checker) addViolationLocked(guarantee, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guarantee, "%s", detail)
}

// recordFault records the time of an unplanned fault.
func (c *checker) recordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFault = time.Now()
}

// isSettled reports whether no fault has affected a machine for settleTime.
func (c *checker) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled()
}

func (c *checker) settled() bool { return time.Since(c.lastFault) > settleTime }

// closeHost records that the host must not receive opening packets once the
// bound has passed.
func (c *checker) closeHost(h *host, bound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedAt[h], c.closeBound[h] = time.Now(), bound
}

func (c *checker) reopenHost(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closedAt, h)
}

// packetReceived checks a packet that a host received.
func (c *checker) packetReceived(h *host, key flow.Key, opening bool) {
	if owner, detail := c.checkPacket(h, key, opening); owner != nil && owner.holds(key) {
		c.addViolationLocked("FLOW", detail)
	}
}

// checkPacket checks a packet that a host received. If the packet is one too many for a host
// other than the flow's owner, it returns the owner and the detail of the violation, which it
// is if the owner holds the flow.
func (c *checker) checkPacket(h *host, key flow.Key, opening bool) (owner *host, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := c.routes[key.Destination]
	if key.Destination.Port >= firstMarkerPort {
		service = services[0].name
	}
	if service != h.service {
		c.addViolation("ROUTE", "a packet of %v for %s reached a host of %s", key, service, h.service)
	}
	if closed, ok := c.closedAt[h]; ok && opening && time.Since(closed) > c.closeBound[h] && c.settled() {
		c.addViolation("DRAIN", "an opening packet of %v reached a host that left %v ago", key, time.Since(closed))
	}
	switch owner := c.owners[key]; {
	case owner == nil:
	case owner == h:
		delete(c.misrouted, key)
	case !opening && owner != h:
		c.misrouted[key] = append(c.misrouted[key], time.Now())
		first := c.misrouted[key][0]
		if len(c.misrouted[key]) >= misroutedLimit && time.Since(first) > misroutedWindow && c.settled() {
			return owner, fmt.Sprintf("%d packets of %v reached hosts other than its owner within %v", len(c.misrouted[key]), key, time.Since(first))
		}
	}
	return nil, ""
}

// flowOpened records that the host holds the flow.
func (c *checker) flowOpened(h *host, key flow.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[key] = h
}

// resetReceived checks a reset that a requester received on an open flow. Its host is the one
// that accepted it with the given sequence number, even if it has got no packet since.
func (c *checker) resetReceived(key flow.Key, hostSeq uint32) {
	c.mu.Lock()
	c.resets++
	c.mu.Unlock()
	for _, h := range c.hosts {
		if h.holdsFrom(key, hostSeq) {
			c.addViolationLocked("FLOW", fmt.Sprintf("open flow %v was reset although its host %v still holds it", key, h.listen.Addr()))
		}
	}
}

// responseReceived checks the content of a response and reports whether it is
// correct.
func (c *checker) responseReceived(key flow.Key, want, got string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if want == got {
		c.served++
		return true
	}
	c.addViolation("MIXED", "flow %v: response %q, want %q", key, got, want)
	return false
}

// packetWritten records a packet that a requester or a host sends.
func (c *checker) packetWritten(packet []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written[string(packet)] = true
}

// checkWritten checks that a received packet was sent in this form.
func (c *checker) checkWritten(packet []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.written[string(packet)] {
		c.addViolation("BYTES", "packet %x was received and never sent", packet)
	}
}

// requestRun checks a request that a host begins to run.
func (c *checker) requestRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.runs[id] > 1 {
		c.addViolation("ONCE", "request %q was run %d times", id, c.runs[id])
	}
	if c.refused[id] {
		c.addViolation("REFUSED", "request %q was run after it was refused", id)
	}
}

// attemptRefused checks a request, an attempt of which was refused.
func (c *checker) attemptRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals++
	if c.runs[id] > 0 {
		c.addViolation("REFUSED", "request %q was refused although it was run", id)
	}
}

// requestRefused records that a request is not tried again.
func (c *checker) requestRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = true
}

// processExited records that a process ended by itself.
func (c *checker) processExited(name string) {
	c.addViolationLocked("LOST", name+" ended by itself")
}

func (c *checker) requestFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed++
}
