package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// An agent that was paused gets an opening and its copy at once, before its host can answer
// either. Guards against the agent taking the host for silent and forgetting the flow, which
// the host accepts: the requester's open flow was then reset (soak -loads, seed 9110).
func TestCopiesThatWaitedAtAPausedAgentDoNotMakeItsHostSilent(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s")
	c.addHost(12, "s")
	c.publish(1, nil, "s")
	r := c.requester(1000, 1)
	for copies := range uint32(3) {
		frame := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		opening := packet(syn, r.endpoint, r.to, 1, copies, 0)
		c.agents[addr(11)].HandleFrame(c.now, addr(1), append(frame.Append(nil), opening...), &clusterOutput{c, addr(11)})
		c.now += time.Millisecond
	}
	c.deliverAll()
	for _, p := range c.toRequester {
		must.True(t, p.Syn && p.Ack)
	}
	must.Eq(t, addr(11), c.holder(r.key()))
	must.Eq(t, 0, c.hosts[addr(12)].accepted)
	r.send(ack, c.toRequester[0].Seq+1, 0)
	r.requireServed()
}

// Guards against a host that does not answer keeping an opening: the copy that its requester
// sends 200 ms later goes to another host.
func TestCopyOfAnOpeningLeavesASilentHost(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s").down = true
	c.addHost(12, "s")
	c.publish(1, nil, "s")
	r := c.requester(1000, 1)
	for copies := range uint32(2) {
		frame := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		opening := packet(syn, r.endpoint, r.to, 1, copies, 0)
		c.agents[addr(11)].HandleFrame(c.now, addr(1), append(frame.Append(nil), opening...), &clusterOutput{c, addr(11)})
		c.deliverAll()
		c.now += 200 * time.Millisecond
	}
	must.Eq(t, addr(12), c.holder(r.key()))
}
