package steering

import (
	"bytes"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/placement"
)

// MaxStrayTrials is the number of packets of a flow that may reach hosts which do not hold
// the flow, within a stray window. The platform counts a flow as broken at the third one.
const MaxStrayTrials = 2

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

// KnowsTrials reports whether the process knows which packets of a flow were tried within a stray
// window, so that it may try further ones while trials are limited.
//
// Load pattern: agents are restarted one after the other, while flows of a former service that
// nobody knows are searched for. An agent that starts has forgotten the trials of its searches
// and those at its host, and the other keeper of a flow hears of them from nobody else.
func (k RouteKnowledge) KnowsTrials(window time.Duration) bool {
	// Trials in the recovery time after a restart of all processes are not limited.
	startedWithOthers := k.KnownFor-k.RunningFor <= k.RecoveryTime
	return startedWithOthers || k.RunningFor >= window+strayMargin
}

// TrialBudget records at which hosts packets of one flow were tried, by the addresses of
// their agents. It is not safe for concurrent use.
type TrialBudget struct {
	trials map[[4]byte]hostTrial
}

// hostTrial holds when the last packet was tried at a host, and how many were.
type hostTrial struct {
	at      time.Duration
	packets int
}

// Record records the trial of a packet at the host of an agent.
func (b *TrialBudget) Record(agent [4]byte, window, now time.Duration) {
	packets := 1
	if b.Tried(agent, window, now) {
		packets += b.trials[agent].packets
	}
	b.set(agent, hostTrial{at: now, packets: packets})
}

// Report records what an agent reports: the number of packets that were tried at its host, and
// when the last one was.
func (b *TrialBudget) Report(agent [4]byte, packets int, at time.Duration) {
	known, ok := b.trials[agent]
	if !ok {
		known.at = at
	}
	b.set(agent, hostTrial{at: max(at, known.at), packets: max(packets, known.packets)})
}

func (b *TrialBudget) set(agent [4]byte, t hostTrial) {
	if b.trials == nil {
		b.trials = make(map[[4]byte]hostTrial)
	}
	b.trials[agent] = t
}

// Tried reports whether a packet was tried at the host of the agent within the stray window.
func (b *TrialBudget) Tried(agent [4]byte, window, now time.Duration) bool {
	t, tried := b.trials[agent]
	return tried && now-t.at < window+strayMargin
}

// IsUnreturned reports whether a packet was tried at the host of the agent within the stray
// window, but so long ago that a host which does not hold the flow has returned it.
func (b *TrialBudget) IsUnreturned(agent [4]byte, window, now time.Duration) bool {
	return b.Tried(agent, window, now) && now-b.trials[agent].at >= TrialReturnTimeout
}

// HostTrials is the trials of packets of one flow at a host.
type HostTrials struct {
	Agent   [4]byte
	Packets int
	// Age is the time since the last of them.
	Age time.Duration
}

// Recent returns the trials within the stray window, sorted by agent.
func (b *TrialBudget) Recent(window, now time.Duration) []HostTrials {
	var recent []HostTrials
	for agent, t := range b.trials {
		if b.Tried(agent, window, now) {
			recent = append(recent, HostTrials{Agent: agent, Packets: t.packets, Age: max(0, now-t.at)})
		}
	}
	slices.SortFunc(recent, func(x, y HostTrials) int { return bytes.Compare(x.Agent[:], y.Agent[:]) })
	return recent
}

// Left returns how many further packets may be tried.
func (b *TrialBudget) Left(window, now time.Duration) int {
	left := MaxStrayTrials
	for agent, t := range b.trials {
		if b.Tried(agent, window, now) {
			left -= t.packets
		}
	}
	return max(0, left)
}

// TrialRank orders the agents at whose hosts packets of the flow with the given hash are
// tried, lowest first.
func TrialRank(hash uint64, agent [4]byte) uint64 {
	return placement.Mix(hash + addrHash(agent))
}
