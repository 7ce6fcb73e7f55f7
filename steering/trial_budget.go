package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/placement"
)

// maxStrayTrials is the number of packets of a flow that may reach hosts which do not hold
// the flow, within a stray window. The platform counts a flow as broken at the third one.
const maxStrayTrials = 2

// strayMargin is added to the stray window, since packets that are sent some time apart may
// arrive closer together.
const strayMargin = 500 * time.Millisecond

// TrialReturnTimeout is the time within which a host returns a packet of a flow that it does
// not hold.
const TrialReturnTimeout = 100 * time.Millisecond

// RouteKnowledge is what a process knows of the configurations that were in force while
// flows were opened.
//
// Load pattern: all processes are killed and start again after a route has moved to another
// service. The hosts of the former service still hold open flows of the route, but nobody
// knows that service. Trying the packets of these flows at all hosts of the new service
// finds nothing, and breaks the flows.
type RouteKnowledge struct {
	// KnownFor is how long the process, or a peer that has told it, has known all
	// configurations, and RunningFor how long the process has run.
	KnownFor, RunningFor time.Duration
	// FlowLifetime is the age up to which flows are open.
	FlowLifetime time.Duration
	// RecoveryTime is how long after a restart of all processes packets are tried at all
	// hosts that may hold their flow. Most open flows send one in this time.
	RecoveryTime time.Duration
}

// LimitsTrials reports whether hosts of services that are not known may hold flows, so that
// the trials of each flow are limited.
func (k RouteKnowledge) LimitsTrials() bool {
	return k.KnownFor < k.FlowLifetime && max(k.KnownFor, k.RunningFor) >= k.RecoveryTime
}

// TrialBudget records at which hosts packets of one flow were tried, by the addresses of
// their agents. It is not safe for concurrent use.
type TrialBudget struct {
	triedAt map[[4]byte]time.Duration
}

// Record records a trial at the host of an agent.
func (b *TrialBudget) Record(agent [4]byte, at time.Duration) {
	if b.triedAt == nil {
		b.triedAt = make(map[[4]byte]time.Duration)
	}
	b.triedAt[agent] = max(b.triedAt[agent], at)
}

// Tried reports whether a packet was tried at the host of the agent within the stray window.
func (b *TrialBudget) Tried(agent [4]byte, window, now time.Duration) bool {
	at, tried := b.triedAt[agent]
	return tried && now-at < window+strayMargin
}

// IsUnreturned reports whether a packet was tried at the host of the agent within the stray
// window, but so long ago that a host which does not hold the flow has returned it.
func (b *TrialBudget) IsUnreturned(agent [4]byte, window, now time.Duration) bool {
	return b.Tried(agent, window, now) && now-b.triedAt[agent] >= TrialReturnTimeout
}

// Left returns at how many further hosts a packet may be tried.
func (b *TrialBudget) Left(window, now time.Duration) int {
	left := maxStrayTrials
	for agent := range b.triedAt {
		if b.Tried(agent, window, now) {
			left--
		}
	}
	return max(0, left)
}

// TrialRank orders the agents at whose hosts packets of the flow with the given hash are
// tried, lowest first.
func TrialRank(hash uint64, agent [4]byte) uint64 {
	return placement.Mix(hash + addrHash(agent))
}
