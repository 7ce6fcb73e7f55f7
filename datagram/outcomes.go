package datagram

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// overdueFactor is the multiple of the route's target latency after which
	// an unanswered request counts as failed. maxOverdueAfter is the upper
	// limit of that time.
	overdueFactor   = 3
	maxOverdueAfter = 2 * time.Second
)

// observeOutcome counts a request that the host has answered or, by a reset of
// the flow, failed. An overdue request has already been counted.
func (a *Agent) observeOutcome(now time.Duration, fl *ownedFlow, key flow.Key, failed bool) {
	if fl.requestPending && !fl.waiting && !fl.overdue {
		a.failureTracker.Observe(failed, now)
		a.updateFailureShare(now, key)
	}
}

// checkOverdue counts a flow's pending request as failed once it is overdue.
func (a *Agent) checkOverdue(now time.Duration, fl *ownedFlow, key flow.Key) {
	sentAt := fl.releasedAt
	if fl.waiting {
		// The host is at fault only if it has answered nothing since the request arrived.
		if a.lastAnswerAt > fl.requestedAt {
			return
		}
		sentAt = fl.requestedAt
	}
	if !fl.requestPending || fl.overdue || a.pause.since(now, sentAt) <= a.overdueAfter(key) {
		return
	}
	fl.overdue = true
	a.failureTracker.Observe(true, now)
	a.updateFailureShare(now, key)
}

// overdueAfter returns the time after which an unanswered request counts as
// failed.
func (a *Agent) overdueAfter(key flow.Key) time.Duration {
	if c := a.config.Catalog(); c != nil {
		if route := c.Config.Routes[key.Destination]; route != nil && route.TargetLatency > 0 {
			return min(maxOverdueAfter, overdueFactor*route.TargetLatency)
		}
	}
	return maxOverdueAfter
}

// updateFailureShare recomputes the share of requests that the host fails, and
// logs when the host starts or stops counting as failing.
func (a *Agent) updateFailureShare(now time.Duration, key flow.Key) {
	before := a.failureShare
	a.failureShare = uint8(a.failureTracker.FailureShare(now) * math.MaxUint8)
	switch {
	case before == 0 && a.failureShare > 0:
		a.config.Events.Log(EventHostFailing, key, "percent", int(a.failureShare)*100/math.MaxUint8, "busy", a.unansweredRequests, "flows", a.openFlows)
	case before > 0 && a.failureShare == 0:
		a.config.Events.Log(EventHostRecovered, key, "busy", a.unansweredRequests, "flows", a.openFlows)
	}
}
