package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

// tickEntries checks all entries for silent agents and returns the packets that
// requesters received.
func (c *cluster) tickEntries(rounds int) []flow.Packet {
	c.toRequester = nil
	for range rounds {
		c.now += 100 * time.Millisecond
		for a, e := range c.entries {
			e.Tick(c.now, &clusterOutput{c, a})
		}
		c.deliverAll()
	}
	return c.toRequester
}

// Guards against requests on the flows of a machine that has lost power timing out,
// one after the other, until its description lapses.
func TestFlowsOfASilentAgentAreResetWhileItsHostIsListed(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.tickEntries(1)
	c.isolated[owner] = true
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	must.Len(t, 0, c.tickEntries(2))
	must.Len(t, 0, flows[0].send(ack, 777, 50), must.Sprint("a copy of the request"))
	resets := c.tickEntries(5)
	must.Len(t, len(flows), resets, must.Sprint("all flows of the agent, idle ones included"))
	for _, p := range resets {
		must.True(t, p.Rst)
	}
	for _, r := range flows {
		must.NotEq(t, owner, c.requester(r.endpoint.Port+1000, 1).open())
	}
}

// Guards against flows of a host being given up while only its agent is replaced.
func TestFlowsOfAStoppingAgentAreKept(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.tickEntries(1)
	c.agents[owner].Stopping(&clusterOutput{c, owner})
	c.deliverAll()
	c.isolated[owner] = true
	for range 5 {
		must.Len(t, 0, flows[0].send(ack, 777, 50))
		must.Len(t, 0, c.tickEntries(4))
	}
	c.isolated[owner] = false
	c.startAgent(owner[3], true)
	for _, r := range flows {
		r.requireServed()
	}
}

// Guards against searches that ask every agent again with each copy of a packet.
func TestASearchAsksEachAgentOnce(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	clear(c.hosts[r.open()].initialSeqs)
	c.restartAll()
	for range 4 {
		c.now += 400 * time.Millisecond
		must.Len(t, 0, r.send(ack, 777, 50))
	}
	must.LessEq(t, 2*(len(c.agents)-1), c.frames[flow.Probe], must.Sprint("each of two keepers asks each other agent"))
}
