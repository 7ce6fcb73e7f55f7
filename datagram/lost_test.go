package datagram_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// hostListSettleTime is the time after which the host list counts as complete.
// It is longer than the constant of this name in the package.
const hostListSettleTime = 3 * time.Second

// livenessTTL is how long a frame from an agent counts as proof that it is
// running.
const livenessTTL = 300 * time.Millisecond

// unlistHost removes a host's catalog entry.
func (c *cluster) unlistHost(host [4]byte) {
	c.publish(c.tracker.Position().Revision+1, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == fmt.Sprintf("servers/h%d", host[3]) })
	}, "s")
}

// openFlowsOnOneHost opens count flows and returns the host of the first one
// and all flows on that host, which must be more than three.
func (c *cluster) openFlowsOnOneHost(count uint16) ([4]byte, []*requester) {
	var owner [4]byte
	var flows []*requester
	for port := uint16(1000); port < 1000+count; port++ {
		r := c.requester(port, 1)
		at := r.open()
		if owner == ([4]byte{}) {
			owner = at
		}
		if at == owner {
			flows = append(flows, r)
		}
	}
	must.Greater(c.t, 3, len(flows))
	return owner, flows
}

// newSettledCluster returns a cluster with a complete host list and 100 open
// flows, the host of the first flow and all flows on that host.
func newSettledCluster(t *testing.T) (*cluster, [4]byte, []*requester) {
	c := newServiceCluster(t)
	owner, flows := c.openFlowsOnOneHost(100)
	c.advance(hostListSettleTime)
	return c, owner, flows
}

// advance moves the clock forward in steps of a tick, and confirms the catalog as current
// at each.
func (c *cluster) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := c.now + d; c.now < end; {
		c.now = min(c.now+tick, end)
		c.confirmCatalog()
	}
}

// sendWithRetries sends a request and retransmits it after the given pauses in
// milliseconds until it is answered.
func (r *requester) sendWithRetries(pauses ...time.Duration) []flow.Packet {
	answers := r.send(ack, 777, 50)
	for _, pause := range pauses {
		if len(answers) > 0 {
			break
		}
		r.c.advance(pause * time.Millisecond)
		answers = r.send(ack, 777, 50)
	}
	return answers
}

// loseMachine isolates the machine and, after the time in which its catalog
// entry lapses, removes the entry of its host.
func (c *cluster) loseMachine(owner [4]byte) {
	c.now += hostListSettleTime
	c.isolated[owner] = true
	c.now += hostListSettleTime
	c.unlistHost(owner)
	c.confirmCatalog()
}

// Guards against requests on the flows of a permanently lost machine timing
// out one after another because entries keep sending to its agent.
func TestFlowsOfALostMachineAreReset(t *testing.T) {
	c := newServiceCluster(t)
	owner, flows := c.openFlowsOnOneHost(100)
	c.loseMachine(owner)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.advance(200 * time.Millisecond)
	answers := flows[0].send(ack, 777, 50)
	must.Len(t, 1, answers, must.Sprint("the first flow, at the first retransmission"))
	must.True(t, answers[0].Rst)
	for _, r := range flows[1:] {
		answers := r.send(ack, 777, 50)
		must.Len(t, 1, answers, must.Sprint("other flows, without delay"))
		must.True(t, answers[0].Rst)
	}
}

// Guards against flows being reset only after a 10 s search following a power
// loss during a release, because the search waits for agents of hosts that
// have just been removed.
func TestFlowsAreResetAfterARestartWhileHostsLeave(t *testing.T) {
	c := newServiceCluster(t)
	owner, flows := c.openFlowsOnOneHost(100)
	c.loseMachine(owner)
	for _, h := range c.hosts {
		clear(h.initialSeqs)
		clear(h.established)
	}
	c.restartAll()
	c.advance(hostListSettleTime)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.advance(200 * time.Millisecond)
	answers := flows[0].send(ack, 777, 50)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}

// A host that lost its connection to the store but not to its requesters
// continues to receive its packets.
func TestFlowsOfLiveUnlistedHostAreServed(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			c, owner, flows := newSettledCluster(t)
			c.unlistHost(owner)
			c.advance(hostListSettleTime)
			if restarted {
				c.restartAll()
			}
			for range 8 {
				for _, r := range flows {
					r.entry = 3 - r.entry
					r.requireServed()
				}
				c.advance(700 * time.Millisecond)
			}
		})
	}
}

// An agent that did not answer while it was isolated is used again after it
// reconnects.
func TestFlowsAreServedOnceIsolatedAgentReconnects(t *testing.T) {
	c := newServiceCluster(t)
	owner, flows := c.openFlowsOnOneHost(100)
	c.loseMachine(owner)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.isolated[owner] = false
	c.advance(2 * time.Second)
	for range 2 {
		for _, r := range flows {
			r.send(ack, 777, 50)
		}
		c.advance(200 * time.Millisecond)
	}
	for _, r := range flows[1:] {
		r.requireServed()
	}
}

