package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countOpeningsAt opens 100 flows, sends a request on each and returns how
// many of them were opened at the host.
func (c *cluster) countOpeningsAt(at [4]byte, first uint16) int {
	before := c.hosts[at].accepted
	for port := first; port < first+100; port++ {
		r := c.requester(port, 1)
		r.open()
		r.send(ack, 777, 50)
		c.now += 5 * time.Millisecond
		c.confirmCatalog()
	}
	return c.hosts[at].accepted - before
}

// Guards against a failing host attracting new flows: since it resets its
// flows, it holds few and looks lightly loaded.
func TestHostThatResetsFlowsIsAvoided(t *testing.T) {
	c := newServiceCluster(t)
	failingHost := addr(12)
	must.Between(t, 15, c.countOpeningsAt(failingHost, 1000), 35)
	c.hosts[failingHost].failing = true
	c.countOpeningsAt(failingHost, 2000)
	must.LessEq(t, 5, c.countOpeningsAt(failingHost, 3000))
	c.hosts[failingHost].failing = false
	c.now += 20 * time.Second
	c.confirmCatalog()
	for _, agent := range c.agents {
		agent.Expire(c.now)
	}
	must.Greater(t, 15, c.countOpeningsAt(failingHost, 4000), must.Sprint("it receives openings again"))
}

// A host that does not answer requests is avoided once requesters reset their
// flows.
func TestHostThatLeavesRequestsUnansweredIsAvoided(t *testing.T) {
	c := newServiceCluster(t)
	unresponsive := addr(12)
	must.Between(t, 15, c.countOpeningsAt(unresponsive, 1000), 35)
	c.hosts[unresponsive].down = true
	var onHost []*requester
	for port := uint16(1000); port < 1100; port++ {
		if r := c.requester(port, 1); c.holder(r.key()) == unresponsive {
			onHost = append(onHost, r)
		}
	}
	for _, r := range onHost {
		// The data follows that of the first request; the same bytes again would be a
		// retransmission.
		r.sendFrom(1+50, ack, 777, 50)
	}
	c.now += 400 * time.Millisecond
	c.confirmCatalog()
	for _, r := range onHost {
		r.send(rst, 777, 0)
	}
	c.hosts[unresponsive].down = false
	must.LessEq(t, 5, c.countOpeningsAt(unresponsive, 3000))
}
