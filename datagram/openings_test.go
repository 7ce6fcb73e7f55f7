package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// overload sends the hosts requests that they leave unanswered.
func (c *cluster) overload(first, requests uint16) {
	flows := c.openFlows(first, requests)
	for _, h := range c.hosts {
		h.serviceTime = 40 * time.Millisecond
	}
	for range 40 {
		flows[0].send(ack, 777, 50)
	}
	for _, h := range c.hosts {
		h.down = true
	}
	for _, r := range flows {
		r.send(ack, 777, 50)
	}
}

// Guards against an overloaded host accepting an opening that it cannot serve
// in time when no other host can accept it.
func TestOpeningIsRefusedByTheOnlyHostWhenItIsOverloaded(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s")
	c.publish(1, nil, "s")
	// At 40 ms each on two slots they take longer than the time limit of the route.
	c.overload(1000, 100)
	answers := c.requester(2000, 1).send(syn, 0, 0)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}
