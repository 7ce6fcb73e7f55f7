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

// hostListSettleTime is after how long the list of hosts is taken to be complete.
const hostListSettleTime = 3 * time.Second

// livenessTTL is how long a sign of life counts.
const livenessTTL = 300 * time.Millisecond

// unlistHost removes the description of a host.
func (c *cluster) unlistHost(host [4]byte) {
	c.publish(c.tracker.Revision()+1, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == fmt.Sprintf("servers/h%d", host[3]) })
	}, "s")
}

// openFlowsOnOneHost opens flows until the host of the first of them holds several, and
// returns that host and its flows.
func (c *cluster) openFlowsOnOneHost(count uint16) ([4]byte, []*requester) {
	var own [4]byte
	var flows []*requester
	for port := uint16(1000); port < 1000+count; port++ {
		r := c.requester(port, 1)
		at := r.open()
		if own == ([4]byte{}) {
			own = at
		}
		if at == own {
			flows = append(flows, r)
		}
	}
	must.Greater(c.t, 3, len(flows))
	return own, flows
}

// newSettledCluster opens flows at a cell whose list of hosts is complete, and returns
// the host of the first of them with its flows.
func newSettledCluster(t *testing.T) (*cluster, [4]byte, []*requester) {
	c := newServiceCluster(t)
	own, flows := c.openFlowsOnOneHost(100)
	c.advance(hostListSettleTime)
	return c, own, flows
}

// advance lets time go by, in which the catalog stays current.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	c.confirmCatalog()
}

// sendWithRetries sends a request, and copies of it after pauses in milliseconds until
// there is an answer.
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

// loseMachine cuts the machine off and removes its host's description after
// the time that this takes.
func (c *cluster) loseMachine(own [4]byte) {
	c.now += hostListSettleTime
	c.isolated[own] = true
	c.now += hostListSettleTime
	c.unlistHost(own)
	c.confirmCatalog()
}

// Requests on flows of a machine that was lost for good timed out one by one:
// entries went on sending to its agent.
func TestFlowsOfALostMachineAreReset(t *testing.T) {
	c := newServiceCluster(t)
	own, flows := c.openFlowsOnOneHost(100)
	c.loseMachine(own)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.advance(200 * time.Millisecond)
	answers := flows[0].send(ack, 777, 50)
	must.Len(t, 1, answers, must.Sprint("the first flow, with the first copy"))
	must.True(t, answers[0].Rst)
	for _, r := range flows[1:] {
		answers := r.send(ack, 777, 50)
		must.Len(t, 1, answers, must.Sprint("further flows, at once"))
		must.True(t, answers[0].Rst)
	}
}

