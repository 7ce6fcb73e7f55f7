package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

const (
	// silentAfter is after how long without a sign of life an agent is taken to
	// have ended whose host is no longer described: many round trips between
	// zones, and less than a requester waits before it sends a packet again.
	silentAfter = 150 * time.Millisecond
	// pingInterval is the time between questions to an agent that is silent.
	pingInterval = time.Second
	// askAgainAfter is how long a sign of life counts.
	askAgainAfter = 300 * time.Millisecond
	// silenceLinger is after how long an agent that was not asked again is
	// forgotten.
	silenceLinger = 10 * time.Second
)

// silences tells which agents of hosts that are no longer described still live.
// Descriptions lapse while the store is away, so that the list alone does not
// show that a host has ended.
type silences map[[4]byte]*silence

type silence struct {
	// since is when the first question was sent that has not been answered,
	// asked when the latest was, and heard when the agent last gave a sign of
	// life.
	since, asked, heard time.Duration
	unanswered          bool
}

// ask reports whether the agent is to be asked now for a sign of life.
func (s silences) ask(agent [4]byte, now time.Duration) bool {
	q := s[agent]
	if q == nil {
		q = &silence{heard: -askAgainAfter}
		s[agent] = q
	}
	switch {
	case q.unanswered && now-q.asked < pingInterval, !q.unanswered && now-q.heard < askAgainAfter:
		return false
	case !q.unanswered:
		q.since, q.unanswered = now, true
	}
	q.asked = now
	return true
}

// sign notes a sign of life.
func (s silences) sign(agent [4]byte, now time.Duration) {
	if q := s[agent]; q != nil {
		q.heard, q.unanswered = now, false
	}
}

// gone reports whether the agent has left a question unanswered for so long
// that it is taken to have ended.
func (s silences) gone(agent [4]byte, now time.Duration) bool {
	q := s[agent]
	return q != nil && q.unanswered && now-q.since >= silentAfter
}

// expire forgets agents that are described again or were not asked for long.
func (s silences) expire(c *catalog.Catalog, now time.Duration) {
	for agent, q := range s {
		if now-q.asked > silenceLinger || c.Hosts[agent] != nil {
			delete(s, agent)
		}
	}
}

// ping asks an agent for a sign of life.
func ping(self flow.Endpoint, agent [4]byte, out Output) {
	f := flow.Frame{Kind: flow.Ping, Owner: self.Addr}
	out.ToNode(flow.Endpoint{Addr: agent, Port: self.Port}, &f, nil)
}

// answerPing gives a sign of life.
func (a *Agent) answerPing(asker [4]byte, out Output) {
	f := a.report(flow.Load, flow.Key{})
	out.ToNode(flow.Endpoint{Addr: asker, Port: a.config.Self.Port}, &f, nil)
}

// HostsRemoved asks the agents of hosts whose descriptions went away for a sign
// of life, so that the flows of those that have ended are given up at once.
func (a *Agent) HostsRemoved(now time.Duration, old, c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, agent := range old.Agents {
		if c.Hosts[agent] == nil && agent != a.config.Self.Addr && a.silences.ask(agent, now) {
			ping(a.config.Self, agent, out)
		}
	}
}
