package admission

import "time"

// Outcome says how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Abandoned means that the caller gave up. It says nothing about the backend
	// server.
	Abandoned Outcome = iota
	// Succeeded means that a complete response was received.
	Succeeded
	// Shed means that the backend server refused the request without running it.
	Shed
	// Failed means a server error, a timeout or a broken connection.
	Failed
	// ConnectionRefused means that no connection to the backend server could be
	// opened.
	ConnectionRefused
)

// Result describes how one request ended.
type Result struct {
	Outcome Outcome
	// AdmittedAt is when the request was admitted.
	AdmittedAt time.Time
	// Latency is the time from when the request was sent completely to the start
	// of the response, or 0 if it is unknown or not comparable to that of others.
	Latency time.Duration
}

const (
	// restartWindow is the time after a shed request within which another one,
	// admitted under the reduced limit, is taken as a sign of a restart.
	restartWindow = 5 * time.Second
	// pauseBase is doubled once for each consecutive refusal to get the length
	// of the pause in admission, up to maxPause. maxPauseShift bounds the number
	// of doublings.
	pauseBase     = 25 * time.Millisecond
	maxPause      = time.Second
	maxPauseShift = 10
)

// applyResult adjusts the limit to the result of a request.
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

// onSuccess handles a success. The first one after refused connections shows
// that the backend server has restarted.
func (l *Limiter) onSuccess(now time.Time, r Result) {
	if l.consecutiveRefusals > 0 {
		l.consecutiveRefusals = 0
		l.onRestartDetected(now)
		return
	}
	if r.AdmittedAt.Before(l.resultsValidFrom) {
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

// confirmLimit records that a request succeeded under the current limit. This
// shortens the delay until the next increase to raiseInterval, counted from the
// first such success. Counted from the last increase, a success after a long
// idle time would raise the limit by several steps at once.
func (l *Limiter) confirmLimit(now time.Time) {
	if l.limitConfirmed {
		return
	}
	l.limitConfirmed = true
	l.raiseTimerStart = later(l.raiseTimerStart, now)
}

// onShed reduces the limit after a shed request. Another one within
// restartWindow, of a request admitted after that reduction, is treated as a
// restart of the backend server.
func (l *Limiter) onShed(now time.Time, r Result) {
	if r.AdmittedAt.Before(l.resultsValidFrom) {
		return
	}
	l.consecutiveSheds++
	if l.limit <= 1 {
		l.pause(now, l.consecutiveSheds)
	}
	again := !l.lastShedAt.IsZero() && now.Sub(l.lastShedAt) <= restartWindow
	l.lastShedAt = now
	level := min(l.limit, max(1, l.inService))
	l.reduceLimit(now, shedFactor, level)
	if again {
		l.onRestartDetected(now)
		return
	}
	l.shedLevel = max(level, l.limit+1)
}

// pause suspends admission with exponential backoff over the given number of
// consecutive refusals.
func (l *Limiter) pause(now time.Time, consecutive int) {
	wait := pauseBase << min(consecutive, maxPauseShift)
	l.pausedUntil = now.Add(min(wait, maxPause))
}

// onFailure reduces the limit after a failed request.
func (l *Limiter) onFailure(now time.Time, r Result) {
	if r.AdmittedAt.Before(l.resultsValidFrom) {
		return
	}
	l.reduceLimit(now, errorFactor, l.limit)
}

// onConnectionRefused pauses admission and applies the cold limit, because a
// backend server that accepts no connections is cold when it accepts them again.
func (l *Limiter) onConnectionRefused(now time.Time) {
	l.consecutiveRefusals++
	l.pause(now, l.consecutiveRefusals)
	l.applyColdLimit(now)
}

// onRestartDetected counts a restart that was inferred from request results
// rather than reported, and applies the cold limit.
func (l *Limiter) onRestartDetected(now time.Time) {
	l.detectedRestarts++
	l.applyColdLimit(now)
}
