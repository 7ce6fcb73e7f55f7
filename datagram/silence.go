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
	// ended is when the agent said that its host has ended, and 0 otherwise;
	// process is the start of the agent that said so.
	ended   time.Duration
	process uint32
}

func (s silences) get(agent [4]byte) *silence {
	q := s[agent]
	if q == nil {
		q = &silence{heard: -askAgainAfter}
		s[agent] = q
	}
	return q
}

// ask reports whether the agent is to be asked now for a sign of life.
func (s silences) ask(agent [4]byte, now time.Duration) bool {
	q := s.get(agent)
	switch {
	case q.ended != 0:
		return false
	case q.unanswered && now-q.asked < pingInterval, !q.unanswered && now-q.heard < askAgainAfter:
		return false
	case !q.unanswered:
		q.since, q.unanswered = now, true
	}
	q.asked = now
	return true
}

// sign notes a frame from an agent: a sign of life, unless the process has said
// that its host has ended.
func (s silences) sign(f *flow.Frame, now time.Duration) {
	q := s[f.Owner]
	if q == nil || q.ended != 0 && f.Started <= q.process {
		return
	}
	q.heard, q.unanswered, q.ended = now, false, 0
}

// end notes an agent's word that its host has ended.
func (s silences) end(f *flow.Frame, now time.Duration) {
	q := s.get(f.Owner)
	q.ended, q.process = now, f.Started
}

// gone reports whether the agent has ended: by its own word, or since its host
// is no longer described and it leaves questions unanswered.
func (s silences) gone(c *catalog.Catalog, agent [4]byte, now time.Duration) bool {
	q := s[agent]
	if q == nil {
		return false
	}
	return q.ended != 0 || c.Hosts[agent] == nil && q.unanswered && now-q.since >= silentAfter
}

// expire forgets agents that are described again or were not asked for long.
func (s silences) expire(c *catalog.Catalog, now time.Duration) {
	for agent, q := range s {
		if now-max(q.asked, q.ended) > silenceLinger || c.Hosts[agent] != nil && q.ended == 0 {
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

// HostEnded tells the other agents and the entries of open flows that the host
// has ended, so that its flows are given up before its description goes.
func (a *Agent) HostEnded(out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, fl := range a.flows {
		if fl.state != flowClosed && fl.origin != (flow.Endpoint{}) {
			lost := a.report(flow.Closed, key)
			out.ToNode(fl.origin, &lost, nil)
		}
	}
	c := a.config.Catalog()
	if c == nil {
		return
	}
	ended := a.report(flow.Ended, flow.Key{})
	for _, agent := range c.Agents {
		if agent != a.config.Self.Addr {
			out.ToNode(flow.Endpoint{Addr: agent, Port: a.config.Self.Port}, &ended, nil)
		}
	}
}
