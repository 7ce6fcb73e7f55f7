package steering

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
)

const (
	// outcomeHalfLife is after how long an outcome counts half. A host that is
	// given few flows is so tried again once its failures have faded.
	outcomeHalfLife = 4 * time.Second
	// minOutcomes is how many outcomes are needed to judge a host.
	minOutcomes = 6
	// failingThreshold and failingUntil are the shares of failed requests at which a
	// host begins and ceases to count as failing. Hysteresis keeps it from
	// changing with each request.
	failingThreshold  = 0.1
	recoveryThreshold = 0.04
	// failingPenalty is the cost of a host all of whose requests fail.
	failingPenalty = 20
)

// FailureTracker follows the share of a host's requests that fail. It answers a host
// that fails part of its requests although its health check succeeds: it seems
// idle, and would draw flows. It is not safe for concurrent use.
type FailureTracker struct {
	failed, total float64
	decayedAt     time.Duration
	failing       bool
}

// Observe notes the outcome of a request.
func (o *FailureTracker) Observe(failed bool, now time.Duration) {
	o.decay(now)
	o.total++
	if failed {
		o.failed++
	}
}

func (o *FailureTracker) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-o.decayedAt) / float64(outcomeHalfLife))
	o.failed, o.total, o.decayedAt = o.failed*factor, o.total*factor, now
}

// FailureShare returns the share of requests that fail, from 0 to 1, or 0 for a host
// that does not count as failing.
func (o *FailureTracker) FailureShare(now time.Duration) float64 {
	o.decay(now)
	if o.total < minOutcomes {
		o.failing = false
		return 0
	}
	share := o.failed / o.total
	o.failing = share >= failingThreshold || o.failing && share >= recoveryThreshold
	if !o.failing {
		return 0
	}
	return share
}

// SetFailureShare notes what share of its requests a host says that it fails.
func (l *LoadTable) SetFailureShare(agent [4]byte, share float64) {
	l.getOrCreate(agent).FailureShare = share
}

// avoidFailing reports whether the failing hosts of a service are to be avoided:
// while no more than half of the hosts fail. Where most fail, the cause is
// another, and the others would be overloaded.
func (l *LoadTable) avoidFailing(c *catalog.Catalog, s *catalog.Service, now time.Duration) bool {
	failing, usable := 0, 0
	for _, h := range s.Hosts {
		if !c.Usable(h) {
			continue
		}
		usable++
		if load := l.hosts[h.Addr.Addr]; load != nil && load.decayedFailureShare(now) > 0 {
			failing++
		}
	}
	return failing > 0 && 2*failing <= usable
}

// decayedFailureShare returns the share that the host lately said it fails. It fades, so
// that an entry that sends nothing there any more tries it again.
func (l *Load) decayedFailureShare(now time.Duration) float64 {
	age := now - l.ReportedAt
	if l.FailureShare == 0 || age > 2*outcomeHalfLife {
		return 0
	}
	return l.FailureShare * math.Exp2(-float64(age)/float64(outcomeHalfLife))
}
