package datagram

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// overdueTargets is after how many times the route's target latency a request
	// without an answer counts as failed, and overdueMost the longest such time.
	overdueTargets = 3
	overdueMost    = 2 * time.Second
)

// observeOutcome counts a request that the host has answered, or failed by a
// reset of its flow. One that was overdue has been counted.
func (a *Agent) observeOutcome(now time.Duration, fl *ownedFlow, key flow.Key, failed bool) {
	if fl.busy && !fl.overdue {
		a.outcomes.Observe(failed, now)
		a.judgeHost(now, key)
	}
}

// checkOverdue counts a flow's request as failed once it is overdue.
func (a *Agent) checkOverdue(now time.Duration, fl *ownedFlow, key flow.Key) {
	if !fl.busy || fl.overdue || now-fl.asked <= a.overdueAfter(key) {
		return
	}
	fl.overdue = true
	a.outcomes.Observe(true, now)
	a.judgeHost(now, key)
}

// overdueAfter returns after how long a request counts as failed.
func (a *Agent) overdueAfter(key flow.Key) time.Duration {
	if c := a.config.Catalog(); c != nil {
		if route := c.Config.Routes[key.Service]; route != nil && route.TargetLatency > 0 {
			return min(overdueMost, overdueTargets*route.TargetLatency)
		}
	}
	return overdueMost
}

// judgeHost works out which share of its requests the host fails, and logs when
// it begins or ceases to count as failing.
func (a *Agent) judgeHost(now time.Duration, key flow.Key) {
	before := a.failing
	a.failing = uint8(a.outcomes.FailureShare(now) * math.MaxUint8)
	switch {
	case before == 0 && a.failing > 0:
		a.config.Events.Note(EventHostFailing, key, "percent", int(a.failing)*100/math.MaxUint8, "busy", a.busy, "flows", a.open)
	case before > 0 && a.failing == 0:
		a.config.Events.Note(EventHostWell, key, "busy", a.busy, "flows", a.open)
	}
}
