package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// openingsAt opens flows, sends a request on each and returns how many of them
// were opened at the host.
func (c *cell) openingsAt(at [4]byte, first uint16) int {
	before := c.hosts[at].taken
	for port := first; port < first+100; port++ {
		r := c.requester(port, 1)
		r.open()
		r.send(ack, 777, 50)
		c.now += 5 * time.Millisecond
		c.confirm()
	}
	return c.hosts[at].taken - before
}

// A host that resets its flows holds few of them, so that it drew new ones.
func TestHostThatResetsItsFlowsIsAvoided(t *testing.T) {
	c := newServiceCell(t)
	grey := addr(12)
	must.Between(t, 15, c.openingsAt(grey, 1000), 35)
	c.hosts[grey].failing = true
	c.openingsAt(grey, 2000)
	must.LessEq(t, 5, c.openingsAt(grey, 3000))
	c.hosts[grey].failing = false
	c.now += 20 * time.Second
	c.confirm()
	for _, agent := range c.agents {
		agent.Expire(c.now)
	}
	must.Greater(t, 15, c.openingsAt(grey, 4000), must.Sprint("it is tried again"))
}

// A host that leaves requests unanswered is avoided once requesters give up.
func TestHostThatLeavesRequestsUnansweredIsAvoided(t *testing.T) {
	c := newServiceCell(t)
	grey := addr(12)
	must.Between(t, 15, c.openingsAt(grey, 1000), 35)
	c.hosts[grey].down = true
	var own []*requester
	for port := uint16(1000); port < 1100; port++ {
		if r := c.requester(port, 1); c.holder(r.key()) == grey {
			own = append(own, r)
		}
	}
	for _, r := range own {
		r.send(ack, 777, 50)
	}
	c.now += 400 * time.Millisecond
	c.confirm()
	for _, r := range own {
		r.send(rst, 777, 0)
	}
	c.hosts[grey].down = false
	must.LessEq(t, 5, c.openingsAt(grey, 3000))
}
