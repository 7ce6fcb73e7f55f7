package placement

import "time"

// UnknownLoad stands for the load of a host that has no recent report.
const UnknownLoad uint64 = 0

// LoadCache stores the loads of second-choice hosts as reported by entries.
// With many entries, only few of them know a recent load of a given host. A
// first-choice host that caches the reports of all entries can still compare
// its own load with that of the second choice. It is not safe for concurrent
// use.
type LoadCache[K comparable] struct {
	maxAge  time.Duration
	size    int
	samples map[K]loadSample
}

// loadSample is a load and the time at which it was reported.
type loadSample struct {
	load uint64
	at   time.Time
}

// NewLoadCache returns an empty cache for at most size hosts that ignores loads
// older than maxAge. A new host that exceeds the size clears the whole cache.
func NewLoadCache[K comparable](maxAge time.Duration, size int) *LoadCache[K] {
	return &LoadCache[K]{maxAge: maxAge, size: size, samples: make(map[K]loadSample)}
}

// Recent returns the reported load and caches it. If reported is UnknownLoad, it
// returns the cached load of the host, or UnknownLoad if there is none or it is
// too old.
func (l *LoadCache[K]) Recent(now time.Time, host K, reported uint64) uint64 {
	if reported != UnknownLoad {
		l.store(now, host, reported)
		return reported
	}
	last, found := l.samples[host]
	if !found || now.Sub(last.at) > l.maxAge {
		return UnknownLoad
	}
	return last.load
}

func (l *LoadCache[K]) store(now time.Time, host K, load uint64) {
	if _, found := l.samples[host]; !found && len(l.samples) >= l.size {
		clear(l.samples)
	}
	l.samples[host] = loadSample{load: load, at: now}
}

const (
	// catchUpThreshold is the fraction of the mean load below which a host
	// gets a higher weight.
	catchUpThreshold = 0.75
	// catchUpBoost is the factor by which the weight of such a host is raised.
	catchUpBoost = 2
)

// CatchUpFactor returns the factor to apply to the weight of a host with the
// given load, where mean is the mean load of all hosts. A host far below the
// mean, such as one that has just returned, is a candidate for more flows until
// its load approaches the mean.
func CatchUpFactor(load, mean float64) float64 {
	if load < catchUpThreshold*mean {
		return catchUpBoost
	}
	return 1
}
