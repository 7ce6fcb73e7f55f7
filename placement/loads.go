package placement

import "time"

// UnknownLoad is the load of a host of which nothing recent is known.
const UnknownLoad uint64 = 0

// LoadCache remembers the loads of second choices as entries told them. Where
// entries are many, few of them know a recent load of a given host; a first
// choice that remembers what any of them told can still compare. It is not
// safe for concurrent use.
type LoadCache[K comparable] struct {
	maxAge  time.Duration
	size    int
	samples map[K]loadSample
}

// loadSample is a load and the time at which it was told.
type loadSample struct {
	load uint64
	at   time.Time
}

// NewLoadCache returns an empty memory of at most size hosts, which forgets a
// load after maxAge.
func NewLoadCache[K comparable](maxAge time.Duration, size int) *LoadCache[K] {
	return &LoadCache[K]{maxAge: maxAge, size: size, samples: make(map[K]loadSample)}
}

// Recent returns the host's load: the one told now, or else the last one
// that is not too old, or UnknownLoad.
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
	// catchUpThreshold is the part of the mean load below which a host catches
	// up.
	catchUpThreshold = 0.75
	// catchUpBoost is by how much its weight is raised meanwhile.
	catchUpBoost = 2
)

// CatchUpFactor returns the factor on the weight of a host with the load, given the
// mean of all. A host far below the mean, such as one that came back, is
// among the choices of more flows until it has caught up.
func CatchUpFactor(load, mean float64) float64 {
	if load < catchUpThreshold*mean {
		return catchUpBoost
	}
	return 1
}
