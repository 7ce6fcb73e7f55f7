package admission

import "time"

// Limiter admits requests and flows. It is not safe for concurrent use.
//
// A started host is held to its cold limit for the warm-up. Then the limit
// rises by one step at a time while requests succeed. Sheds, failures and a
// rise of the latency cut it at once. Signs of a restart make the host cold
// again.
type Limiter struct {
	config Config
	// coldSince is when the host was last seen to start.
	coldSince time.Time
	// limit is the limit in force.
	limit int
	// raiseTimerStart is when the limit last changed.
	raiseTimerStart time.Time
	// lastReduction is when the limit was last cut. Requests begun before it do not
	// cut it again.
	lastReduction time.Time
	// limitConfirmed is set once a request succeeded since the limit last changed.
	limitConfirmed bool
	// pausedUntil is until when nothing is admitted, since the backend server
	// sheds even what the least limit lets through.
	pausedUntil time.Time
	// ceiling is the least limit at which a request was shed, or 0. It is
	// tried again after a longer time.
	ceiling             int
	lastShed            time.Time
	consecutiveSheds    int
	consecutiveRefusals int
	latency             latencyTracker
	detectedRestarts    uint64
	inService           int
	flows               int
}

// NewLimiter returns the limiter of a host that started cold at the time
// given.
func NewLimiter(config Config, started time.Time) *Limiter {
	l := &Limiter{config: config}
	l.Restarted(started)
	return l
}

// Configure changes the limits. A host whose slots grow rises to them step by
// step.
func (l *Limiter) Configure(now time.Time, config Config) {
	first := l.config.Slots == 0
	l.config = config
	if first {
		l.Restarted(l.coldSince)
	}
	l.raiseIfDue(now)
	l.limit = min(l.limit, config.Slots)
}

// Restarted tells that the backend server is cold again. Without a warm-up
// wish the host is warm at once.
func (l *Limiter) Restarted(now time.Time) {
	l.limit = l.config.Slots
	if l.config.Warmup > 0 {
		l.limit = l.config.coldLimit()
	}
	l.startWarmup(now)
}

// applyColdLimit holds the host to its cold limit or the lower one in force.
func (l *Limiter) applyColdLimit(now time.Time) {
	l.limit = min(l.limit, l.config.coldLimit())
	l.startWarmup(now)
}

// startWarmup begins a warm-up.
func (l *Limiter) startWarmup(now time.Time) {
	l.coldSince = now
	l.ceiling = 0
	l.raiseTimerStart = now.Add(l.config.Warmup)
	l.lastReduction = now
	l.limitConfirmed = false
	l.latency.reset()
}

// Limit returns the number of requests admitted at a time.
func (l *Limiter) Limit(now time.Time) int {
	l.raiseIfDue(now)
	return l.limit
}

// Warm reports whether the warm-up is over.
func (l *Limiter) Warm(now time.Time) bool {
	return now.Sub(l.coldSince) >= l.config.Warmup
}

// Begin admits a request and reports whether it did.
func (l *Limiter) Begin(now time.Time) bool {
	l.raiseIfDue(now)
	if l.inService >= l.limit || l.Paused(now) {
		return false
	}
	l.inService++
	return true
}

// End ends an admitted request and learns from its outcome.
func (l *Limiter) End(now time.Time, result Result) {
	l.raiseIfDue(now)
	l.applyResult(now, result)
	l.inService--
}

// Observe learns from the outcome of a request that held no slot, such as a
// stream. Only a refused connection tells of the host's limit.
func (l *Limiter) Observe(now time.Time, result Result) {
	l.raiseIfDue(now)
	if result.Outcome == ConnectionRefused {
		l.applyResult(now, result)
	}
}

// Paused reports whether nothing is admitted for a moment, since the backend
// server refuses even the least load.
func (l *Limiter) Paused(now time.Time) bool {
	return now.Before(l.pausedUntil)
}

// OpenFlow admits a flow and reports whether it did.
func (l *Limiter) OpenFlow() bool {
	if !l.HasFlowCapacity() {
		return false
	}
	l.flows++
	return true
}

// HasFlowCapacity reports whether a flow would be admitted.
func (l *Limiter) HasFlowCapacity() bool {
	return l.flows < l.config.Connections
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

// DetectedRestarts returns the number of restarts seen from the traffic.
func (l *Limiter) DetectedRestarts() uint64 {
	return l.detectedRestarts
}

// raiseIfDue raises the limit by the steps that are due.
func (l *Limiter) raiseIfDue(now time.Time) {
	for l.limit < l.config.Slots {
		next := min(l.config.Slots, l.limit+l.config.raiseStep())
		due := l.raiseTimerStart.Add(l.raiseDelay(next))
		if now.Before(due) {
			return
		}
		l.limit = next
		l.raiseTimerStart = due
		l.limitConfirmed = false
		if next >= l.ceiling {
			l.ceiling = 0
		}
	}
}

// raiseDelay returns the time between the last change of the limit and a rise
// to next.
func (l *Limiter) raiseDelay(next int) time.Duration {
	switch {
	case l.ceiling > 0 && next >= l.ceiling:
		return max(idleRaiseInterval, l.config.Warmup)
	case l.limitConfirmed:
		return raiseInterval
	default:
		return idleRaiseInterval
	}
}

// reduceLimit leaves the share of base, and one request at least.
func (l *Limiter) reduceLimit(now time.Time, factor float64, base int) {
	l.limit = min(l.config.Slots, max(1, int(factor*float64(base))))
	l.lastReduction = now
	l.raiseTimerStart = later(l.raiseTimerStart, now)
	l.limitConfirmed = false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