// Guards against an agent delivering packets forever to a host that stopped
// without notice.
func TestFlowsOfStoppedHostAreReset(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.hosts[owner].down = true
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.advance(time.Second)
	must.Len(t, 0, flows[0].send(ack, 777, 50), must.Sprint("a listed host may still be running"))
	c.unlistHost(owner)
	for _, r := range flows {
		r.requireReset()
	}
}

// Guards against flows never being reset after an agent restarts beside a
// stopped host, because it sends every packet to the host and reports nothing.
func TestFlowsAreResetAfterAgentRestartsBesideStoppedHost(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.hosts[owner].down = true
	c.unlistHost(owner)
	c.restartAll()
	c.advance(hostListSettleTime)
	flows[0].send(ack, 777, 50)
	for range 4 {
		c.advance(200 * time.Millisecond)
		flows[1].send(ack, 777, 50)
	}
	for _, r := range flows[2:] {
		r.requireReset()
	}
}

// Guards against an agent that answered a ping while it was stopping counting
// as running for another second.
func TestFlowsAreResetOnceAnAgentHasStopped(t *testing.T) {
	c := newServiceCluster(t)
	owner, flows := c.openFlowsOnOneHost(100)
	for _, h := range c.hosts {
		clear(h.initialSeqs)
		clear(h.established)
	}
	c.now += hostListSettleTime
	c.unlistHost(owner)
	c.now += 50 * time.Millisecond
	c.isolated[owner] = true
	c.restartAll()
	c.now += hostListSettleTime
	c.isolated[owner] = false
	c.confirmCatalog()
	for _, r := range flows {
		must.Len(t, 1, r.send(ack, 777, 50), must.Sprint("the agent answers"))
	}
	c.isolated[owner] = true
	c.advance(livenessTTL)
	for _, r := range flows {
		r.send(ack, 777, 50)
	}
	c.advance(200 * time.Millisecond)
	for _, r := range flows {
		r.requireReset()
	}
}

// Guards against flows not being reset while the hosts of a service are
// removed one after another. At any time one of them was still listed although
// its agent had stopped, so a search never concluded.
func TestFlowsAreResetWhenAgentReportsHostEnded(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.agents[owner].HostEnded(&clusterOutput{c, owner})
	c.deliverAll()
	c.isolated[owner] = true
	// The stopped agent was a keeper of some of the flows.
	for _, r := range flows {
		answers := r.sendWithRetries(200)
		must.Len(t, 1, answers)
		must.True(t, answers[0].Rst)
	}
}

// The replacement agent, beside a new host at the same address, is accepted,
// and late frames of its predecessor are ignored.
func TestReplacementAgentIsAcceptedAfterHostEnded(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	oldAgent := c.agents[owner]
	oldAgent.HostEnded(&clusterOutput{c, owner})
	c.deliverAll()
	oldAgent.Start(c.current, &clusterOutput{c, owner})
	c.deliverAll()
	c.isolated[owner] = true
	must.Len(t, 1, flows[0].send(ack, 777, 50), must.Sprint("the flow remains lost"))
	c.isolated[owner] = false
	c.startAgentAt(owner[3], true, time.UnixMilli(5_000_000))
	for _, r := range flows[1:] {
		r.entry = 2
		r.requireServed()
	}
}

// Guards against entries and the other keeper sending every retransmission to
// a keeper that has stopped.
func TestFlowIsFoundWithoutOneOfItsKeepers(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			c := newServiceCluster(t)
			flows := c.openFlows(1000, 100)
			if restarted {
				c.restartAll()
			}
			stopped := addr(11)
			c.isolated[stopped] = true
			for _, r := range flows {
				if c.holder(r.key()) == stopped {
					continue
				}
				r.entry = 2
				answers := r.sendWithRetries(200, 400)
				must.Len(t, 1, answers)
				must.False(t, answers[0].Rst)
			}
		})
	}
}

// A host whose catalog entry lapsed while the store was unavailable does not
// count as stopped before it has had time to register again.
func TestFlowsOfUnresponsiveHostAreKeptWhileHostListMayBeIncomplete(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.tracker.RecordFailure(c.now)
	c.unlistHost(owner)
	c.hosts[owner].down = true
	for range 3 {
		c.advance(700 * time.Millisecond)
		must.Len(t, 0, flows[0].send(ack, 777, 50))
	}
	c.advance(hostListSettleTime)
	must.Len(t, 1, flows[0].send(ack, 777, 50), must.Sprint("a host that is still unlisted counts as stopped"))
}

// An agent that restarted beside a slow host answers pings, so the host's
// flows are not reset.
func TestFlowsOfSlowUnlistedHostAreKept(t *testing.T) {
	c, owner, flows := newSettledCluster(t)
	c.unlistHost(owner)
	c.restartAll()
	c.advance(hostListSettleTime)
	c.hosts[owner].down = true
	for range 3 {
		must.Len(t, 0, flows[0].send(ack, 777, 50))
		c.advance(180 * time.Millisecond)
	}
}
