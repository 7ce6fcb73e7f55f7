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
	// pingCopies is how many frames ask for a sign of life: one may be lost.
	pingCopies = 2
	// pingInterval is the time between pings to an agent that is silent, and
	// pingAgainAfter how long a sign of life counts.
	pingInterval   = time.Second
	pingAgainAfter = 300 * time.Millisecond
	// silenceLinger is after how long an agent that was not asked again is
	// forgotten.
	silenceLinger = 10 * time.Second
)

// silences tells which agents of hosts that are no longer described still live.
// Descriptions lapse while the store is away, so that the list alone does not
// show that a host has ended.
type silences map[[4]byte]*silence

type silence struct {
	// since is when the first ping was sent that has not been answered, asked when
	// the latest was, and heard when the agent last gave a sign of life.
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
		q = &silence{heard: -pingAgainAfter}
		s[agent] = q
	}
	return q
}

// ping asks an agent for a sign of life, unless it was asked lately.
func (s silences) ping(self flow.Endpoint, agent [4]byte, now time.Duration, out Output) {
	q := s.get(agent)
	switch {
	case q.ended != 0, q.unanswered && now-q.asked < pingInterval, !q.unanswered && now-q.heard < pingAgainAfter:
		return
	case !q.unanswered:
		q.since, q.unanswered = now, true
	}
	q.asked = now
	f := flow.Frame{Kind: flow.Ping, Owner: self.Addr}
	for range pingCopies {
		out.ToNode(flow.Endpoint{Addr: agent, Port: self.Port}, &f, nil)
	}
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
// is no longer described and it leaves pings unanswered.
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

// answerPing gives a sign of life.
func (a *Agent) answerPing(asker [4]byte, out Output) {
	f := a.report(flow.Load, flow.Key{})
	out.ToNode(a.endpoint(asker), &f, nil)
}

// HostsRemoved asks the agents of hosts whose descriptions went away for a sign
// of life, so that the flows of those that have ended are given up at once.
func (a *Agent) HostsRemoved(now time.Duration, old, c *catalog.Catalog, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, agent := range old.Agents {
		if c.Hosts[agent] == nil && agent != a.config.Self.Addr {
			a.silences.ping(a.config.Self, agent, now, out)
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
			a.tellClosed(fl, key, out)
		}
	}
	if c := a.config.Catalog(); c != nil {
		a.tellAgents(c, flow.Ended, out)
	}
}
