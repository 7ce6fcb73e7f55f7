package steering

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
)

const (
	// outcomeHalfLife is the time after which the weight of an outcome has
	// halved. The decay makes a host that gets few flows eligible again some time
	// after its failures.
	outcomeHalfLife = 4 * time.Second
	// minOutcomes is the total weight of outcomes, each 1 before its decay, that
	// is needed to judge a host.
	minOutcomes = 6
	// failingThreshold and recoveryThreshold are the fractions of failed requests
	// from which on a host counts as failing, and below which it no longer does.
	// The hysteresis keeps the state from changing with each request.
	failingThreshold  = 0.1
	recoveryThreshold = 0.04
	// failingPenalty is the cost added for a host all of whose requests fail. It
	// is scaled by the fraction that fails.
	failingPenalty = 20
)

// FailureTracker tracks the fraction of a host's requests that fail. It detects
// hosts that fail part of their requests although their health check succeeds.
// Such a host appears idle and would otherwise attract flows. It is not safe for
// concurrent use.
type FailureTracker struct {
	failed, total float64
	decayedAt     time.Duration
	failing       bool
}

// Observe records the outcome of a request.
func (t *FailureTracker) Observe(failed bool, now time.Duration) {
	t.decay(now)
	t.total++
	if failed {
		t.failed++
	}
}

// decay reduces the weights of the recorded outcomes to those at the given
// time.
func (t *FailureTracker) decay(now time.Duration) {
	factor := halfLifeDecay(now-t.decayedAt, outcomeHalfLife)
	t.failed, t.total, t.decayedAt = t.failed*factor, t.total*factor, now
}

// FailureShare returns the fraction of requests that fail, from 0 to 1, or 0 for a
// host that does not count as failing.
func (t *FailureTracker) FailureShare(now time.Duration) float64 {
	t.decay(now)
	if t.total < minOutcomes {
		t.failing = false
		return 0
	}
	share := t.failed / t.total
	t.failing = share >= failingThreshold || t.failing && share >= recoveryThreshold
	if !t.failing {
		return 0
	}
	return share
}

// SetFailureShare records the fraction of failing requests that a host reports
// about itself, from 0 to 1.
func (t *LoadTable) SetFailureShare(agent [4]byte, share float64) {
	t.getOrCreate(agent).failureShare = share
}

// avoidFailing reports whether the failing hosts of a service are to be avoided.
// This is the case while no more than half of the usable hosts fail. If most of
// them fail, the cause is not in single hosts, and avoiding them would overload
// the rest.
func (t *LoadTable) avoidFailing(c *catalog.Catalog, s *catalog.Service, now time.Duration) bool {
	failing, usable := 0, 0
	for _, h := range s.Hosts {
		if !c.Usable(h) {
			continue
		}
		usable++
		if load := t.hosts[h.Addr.Addr]; load != nil && load.decayedFailureShare(now) > 0 {
			failing++
		}
	}
	return failing > 0 && 2*failing <= usable
}

// decayedFailureShare returns the last reported fraction of failing requests,
// decayed by the age of the report, so that an entry that no longer sends flows
// to the host eventually tries it again.
func (l *hostLoad) decayedFailureShare(now time.Duration) float64 {
	age := now - l.reportedAt
	if l.failureShare == 0 || age > 2*outcomeHalfLife {
		return 0
	}
	return l.failureShare * halfLifeDecay(age, outcomeHalfLife)
}

// halfLifeDecay returns the factor by which a value has decayed after a time.
func halfLifeDecay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
