package admission

import "time"

// Outcome is how an admitted request ended.
type Outcome uint8

// Outcomes.
const (
	// Abandoned tells nothing of the backend server: the caller went away.
	Abandoned Outcome = iota
	// Succeeded means a whole answer.
	Succeeded
	// Shed means that the backend server refused the request as not run.
	Shed
	// Failed means a server error, a timeout or a connection cut.
	Failed
	// ConnectionRefused means that the backend server took no connection.
	ConnectionRefused
)

// Result is the outcome of one request.
type Result struct {
	Outcome Outcome
	// Began is when the request was admitted.
	Began time.Time
	// Latency is the time from the end of the request to the start of the
	// answer, or 0 when it is not known or not comparable.
	Latency time.Duration
}

const (
	// restartWindow is the time within which a second shed, after the first
	// has cut the limit, shows a restart.
	restartWindow = 5 * time.Second
	// pauseBase is the first wait after a shed at the least limit. It doubles
	// up to maxShedHold.
	pauseBase     = 25 * time.Millisecond
	maxPause      = time.Second
	maxPauseShift = 10
)

// applyResult changes the limit by what the result shows.
func (l *Limiter) applyResult(now time.Time, r Result) {
	switch r.Outcome {
	case Succeeded:
		l.onSuccess(now, r)
	case Shed:
		l.onShed(now, r)
	case Failed:
		l.onFailure(now, r)
	case ConnectionRefused:
		l.onConnectionRefused(now)
	case Abandoned:
	}
}

func (l *Limiter) onSuccess(now time.Time, r Result) {
	if l.consecutiveRefusals > 0 {
		l.consecutiveRefusals = 0
		l.onRestartDetected(now)
		return
	}
	if r.Began.Before(l.lastReduction) {
		return
	}
	l.consecutiveSheds = 0
	switch l.latency.observe(r.Latency) {
	case latencyRestart:
		l.onRestartDetected(now)
	case latencyHigh:
		l.reduceLimit(now, errorFactor, l.limit)
	default:
		l.confirmLimit(now)
	}
}

// confirmLimit notes that the limit in force was borne. The time to the next rise
// counts from the first proof, so that a long idle time raises nothing.
func (l *Limiter) confirmLimit(now time.Time) {
	if l.limitConfirmed {
		return
	}
	l.limitConfirmed = true
	l.raiseTimerStart = later(l.raiseTimerStart, now)
}

// onShed cuts the limit for the first onShed and takes a second one soon after,
// of a request begun since, for a restart.
func (l *Limiter) onShed(now time.Time, r Result) {
	if r.Began.Before(l.lastReduction) {
		return
	}
	l.consecutiveSheds++
	if l.limit <= 1 {
		l.pause(now, l.consecutiveSheds)
	}
	again := !l.lastShed.IsZero() && now.Sub(l.lastShed) <= restartWindow
	l.lastShed = now
	level := min(l.limit, max(1, l.inService))
	l.reduceLimit(now, shedFactor, level)
	if again {
		l.onRestartDetected(now)
		return
	}
	l.ceiling = max(level, l.limit+1)
}

// pause admits nothing for a while, longer with each refusal in a row.
func (l *Limiter) pause(now time.Time, consecutive int) {
	wait := pauseBase << min(consecutive, maxPauseShift)
	l.pausedUntil = now.Add(min(wait, maxPause))
}

func (l *Limiter) onFailure(now time.Time, r Result) {
	if r.Began.Before(l.lastReduction) {
		return
	}
	l.reduceLimit(now, errorFactor, l.limit)
}

// onConnectionRefused holds the host to its cold limit: a backend server that takes no
// connection is cold once it does.
func (l *Limiter) onConnectionRefused(now time.Time) {
	l.consecutiveRefusals++
	l.pause(now, l.consecutiveRefusals)
	l.applyColdLimit(now)
}

// onRestartDetected makes the host cold after signs of a restart that nobody
// announced.
func (l *Limiter) onRestartDetected(now time.Time) {
	l.detectedRestarts++
	l.applyColdLimit(now)
}
