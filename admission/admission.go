package admission

import "time"

// Limiter is an adaptive concurrency limiter for the requests and flows of one
// backend server. It is not safe for concurrent use.
//
// A host that has just started is limited to its cold limit for the warm-up
// time. After that the limit increases by one step at a time: every
// raiseInterval while requests succeed, and every idleRaiseInterval otherwise,
// so that a host without traffic also reaches its full limit. Shed requests,
// failures and a rise in latency reduce the limit at once. Signs of a restart
// put the host back to its cold limit.
type Limiter struct {
	config Config
	// warmupStartedAt is the start of the current or last warm-up.
	warmupStartedAt time.Time
	// limit is the number of requests that may currently be in service at the same
	// time.
	limit int
	// raiseTimerStart is the time from which the delay until the next increase
	// is measured.
	raiseTimerStart time.Time
	// resultsValidFrom is when the limit was last reduced or a warm-up began.
	// Results of requests that were admitted before it say nothing about the
	// current limit and are ignored, except refused connections.
	resultsValidFrom time.Time
	// limitConfirmed is set once a request has succeeded under the current limit.
	limitConfirmed bool
	// pausedUntil is the time until which nothing is admitted, because the
	// backend server refuses requests even at the lowest limit.
	pausedUntil time.Time
	// shedLevel is the number of concurrent requests at which the backend server
	// last shed one. It is 0 if the server has shed none since the last warm-up
	// began or since the limit reached that number again. Raising the limit to it
	// takes a longer delay.
	shedLevel  int
	lastShedAt time.Time
	// consecutiveSheds and consecutiveRefusals count shed requests and refused
	// connections without a success between them.
	consecutiveSheds    int
	consecutiveRefusals int
	latency             latencyTracker
	detectedRestarts    uint64
	inService           int
	flows               int
}

// NewLimiter returns a limiter for a host that started cold at the given time.
func NewLimiter(config Config, started time.Time) *Limiter {
	l := &Limiter{config: config}
	l.Restarted(started)
	return l
}

// Configure replaces the configuration. A larger number of slots is reached
// step by step; a smaller one applies at once.
func (l *Limiter) Configure(now time.Time, config Config) {
	first := l.config.Slots == 0
	l.config = config
	if first {
		l.Restarted(l.warmupStartedAt)
	}
	l.raiseIfDue(now)
	l.limit = min(l.limit, config.Slots)
}

// Restarted records a known start of the backend server and begins its
// warm-up. Without a configured warm-up the full limit applies at once.
func (l *Limiter) Restarted(now time.Time) {
	l.limit = l.config.Slots
	if l.config.Warmup > 0 {
		l.limit = l.config.coldLimit()
	}
	l.startWarmup(now)
}

// applyColdLimit reduces the limit to the cold limit, unless it is already
// lower, and begins a warm-up.
func (l *Limiter) applyColdLimit(now time.Time) {
	l.limit = min(l.limit, l.config.coldLimit())
	l.startWarmup(now)
}

// startWarmup restarts the warm-up time and discards what was learned about the
// limit, including the results of requests that are still in service.
func (l *Limiter) startWarmup(now time.Time) {
	l.warmupStartedAt = now
	l.shedLevel = 0
	l.raiseTimerStart = now.Add(l.config.Warmup)
	l.resultsValidFrom = now
	l.limitConfirmed = false
	l.latency.reset()
}

// Limit returns the number of requests that may be in service at the same time.
func (l *Limiter) Limit(now time.Time) int {
	l.raiseIfDue(now)
	return l.limit
}

// Warm reports whether the warm-up is over.
func (l *Limiter) Warm(now time.Time) bool {
	return now.Sub(l.warmupStartedAt) >= l.config.Warmup
}

// Begin admits a request if a slot is free and reports whether it did. Each
// admitted request must be ended with End.
func (l *Limiter) Begin(now time.Time) bool {
	l.raiseIfDue(now)
	if l.inService >= l.limit || l.Paused(now) {
		return false
	}
	l.inService++
	return true
}

// End releases the slot of an admitted request and adjusts the limit to its
// result.
func (l *Limiter) End(now time.Time, result Result) {
	l.raiseIfDue(now)
	l.applyResult(now, result)
	l.inService--
}

// Observe adjusts the limit to the result of a request that occupied no slot,
// such as a stream. Only a refused connection says anything about the limit;
// other outcomes are ignored.
func (l *Limiter) Observe(now time.Time, result Result) {
	l.raiseIfDue(now)
	if result.Outcome == ConnectionRefused {
		l.applyResult(now, result)
	}
}

// Paused reports whether admission is suspended for a short time because the
// backend server refuses requests even at the lowest limit.
func (l *Limiter) Paused(now time.Time) bool {
	return now.Before(l.pausedUntil)
}

// OpenFlow admits a flow if there is capacity and reports whether it did. Each
// admitted flow must be ended with CloseFlow.
func (l *Limiter) OpenFlow() bool {
	if !l.HasFlowCapacity() {
		return false
	}
	l.flows++
	return true
}

// HasFlowCapacity reports whether a flow would be admitted.
func (l *Limiter) HasFlowCapacity() bool {
	return l.flows < l.config.MaxFlows
}

// CloseFlow ends an admitted flow.
func (l *Limiter) CloseFlow() {
	l.flows--
}

// InService returns the number of requests in service.
func (l *Limiter) InService() int {
	return l.inService
}

// Flows returns the number of open flows.
func (l *Limiter) Flows() int {
	return l.flows
}

// DetectedRestarts returns the number of restarts of the backend server that
// were inferred from request results.
func (l *Limiter) DetectedRestarts() uint64 {
	return l.detectedRestarts
}

// raiseIfDue raises the limit by all steps that are due at the given time.
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
		if next >= l.shedLevel {
			l.shedLevel = 0
		}
	}
}

// raiseDelay returns how long after raiseTimerStart the limit may be raised to
// next. The delay is longest at shedLevel, where a request was shed before, and
// shortest once a request has succeeded under the current limit.
func (l *Limiter) raiseDelay(next int) time.Duration {
	switch {
	case l.shedLevel > 0 && next >= l.shedLevel:
		return max(idleRaiseInterval, l.config.Warmup)
	case l.limitConfirmed:
		return raiseInterval
	default:
		return idleRaiseInterval
	}
}

// reduceLimit sets the limit to base times factor, but to at least one request.
func (l *Limiter) reduceLimit(now time.Time, factor float64, base int) {
	l.limit = min(l.config.Slots, max(1, int(factor*float64(base))))
	l.resultsValidFrom = now
	l.raiseTimerStart = later(l.raiseTimerStart, now)
	l.limitConfirmed = false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
