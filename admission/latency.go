package admission

import "time"

type latencyLevel uint8

const (
	latencyNormal latencyLevel = iota
	latencyHigh
	latencyRestart
)

const (
	// latencySamples is the number of samples needed before latency is judged.
	latencySamples = 16
	// recentWeight and baselineWeight are the weights of a sample in the two
	// moving averages.
	recentWeight   = 0.25
	baselineWeight = 0.005
	// highRatio and restartRatio are the ratios of recent to baseline latency
	// from which on the limit is reduced or a restart is assumed.
	highRatio    = 3
	restartRatio = 10
	// latencyFloor is the recent latency below which the ratio is ignored.
	latencyFloor = 5 * time.Millisecond
)

// latencyTracker compares the recent latency with a baseline. Both are
// exponential moving averages in nanoseconds. The baseline adapts slowly, so
// that it takes a few hundred requests to follow a lasting change in workload.
type latencyTracker struct {
	samples  int
	recent   float64
	baseline float64
}

// reset discards the recent latency and keeps the baseline.
func (l *latencyTracker) reset() {
	l.samples = 0
	l.recent = l.baseline
}

// observe records a sample and compares the recent latency with the baseline.
// Samples that are not positive are ignored.
func (l *latencyTracker) observe(sample time.Duration) latencyLevel {
	if sample <= 0 {
		return latencyNormal
	}
	value := float64(sample)
	if l.baseline == 0 {
		l.baseline, l.recent = value, value
	}
	l.samples++
	l.recent += recentWeight * (value - l.recent)
	l.baseline += l.baselineSampleWeight() * (value - l.baseline)
	if l.samples < latencySamples || l.recent < float64(latencyFloor) {
		return latencyNormal
	}
	return l.classify()
}

// baselineSampleWeight returns the weight of a sample in the baseline. The
// first samples weigh more, so that the average settles quickly.
func (l *latencyTracker) baselineSampleWeight() float64 {
	return max(baselineWeight, 1/float64(l.samples+1)/2)
}

// classify returns the level of the recent latency. It resets a high recent
// latency to the baseline, so that one rise is reported only once.
func (l *latencyTracker) classify() latencyLevel {
	ratio := l.recent / l.baseline
	switch {
	case ratio >= restartRatio:
		l.recent = l.baseline
		return latencyRestart
	case ratio >= highRatio:
		l.recent = l.baseline
		return latencyHigh
	default:
		return latencyNormal
	}
}
