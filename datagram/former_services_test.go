package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// All processes restart after a route has moved to another service, so that no
// process knows the former service from its own past. Its hosts still hold flows of
// the route, and its agents cannot tell: they must neither deny the flows nor try their
// packets. One packet that a host of the former service sends by itself shows where flows
// of the route are. After the recovery time a flow is tried at two hosts in each stray window.
func TestFlowsOfAFormerServiceAreFoundAfterARestartOfAllProcesses(t *testing.T) {
	t.Run("in the recovery time", func(t *testing.T) { testFormerServiceIsFound(t, recoveryTime/2, 400) })
	t.Run("later", func(t *testing.T) { testFormerServiceIsFound(t, hostListSettleTime, 400, 1600, 1600, 1600, 1600, 1600) })
}

func testFormerServiceIsFound(t *testing.T, wait time.Duration, pauses ...time.Duration) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 14; n++ {
		c.addHost(n, "s")
	}
	for n := byte(15); n <= 17; n++ {
		c.addHost(n, "u")
	}
	c.publish(1, nil, "s")
	flows := c.openFlows(1000, 50)
	c.publish(2, nil, "u")
	c.tracker = nil
	c.publish(3, nil, "u")
	c.restartAllAtOnce()
	c.advance(wait)
	since := c.now
	for _, r := range flows[:10] {
		must.Len(t, 0, r.send(ack, 777, 50), must.Sprint("nothing shows who may hold the flow"))
	}
	c.requireFewTrials("u")
	// A host retransmits an answer.
	key := flows[0].key()
	owner := c.holder(key)
	answer := packet(ack, destination(), flows[0].endpoint, c.hosts[owner].initialSeqs[key], 1, 100)
	c.agents[owner].HandleHost(c.now, answer, &clusterOutput{c, owner})
	c.deliverAll()
	c.advance(400 * time.Millisecond)
	served := 0
	for _, pause := range append([]time.Duration{400}, pauses...) {
		for _, r := range flows {
			for _, p := range r.send(ack, 777, 50) {
				must.False(t, p.Rst)
			}
		}
		c.advance(pause * time.Millisecond)
	}
	for _, r := range flows {
		if len(r.send(ack, 777, 50)) > 0 {
			served++
		}
		if wait >= recoveryTime {
			c.requireUnbroken(r.key(), since)
		}
	}
	must.Eq(t, len(flows), served)
	c.requireFewTrials("s", "u")
}

// restartAgentsAtOnce restarts all agents without any that could tell another one what it
// knew. Entries retain the owners that they have cached.
func (c *cluster) restartAgentsAtOnce() {
	for a := range c.agents {
		c.isolated[a] = true
	}
	for a := range c.agents {
		c.startAgent(a[3], true)
	}
	clear(c.isolated)
}

// restartAllAtOnce restarts all processes without any that could tell another one
// what it knew.
func (c *cluster) restartAllAtOnce() {
	for a := range c.agents {
		c.isolated[a] = true
	}
	c.restartAll()
	clear(c.isolated)
}
