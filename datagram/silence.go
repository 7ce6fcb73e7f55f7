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
	// pingInterval is the least time between two questions to one agent.
	pingInterval = time.Second
	// silenceLinger is after how long an agent that was not asked again is
	// forgotten.
	silenceLinger = 10 * time.Second
)

// silences tells which agents of hosts that are no longer described still live.
// Descriptions lapse while the store is away, so that the list alone does not
// show that a host has ended.
type silences map[[4]byte]*silence

type silence struct {
	// since is when the first of the questions that were left unanswered was
	// sent, asked when the latest was.
	since, asked time.Duration
	answered     bool
}

// ask reports whether the agent is to be asked now for a sign of life.
func (s silences) ask(agent [4]byte, now time.Duration) bool {
	q := s[agent]
	switch {
	case q == nil:
		s[agent] = &silence{since: now, asked: now}
		return true
	case now-q.asked < pingInterval:
		return false
	case q.answered:
		q.since, q.answered = now, false
	}
	q.asked = now
	return true
}

// heard notes a sign of life.
func (s silences) heard(agent [4]byte) {
	if q := s[agent]; q != nil {
		q.answered = true
	}
}

// gone reports whether the agent has left a question unanswered for so long
// that it is taken to have ended.
func (s silences) gone(agent [4]byte, now time.Duration) bool {
	q := s[agent]
	return q != nil && !q.answered && now-q.since >= silentAfter
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
