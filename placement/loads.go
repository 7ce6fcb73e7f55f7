package placement

import "time"

// UnknownLoad is the load of a host of which nothing recent is known.
const UnknownLoad uint64 = 0

// Loads remembers the loads of second choices as entries told them. Where
// entries are many, few of them know a recent load of a given host; a first
// choice that remembers what any of them told can still compare. It is not
// safe for concurrent use.
type Loads[K comparable] struct {
	maxAge time.Duration
	size   int
	known  map[K]loadAt
}

// loadAt is a load and the time at which it was told.
type loadAt struct {
	load uint64
	at   time.Time
}

// NewLoads returns an empty memory of at most size hosts, which forgets a
// load after maxAge.
func NewLoads[K comparable](maxAge time.Duration, size int) *Loads[K] {
	return &Loads[K]{maxAge: maxAge, size: size, known: make(map[K]loadAt)}
}

// Recent returns the host's load: the one told now, or else the last one
// that is not too old, or UnknownLoad.
func (l *Loads[K]) Recent(now time.Time, host K, told uint64) uint64 {
	if told != UnknownLoad {
		l.remember(now, host, told)
		return told
	}
	last, found := l.known[host]
	if !found || now.Sub(last.at) > l.maxAge {
		return UnknownLoad
	}
	return last.load
}

func (l *Loads[K]) remember(now time.Time, host K, load uint64) {
	if _, found := l.known[host]; !found && len(l.known) >= l.size {
		clear(l.known)
	}
	l.known[host] = loadAt{load: load, at: now}
}

const (
	// catchUpBelow is the part of the mean load below which a host catches
	// up.
	catchUpBelow = 0.75
	// catchUpFactor is by how much its weight is raised meanwhile.
	catchUpFactor = 2
)

// CatchUp returns the factor on the weight of a host with the load, given the
// mean of all. A host far below the mean, such as one that came back, is
// among the choices of more flows until it has caught up.
func CatchUp(load, mean float64) float64 {
	if load < catchUpBelow*mean {
		return catchUpFactor
	}
	return 1
}
