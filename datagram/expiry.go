package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// Expire removes idle flows and expired records, trial deliveries and
// searches.
func (a *Agent) Expire(now time.Duration) {
	idleTimeout := time.Minute
	c := a.config.Catalog()
	if c != nil {
		idleTimeout = c.Config.IdleTimeout + idleMargin
		a.mu.Lock()
		a.loads.Retain(c, now)
		a.liveness.expire(c, now)
		a.lookups.expire(now)
		a.scheduler.discardRoutes(c)
		a.mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pause.observe(now)
	for key, fl := range a.flows {
		idleFor := now - fl.lastSeenAt
		a.checkOverdue(now, fl, key)
		a.abandonRequest(now, fl, key)
		if fl.state == flowClosed {
			// The host answers late packets of a closed flow, so the flow is
			// retained.
			idleFor -= a.config.FlowLifetime
		}
		if idleFor > idleTimeout || fl.state == flowOpening && idleFor > pendingFlowTimeout {
			a.removeFlow(now, key, fl)
		}
	}
	a.updateFailureShare(now, flow.Key{})
	a.expireAnnouncements(now)
	a.questions.expire(now)
	a.serviceHistory.Expire(a.config.FlowLifetime, now)
	for key, r := range a.records {
		if now-r.updatedAt > a.config.FlowLifetime+recordRetention {
			delete(a.records, key)
		}
	}
	for key, t := range a.trials {
		if now-t.firstSentAt > a.config.FlowLifetime {
			delete(a.trials, key)
		}
	}
	for key, b := range a.budgets {
		if len(b.Recent(a.config.StrayWindow, now)) == 0 {
			delete(a.budgets, key)
		}
	}
	for key, s := range a.searches {
		if now-s.startedAt > searchRetention {
			delete(a.searches, key)
		}
	}
}
