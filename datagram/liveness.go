package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

const (
	// pingTimeout is after how long without a sign of life an agent is taken to
	// have ended whose host is no longer described: many round trips between
	// zones, and less than a requester waits before it sends a packet again.
	pingTimeout = 150 * time.Millisecond
	// pingCopies is how many frames ask for a sign of life: one may be lost.
	pingCopies = 2
	// pingInterval is the time between pings to an agent that is silent, and
	// pingAgainAfter how long a sign of life counts.
	pingInterval = time.Second
	livenessTTL  = 300 * time.Millisecond
	// livenessRetention is after how long an agent that was not asked again is
	// forgotten.
	livenessRetention = 10 * time.Second
)

// livenessTable tells which agents of hosts that are no longer described still live.
// Descriptions lapse while the store is away, so that the list alone does not
// show that a host has ended.
type livenessTable map[[4]byte]*agentLiveness

type agentLiveness struct {
	// unansweredSince is when the first ping was sent that has not been answered, lastPing when
	// the latest was, and lastHeard when the agent last gave a sign of life.
	unansweredSince, lastPing, lastHeard time.Duration
	unanswered                           bool
	// endedAt is when the agent said that its host has endedAt, and 0 otherwise;
	// process is the start of the agent that said so.
	endedAt    time.Duration
	endedStart uint32
}

func (s livenessTable) get(agent [4]byte) *agentLiveness {
	q := s[agent]
	if q == nil {
		q = &agentLiveness{lastHeard: -livenessTTL}
		s[agent] = q
	}
	return q
}

// ping asks an agent for a sign of life, unless it was asked lately.
func (s livenessTable) ping(self flow.Endpoint, agent [4]byte, now time.Duration, out Output) {
	q := s.get(agent)
	switch {
	case q.endedAt != 0, q.unanswered && now-q.lastPing < pingInterval, !q.unanswered && now-q.lastHeard < livenessTTL:
		return
	case !q.unanswered:
		q.unansweredSince, q.unanswered = now, true
	}
	q.lastPing = now
	f := flow.Frame{Kind: flow.Ping, Owner: self.Addr}
	for range pingCopies {
		out.ToNode(flow.Endpoint{Addr: agent, Port: self.Port}, &f, nil)
	}
}

// recordFrame notes a frame from an agent: a recordFrame of life, unless the process has said
// that its host has ended.
func (s livenessTable) recordFrame(f *flow.Frame, now time.Duration) {
	q := s[f.Owner]
	if q == nil || q.endedAt != 0 && f.Started <= q.endedStart {
		return
	}
	q.lastHeard, q.unanswered, q.endedAt = now, false, 0
}

// recordHostEnded notes an agent's word that its host has ended.
func (s livenessTable) recordHostEnded(f *flow.Frame, now time.Duration) {
	q := s.get(f.Owner)
	q.endedAt, q.endedStart = now, f.Started
}

// hasEnded reports whether the agent has ended: by its own word, or since its host
// is no longer described and it leaves pings unanswered.
func (s livenessTable) hasEnded(c *catalog.Catalog, agent [4]byte, now time.Duration) bool {
	q := s[agent]
	if q == nil {
		return false
	}
	return q.endedAt != 0 || c.Hosts[agent] == nil && q.unanswered && now-q.unansweredSince >= pingTimeout
}

// expire forgets agents that are described again or were not asked for long.
func (s livenessTable) expire(c *catalog.Catalog, now time.Duration) {
	for agent, q := range s {
		if now-max(q.lastPing, q.endedAt) > livenessRetention || c.Hosts[agent] != nil && q.endedAt == 0 {
			delete(s, agent)
		}
	}
}

// answerPing gives a sign of life.
func (a *Agent) answerPing(to [4]byte, out Output) {
	f := a.newReport(flow.Load, flow.Key{})
	out.ToNode(a.endpoint(to), &f, nil)
}

// HostsRemoved asks the agents of hosts whose descriptions went away for a sign
// of life, so that the flows of those that have ended are given up at once.
func (a *Agent) HostsRemoved(now time.Duration, old, c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, agent := range old.Agents {
		if c.Hosts[agent] == nil && agent != a.config.Self.Addr {
			a.liveness.ping(a.config.Self, agent, now, out)
		}
	}
}

// HostEnded tells the other agents and the entries of open flows that the host
// has ended, so that its flows are given up before its description goes.
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
