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

// settled is after how long the list of hosts is taken to be complete.
const settled = 3 * time.Second

// askAgain is how long a sign of life counts.
const askAgain = 300 * time.Millisecond

// without removes the description of a host.
func (c *cell) without(host [4]byte) {
	c.declare(c.tracker.Revision()+1, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == fmt.Sprintf("servers/h%d", host[3]) })
	}, "s")
}

// flowsOf opens flows until the host of the first of them holds several, and
// returns that host and its flows.
func (c *cell) flowsOf(most uint16) ([4]byte, []*requester) {
	var own [4]byte
	var flows []*requester
	for port := uint16(1000); port < 1000+most; port++ {
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

// settledFlows opens flows at a cell whose list of hosts is complete, and returns
// the host of the first of them with its flows.
func settledFlows(t *testing.T) (*cell, [4]byte, []*requester) {
	c := newServiceCell(t)
	own, flows := c.flowsOf(100)
	c.pass(settled)
	return c, own, flows
}

// pass lets time go by, in which the catalog stays current.
func (c *cell) pass(d time.Duration) {
	c.now += d
	c.confirm()
}

// sendAgain sends a request, and copies of it after pauses in milliseconds until
// there is an answer.
func (r *requester) sendAgain(pauses ...time.Duration) []flow.Packet {
	answers := r.send(ack, 777, 50)
	for _, pause := range pauses {
		if len(answers) > 0 {
			break
		}
		r.c.pass(pause * time.Millisecond)
		answers = r.send(ack, 777, 50)
	}
	return answers
}

// loseMachine cuts the machine off and removes its host's description after
// the time that this takes.
func (c *cell) loseMachine(own [4]byte) {
	c.now += settled
	c.cut[own] = true
	c.now += settled
	c.without(own)
	c.confirm()
}

// Requests on flows of a machine that was lost for good timed out one by one:
// entries went on sending to its agent.
func TestFlowsOfALostMachineAreReset(t *testing.T) {
	c := newServiceCell(t)
	own, flows := c.flowsOf(100)
	c.loseMachine(own)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.pass(200 * time.Millisecond)
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
	c := newServiceCell(t)
	own, flows := c.flowsOf(100)
	c.loseMachine(own)
	for _, h := range c.hosts {
		clear(h.flows)
		clear(h.open)
	}
	c.restartAll()
	c.pass(settled)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.pass(200 * time.Millisecond)
	answers := flows[0].send(ack, 777, 50)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}

// A host that lost the store, but not its requesters, goes on being served.
func TestFlowsOfALiveHostThatIsNotDescribedAreServed(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			c, own, flows := settledFlows(t)
			c.without(own)
			c.pass(settled)
			if restarted {
				c.restartAll()
			}
			for range 8 {
				for _, r := range flows {
					r.via = 3 - r.via
					r.mustBeServed()
				}
				c.pass(700 * time.Millisecond)
			}
		})
	}
}

// An agent that was cut off when it was asked is heard again.
func TestFlowsAreServedOnceACutAgentIsBack(t *testing.T) {
	c := newServiceCell(t)
	own, flows := c.flowsOf(100)
	c.loseMachine(own)
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.cut[own] = false
	c.pass(2 * time.Second)
	for range 2 {
		for _, r := range flows {
			r.send(ack, 777, 50)
		}
		c.pass(200 * time.Millisecond)
	}
	for _, r := range flows[1:] {
		r.mustBeServed()
	}
}

// A host that ended without a word left its agent delivering packets to nobody.
func TestFlowsOfAHostThatEndedAreReset(t *testing.T) {
	c, own, flows := settledFlows(t)
	c.hosts[own].down = true
	must.Len(t, 0, flows[0].send(ack, 777, 50))
	c.pass(time.Second)
	must.Len(t, 0, flows[0].send(ack, 777, 50), must.Sprint("the host is described, so that it may live"))
	c.without(own)
	for _, r := range flows {
		r.mustBeReset()
	}
}

