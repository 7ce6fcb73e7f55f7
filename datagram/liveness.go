package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

const (
	// pingTimeout is how long an agent whose host is no longer listed may
	// leave pings unanswered before it is taken to have ended. It covers many
	// round trips between zones and is shorter than the requesters'
	// retransmission interval.
	pingTimeout = 150 * time.Millisecond
	// pingCopies is the number of frames sent per ping, since one may be lost.
	pingCopies = 2
	// pingInterval is the time between pings to an agent that does not answer.
	// livenessTTL is how long a frame from an agent counts as proof that it is
	// running.
	pingInterval = time.Second
	livenessTTL  = 300 * time.Millisecond
	// livenessRetention is how long the state of an agent is retained after
	// the last ping or its report that its host has ended.
	livenessRetention = 10 * time.Second
)

// livenessTable tracks which agents of unlisted hosts are still running.
// Catalog entries lapse while the store is unavailable, so a missing entry
// alone does not show that a host has ended.
type livenessTable map[[4]byte]*agentLiveness

// agentLiveness is what is known about whether one agent is running.
type agentLiveness struct {
	// unansweredSince is when the first unanswered ping was sent, lastPingAt
	// when the latest ping was sent, and lastHeardAt when the agent last sent a
	// frame.
	unansweredSince, lastPingAt, lastHeardAt time.Duration
	unanswered                               bool
	// endedAt is when the agent reported that its host has ended, or 0.
	// endedStart is the start time of the agent process that reported it.
	endedAt    time.Duration
	endedStart uint32
}

// get returns the state of an agent. It adds one that counts as not heard
// recently if there is none.
func (t livenessTable) get(agent [4]byte) *agentLiveness {
	state := t[agent]
	if state == nil {
		state = &agentLiveness{lastHeardAt: -livenessTTL}
		t[agent] = state
	}
	return state
}

// ping sends an agent a liveness check, unless one was sent or answered
// recently or the agent's host has ended.
func (t livenessTable) ping(self flow.Endpoint, agent [4]byte, now time.Duration, out Output) {
	state := t.get(agent)
	switch {
	case state.endedAt != 0, state.unanswered && now-state.lastPingAt < pingInterval, !state.unanswered && now-state.lastHeardAt < livenessTTL:
		return
	case !state.unanswered:
		state.unansweredSince, state.unanswered = now, true
	}
	state.lastPingAt = now
	f := flow.Frame{Kind: flow.Ping, Sender: self.Addr}
	for range pingCopies {
		out.ToNode(flow.Endpoint{Addr: agent, Port: self.Port}, &f, nil)
	}
}

// recordFrame records a frame from an agent as proof that it is running,
// unless it is from a process that has reported the end of its host.
func (t livenessTable) recordFrame(f *flow.Frame, now time.Duration) {
	state := t[f.Sender]
	if state == nil || state.endedAt != 0 && f.StartedAt <= state.endedStart {
		return
	}
	state.lastHeardAt, state.unanswered, state.endedAt = now, false, 0
}

// recordHostEnded records an agent's report that its host has ended.
func (t livenessTable) recordHostEnded(f *flow.Frame, now time.Duration) {
	state := t.get(f.Sender)
	state.endedAt, state.endedStart = now, f.StartedAt
}

// hasEnded reports whether the agent has ended: either it reported the end of
// its host, or its host is no longer listed and it leaves pings unanswered.
func (t livenessTable) hasEnded(c *catalog.Catalog, agent [4]byte, now time.Duration) bool {
	state := t[agent]
	if state == nil {
		return false
	}
	return state.endedAt != 0 || c.Hosts[agent] == nil && state.unanswered && now-state.unansweredSince >= pingTimeout
}

// expire removes agents whose hosts are listed again and agents that were not
// pinged for a long time.
func (t livenessTable) expire(c *catalog.Catalog, now time.Duration) {
	for agent, state := range t {
		if now-max(state.lastPingAt, state.endedAt) > livenessRetention || c.Hosts[agent] != nil && state.endedAt == 0 {
			delete(t, agent)
		}
	}
}

// answerPing answers a liveness check with the agent's load.
func (a *Agent) answerPing(to [4]byte, out Output) {
	f := a.newReport(flow.Load, flow.Key{})
	out.ToNode(a.endpoint(to), &f, nil)
}

// HostsRemoved pings the agents of hosts that are no longer listed, so that
// the flows of those that have ended can be reset without delay.
func (a *Agent) HostsRemoved(now time.Duration, old, c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, agent := range old.Agents {
		if c.Hosts[agent] == nil && agent != a.config.Self.Addr {
			a.liveness.ping(a.config.Self, agent, now, out)
		}
	}
}

// HostEnded reports the end of the host to the other agents and to the entries
// of open flows, so that its flows can be reset before its catalog entry is
// removed.
func (a *Agent) HostEnded(out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, fl := range a.flows {
		if fl.state != flowClosed {
			a.sendClosed(fl, key, out)
		}
	}
	if c := a.config.Catalog(); c != nil {
		a.broadcast(c, flow.HostEnded, out)
	}
}
