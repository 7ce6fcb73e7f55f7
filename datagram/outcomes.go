package datagram

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// overdueFactor is after how many times the route's target latency a request
	// without an answer counts as failed, and overdueMost the longest such time.
	overdueFactor   = 3
	maxOverdueAfter = 2 * time.Second
)

// observeOutcome counts a request that the host has answered, or failed by a
// reset of its flow. One that was overdue has been counted.
func (a *Agent) observeOutcome(now time.Duration, fl *ownedFlow, key flow.Key, failed bool) {
	if fl.requestPending && !fl.overdue {
		a.outcomes.Observe(failed, now)
		a.updateFailedShare(now, key)
	}
}

// checkOverdue counts a flow's request as failed once it is overdue.
func (a *Agent) checkOverdue(now time.Duration, fl *ownedFlow, key flow.Key) {
	if !fl.requestPending || fl.overdue || now-fl.requestedAt <= a.overdueAfter(key) {
		return
	}
	fl.overdue = true
	a.outcomes.Observe(true, now)
	a.updateFailedShare(now, key)
}

// overdueAfter returns after how long a request counts as failed.
func (a *Agent) overdueAfter(key flow.Key) time.Duration {
	if c := a.config.Catalog(); c != nil {
		if route := c.Config.Routes[key.Service]; route != nil && route.TargetLatency > 0 {
			return min(maxOverdueAfter, overdueFactor*route.TargetLatency)
		}
	}
	return maxOverdueAfter
}

// updateFailedShare works out which share of its requests the host fails, and logs when
// it begins or ceases to count as failing.
func (a *Agent) updateFailedShare(now time.Duration, key flow.Key) {
	before := a.failedShare
	a.failedShare = uint8(a.outcomes.Share(now) * math.MaxUint8)
	switch {
	case before == 0 && a.failedShare > 0:
		a.config.Events.Log(EventHostFailing, key, "percent", int(a.failedShare)*100/math.MaxUint8, "busy", a.requestsInService, "flows", a.openFlows)
	case before > 0 && a.failedShare == 0:
		a.config.Events.Log(EventHostRecovered, key, "busy", a.requestsInService, "flows", a.openFlows)
	}
}