// An agent that restarted beside a host that had ended tried every packet at
// the host and told nobody, so that no flow was given up.
func TestFlowsAreResetAfterARestartBesideAHostThatEnded(t *testing.T) {
	c, own, flows := settledFlows(t)
	c.hosts[own].down = true
	c.without(own)
	c.restartAll()
	c.pass(settled)
	flows[0].send(ack, 777, 50)
	for range 4 {
		c.pass(200 * time.Millisecond)
		flows[1].send(ack, 777, 50)
	}
	for _, r := range flows[2:] {
		r.mustBeReset()
	}
}

// An agent that answered while it was stopping was taken to live for another
// second.
func TestFlowsAreResetOnceAnAgentHasStopped(t *testing.T) {
	c := newServiceCell(t)
	own, flows := c.flowsOf(100)
	for _, h := range c.hosts {
		clear(h.flows)
		clear(h.open)
	}
	c.now += settled
	c.without(own)
	c.now += 50 * time.Millisecond
	c.cut[own] = true
	c.restartAll()
	c.now += settled
	c.cut[own] = false
	c.confirm()
	for _, r := range flows {
		must.Len(t, 1, r.send(ack, 777, 50), must.Sprint("the agent answers"))
	}
	c.cut[own] = true
	c.pass(askAgain)
	for _, r := range flows {
		r.send(ack, 777, 50)
	}
	c.pass(200 * time.Millisecond)
	for _, r := range flows {
		r.mustBeReset()
	}
}

// While the hosts of a service left one after the other, there was always one
// that was still described and whose agent had stopped, so that no flow was
// given up.
func TestFlowsAreResetWhenAHostHasEnded(t *testing.T) {
	c, own, flows := settledFlows(t)
	c.agents[own].HostEnded(&cellOutput{c, own})
	c.drain()
	c.cut[own] = true
	// The agent that has stopped was a keeper of some of the flows.
	for _, r := range flows {
		answers := r.sendAgain(200)
		must.Len(t, 1, answers)
		must.True(t, answers[0].Rst)
	}
}

// An agent that was replaced beside a new host at the same address is heard,
// and late frames of the agent before it count for nothing.
func TestAgentIsBackAfterItsHostHasEnded(t *testing.T) {
	c, own, flows := settledFlows(t)
	late := c.agents[own]
	late.HostEnded(&cellOutput{c, own})
	c.drain()
	late.Start(c.current, &cellOutput{c, own})
	c.drain()
	c.cut[own] = true
	must.Len(t, 1, flows[0].send(ack, 777, 50), must.Sprint("the flow is lost all the same"))
	c.cut[own] = false
	c.startAgentAt(own[3], true, time.UnixMilli(5_000_000))
	for _, r := range flows[1:] {
		r.via = 2
		r.mustBeServed()
	}
}

// A keeper that had ended was asked again with each copy of a packet, by entries
// and by the other keeper.
func TestFlowIsFoundWithoutOneOfItsKeepers(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			c := newServiceCell(t)
			flows := c.openFlows(1000, 100)
			if restarted {
				c.restartAll()
			}
			dead := addr(11)
			c.cut[dead] = true
			for _, r := range flows {
				if c.holder(r.key()) == dead {
					continue
				}
				r.via = 2
				answers := r.sendAgain(200, 400)
				must.Len(t, 1, answers)
				must.False(t, answers[0].Rst)
			}
		})
	}
}

// A host whose description lapsed while the store was away is not given up
// before it had the time to describe itself again.
func TestFlowsOfASilentHostAreKeptWhileTheListMayBeIncomplete(t *testing.T) {
	c, own, flows := settledFlows(t)
	c.tracker.RecordFailure()
	c.without(own)
	c.hosts[own].down = true
	for range 3 {
		c.pass(700 * time.Millisecond)
		must.Len(t, 0, flows[0].send(ack, 777, 50))
	}
	c.pass(settled)
	must.Len(t, 1, flows[0].send(ack, 777, 50), must.Sprint("a host that is still missing is gone"))
}

// An agent that restarted beside a host that is slow to answer says that it
// lives, so that the flows of the host are not given up.
func TestFlowsOfASlowHostThatIsNotDescribedAreKept(t *testing.T) {
	c, own, flows := settledFlows(t)
	c.without(own)
	c.restartAll()
	c.pass(settled)
	c.hosts[own].down = true
	for range 3 {
		must.Len(t, 0, flows[0].send(ack, 777, 50))
		c.pass(180 * time.Millisecond)
	}
}
