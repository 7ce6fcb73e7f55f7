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
	// Refused means that the backend server took no connection.
	Refused
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
	// shedHold is the first wait after a shed at the least limit. It doubles
	// up to maxShedHold.
	shedHold     = 25 * time.Millisecond
	maxShedHold  = time.Second
	maxHoldShift = 10
)

// learn changes the limit by what the result shows.
func (l *Limiter) learn(now time.Time, r Result) {
	switch r.Outcome {
	case Succeeded:
		l.succeeded(now, r)
	case Shed:
		l.shed(now, r)
	case Failed:
		l.failed(now, r)
	case Refused:
		l.refuse(now)
	case Abandoned:
	}
}

func (l *Limiter) succeeded(now time.Time, r Result) {
	if l.refusals > 0 {
		l.refusals = 0
		l.restarted(now)
		return
	}
	if r.Began.Before(l.cutAt) {
		return
	}
	l.sheds = 0
	switch l.latency.observe(r.Latency) {
	case latencyRestart:
		l.restarted(now)
	case latencyHigh:
		l.cut(now, errorFactor, l.allowed)
	default:
		l.prove(now)
	}
}

// prove notes that the limit in force was borne. The time to the next rise
// counts from the first proof, so that a long idle time raises nothing.
func (l *Limiter) prove(now time.Time) {
	if l.proven {
		return
	}
	l.proven = true
	l.raisedAt = later(l.raisedAt, now)
}

// shed cuts the limit for the first shed and takes a second one soon after,
// of a request begun since, for a restart.
func (l *Limiter) shed(now time.Time, r Result) {
	if r.Began.Before(l.cutAt) {
		return
	}
	l.sheds++
	if l.allowed <= 1 {
		l.hold(now, l.sheds)
	}
	again := !l.shedAt.IsZero() && now.Sub(l.shedAt) <= restartWindow
	l.shedAt = now
	level := min(l.allowed, max(1, l.inService))
	l.cut(now, shedFactor, level)
	if again {
		l.restarted(now)
		return
	}
	l.ceiling = max(level, l.allowed+1)
}

// hold admits nothing for a while, longer with each refusal in a row.
func (l *Limiter) hold(now time.Time, inRow int) {
	wait := shedHold << min(inRow, maxHoldShift)
	l.holdUntil = now.Add(min(wait, maxShedHold))
}

func (l *Limiter) failed(now time.Time, r Result) {
	if r.Began.Before(l.cutAt) {
		return
	}
	l.cut(now, errorFactor, l.allowed)
}

// refuse holds the host to its cold limit: a backend server that takes no
// connection is cold once it does.
func (l *Limiter) refuse(now time.Time) {
	l.refusals++
	l.hold(now, l.refusals)
	l.cool(now)
}

// restarted makes the host cold after signs of a restart that nobody
// announced.
func (l *Limiter) restarted(now time.Time) {
	l.restarts++
	l.cool(now)
}
