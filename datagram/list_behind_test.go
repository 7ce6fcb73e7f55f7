package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// keepCatalog makes the agents of machines, and the first entry, go on with the present catalog,
// which stays young by their clocks.
func (c *cluster) keepCatalog(machines ...byte) {
	old := *c.current
	old.HealthySince, old.ConfirmedAt = c.now-lifetime, c.now+lifetime
	c.catalogs = make(map[[4]byte]*catalog.Catalog)
	for _, n := range machines {
		c.catalogs[addr(n)] = &old
	}
	c.addEntryWithCatalog(1, &old)
}

// newListBehind returns a cluster in which the first entry and the agents 11 to 14 have a list that
// lacks the hosts 21 to 24, and flows that were opened at these through the second entry.
func newListBehind(t *testing.T) (*cluster, []*requester) {
	c := newCluster(t)
	c.addEntry(1)
	c.addEntry(2)
	for n := byte(11); n <= 16; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	c.advance(hostListSettleTime)
	c.keepCatalog(11, 12, 13, 14)
	for n := byte(21); n <= 24; n++ {
		c.addHost(n, "s")
	}
	c.publish(2, nil, "s")
	var flows []*requester
	for port := uint16(1000); port < 1400; port++ {
		r := c.requester(port, 2)
		if r.open()[3] >= 21 {
			r.entry = 1
			flows = append(flows, r)
		}
	}
	must.SliceNotEmpty(t, flows)
	return c, flows
}

// Guards against open flows of new hosts being reset by agents whose list is young by their clocks
// and lacks these hosts, which others list and send flows to (incident list-behind): all agents that
// they know answer that they do not hold the flow.
func TestFlowsOfHostsThatOthersListAreNotReset(t *testing.T) {
	for name, disturb := range map[string]func(c *cluster){
		"the list is behind": func(*cluster) {},
		"no confirmation can be had": func(c *cluster) {
			c.unconfirmed = map[[4]byte]bool{addr(11): true, addr(12): true, addr(13): true, addr(14): true}
		},
		"agents restart meanwhile": func(c *cluster) {
			c.startAgent(11, true)
			c.startAgent(13, true)
		},
		"agents of new hosts restart meanwhile": func(c *cluster) {
			c.startAgent(21, true)
			c.startAgent(22, true)
		},
		"the entry restarts meanwhile":            func(c *cluster) { c.addEntryWithCatalog(1, c.catalogs[addr(11)]) },
		"the agents of new hosts are not reached": func(c *cluster) { c.isolated[addr(23)] = true },
	} {
		t.Run(name, func(t *testing.T) {
			c, flows := newListBehind(t)
			disturb(c)
			for _, r := range flows {
				for _, p := range r.sendWithRetries(200, 400) {
					must.False(t, p.Rst, must.Sprint(r.key()))
				}
			}
			clear(c.catalogs)
			clear(c.isolated)
			c.unconfirmed = nil
			c.addEntry(1)
			c.advance(hostListSettleTime)
			for _, r := range flows {
				answers := r.sendWithRetries(200, 400)
				must.Len(t, 1, answers, must.Sprint(r.key()))
				must.False(t, answers[0].Rst)
			}
		})
	}
}

// Guards against lost flows not being reset, so that their requesters wait for their time limits,
// although the list is confirmed, and against a confirmation from before the packet counting.
func TestLostFlowsAreResetOnceTheListIsConfirmed(t *testing.T) {
	c, _, lost := newSettledCluster(t)
	c.loseMachine(c.holder(lost[0].key()))
	c.advance(hostListSettleTime)
	c.unconfirmed = make(map[[4]byte]bool)
	for a := range c.agents {
		c.unconfirmed[a] = true
	}
	for _, r := range lost {
		must.SliceEmpty(t, r.sendWithRetries(200, 400), must.Sprint(r.key()))
	}
	clear(c.unconfirmed)
	c.toRequester = nil
	for _, a := range c.sortedAgents() {
		c.agents[a].ListConfirmed(c.now, &clusterOutput{c, a})
	}
	c.deliverAll()
	// Both keepers of a flow may have searched for it.
	reset := make(map[flow.Key]bool)
	for _, p := range c.toRequester {
		must.True(t, p.Rst)
		reset[p.FromHost()] = true
	}
	must.MapLen(t, len(lost), reset)
}

// Guards against an agent taking its host for stopped and resetting its flows, because a list from
// before the host was listed lacks it and the host is slow to answer.
func TestFlowsOfASlowHostThatOthersListAreNotReset(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addEntry(2)
	c.addHost(11, "s")
	c.publish(1, nil, "s")
	c.advance(hostListSettleTime)
	c.keepCatalog(21)
	slow := c.addHost(21, "s")
	c.publish(2, nil, "s")
	for port := uint16(1000); port < 1020; port++ {
		r := c.requester(port, 2)
		if r.open() != addr(21) {
			continue
		}
		slow.keepsRequests = true
		for range 3 {
			must.SliceEmpty(t, r.send(ack, 777, 50))
			c.advance(500 * time.Millisecond)
		}
		slow.keepsRequests = false
		r.requireServed()
	}
	must.Positive(t, slow.accepted)
}