// After a loss of power during a release, flows were searched for and given up
// only 10 s later: the hosts that had just left were waited for.
func TestFlowsAreResetAfterARestartWhileHostsLeave(t *testing.T) {
	c := newServiceCluster(t)
	own, flows := c.openFlowsOnOneHost(100)
	c.loseMachine(own)
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

// A host that lost the store, but not its requesters, goes on being served.
func TestFlowsOfLiveUnlistedHostAreServed(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			c, own, flows := newSettledCluster(t)
			c.unlistHost(own)
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

// An agent that was cut off when it was asked is heard again.
func TestFlowsAreServedOnceIsolatedAgentReconnects(t *testing.T) {
	c := newServiceCluster(t)
	own, flows := c.openFlowsOnOneHost(100)
	c.loseMachine(own)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.isolated[own] = false
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

// A host that ended without a word left its agent delivering packets to nobody.
func TestFlowsOfStoppedHostAreReset(t *testing.T) {
	c, own, flows := newSettledCluster(t)
	c.hosts[own].down = true
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.advance(time.Second)
	must.Len(t, 0, flows[0].send(ack, 777, 50), must.Sprint("the host is described, so that it may live"))
	c.unlistHost(own)
	for _, r := range flows {
		r.requireReset()
	}
}

// An agent that restarted beside a host that had ended tried every packet at
// the host and told nobody, so that no flow was given up.
func TestFlowsAreResetAfterAgentRestartsBesideStoppedHost(t *testing.T) {
	c, own, flows := newSettledCluster(t)
	c.hosts[own].down = true
	c.unlistHost(own)
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

// An agent that answered while it was stopping was taken to live for another
// second.
func TestFlowsAreResetOnceAnAgentHasStopped(t *testing.T) {
	c := newServiceCluster(t)
	own, flows := c.openFlowsOnOneHost(100)
	for _, h := range c.hosts {
		clear(h.initialSeqs)
		clear(h.established)
	}
	c.now += hostListSettleTime
	c.unlistHost(own)
	c.now += 50 * time.Millisecond
	c.isolated[own] = true
	c.restartAll()
	c.now += hostListSettleTime
	c.isolated[own] = false
	c.confirmCatalog()
	for _, r := range flows {
		must.Len(t, 1, r.send(ack, 777, 50), must.Sprint("the agent answers"))
	}
	c.isolated[own] = true
	c.advance(livenessTTL)
	for _, r := range flows {
		r.send(ack, 777, 50)
	}
	c.advance(200 * time.Millisecond)
	for _, r := range flows {
		r.requireReset()
	}
}

// While the hosts of a service left one after the other, there was always one
// that was still described and whose agent had stopped, so that no flow was
// given up.
func TestFlowsAreResetWhenAgentReportsHostEnded(t *testing.T) {
	c, own, flows := newSettledCluster(t)
	c.agents[own].HostEnded(&clusterOutput{c, own})
	c.deliverAll()
	c.isolated[own] = true
	// The agent that has stopped was a keeper of some of the flows.
	for _, r := range flows {
		answers := r.sendWithRetries(200)
		must.Len(t, 1, answers)
		must.True(t, answers[0].Rst)
	}
}

// An agent that was replaced beside a new host at the same address is heard,
// and late frames of the agent before it count for nothing.
func TestReplacementAgentIsAcceptedAfterHostEnded(t *testing.T) {
	c, own, flows := newSettledCluster(t)
	oldAgent := c.agents[own]
	oldAgent.HostEnded(&clusterOutput{c, own})
	c.deliverAll()
	oldAgent.Start(c.current, &clusterOutput{c, own})
	c.deliverAll()
	c.isolated[own] = true
	must.Len(t, 1, flows[0].send(ack, 777, 50), must.Sprint("the flow is lost all the same"))
	c.isolated[own] = false
	c.startAgentAt(own[3], true, time.UnixMilli(5_000_000))
	for _, r := range flows[1:] {
		r.entry = 2
		r.requireServed()
	}
}

// A keeper that had ended was asked again with each copy of a packet, by entries
// and by the other keeper.
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

// A host whose description lapsed while the store was away is not given up
// before it had the time to describe itself again.
func TestFlowsOfUnresponsiveHostAreKeptWhileHostListMayBeIncomplete(t *testing.T) {
	c, own, flows := newSettledCluster(t)
	c.tracker.Failed()
	c.unlistHost(own)
	c.hosts[own].down = true
	for range 3 {
		c.advance(700 * time.Millisecond)
		must.Len(t, 0, flows[0].send(ack, 777, 50))
	}
	c.advance(hostListSettleTime)
	must.Len(t, 1, flows[0].send(ack, 777, 50), must.Sprint("a host that is still missing is gone"))
}

// An agent that restarted beside a host that is slow to answer says that it
// lives, so that the flows of the host are not given up.
func TestFlowsOfSlowUnlistedHostAreKept(t *testing.T) {
	c, own, flows := newSettledCluster(t)
	c.unlistHost(own)
	c.restartAll()
	c.advance(hostListSettleTime)
	c.hosts[own].down = true
	for range 3 {
		must.Len(t, 0, flows[0].send(ack, 777, 50))
		c.advance(180 * time.Millisecond)
	}
}
