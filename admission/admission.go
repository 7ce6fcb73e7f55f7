// Package admission decides, beside one backend server, which requests and
// flows are admitted. It is pure: it takes the time as an argument and does
// no I/O.
package admission

import "time"

// Config holds the limits of one host.
type Config struct {
	// Slots is the number of requests in service at a time when warm.
	Slots int
	// Connections is the number of flows held at a time.
	Connections int
	// Warmup is the time over which a started host reaches Slots.
	Warmup time.Duration
	// ColdShare is the share of Slots admitted at the start, 0 to 1.
	ColdShare float64
}

// DefaultColdShare is the share of its slots that a cold host is given.
const DefaultColdShare = 0.2

// Limiter admits requests and flows. It is not safe for concurrent use.
type Limiter struct {
	config    Config
	started   time.Time
	inService int
	flows     int
}

// NewLimiter returns the limiter of a host that started cold at the time
// given.
func NewLimiter(config Config, started time.Time) *Limiter {
	return &Limiter{config: config, started: started}
}

// Configure changes the limits.
func (l *Limiter) Configure(config Config) {
	l.config = config
}

// Restarted tells that the backend server is cold again.
func (l *Limiter) Restarted(now time.Time) {
	l.started = now
}

// Limit returns the number of requests admitted at a time.
func (l *Limiter) Limit(now time.Time) int {
	return max(1, int(l.share(now)*float64(l.config.Slots)))
}

// Warm reports whether the warm-up is over.
func (l *Limiter) Warm(now time.Time) bool {
	return now.Sub(l.started) >= l.config.Warmup
}

// Begin admits a request and reports whether it did.
func (l *Limiter) Begin(now time.Time) bool {
	if l.inService >= l.Limit(now) {
		return false
	}
	l.inService++
	return true
}

// End ends an admitted request.
func (l *Limiter) End() {
	l.inService--
}

// OpenFlow admits a flow and reports whether it did.
func (l *Limiter) OpenFlow() bool {
	if l.flows >= l.config.Connections {
		return false
	}
	l.flows++
	return true
}

// CloseFlow ends an admitted flow.
func (l *Limiter) CloseFlow() {
	l.flows--
}

// InService returns the number of requests in service.
func (l *Limiter) InService() int {
	return l.inService
}

// Flows returns the number of flows held.
func (l *Limiter) Flows() int {
	return l.flows
}

func (l *Limiter) share(now time.Time) float64 {
	if l.config.Warmup <= 0 {
		return 1
	}
	ramp := float64(now.Sub(l.started)) / float64(l.config.Warmup)
	share := l.config.ColdShare + (1-l.config.ColdShare)*ramp
	return min(1, max(l.config.ColdShare, share))
}
