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

// newServiceCluster returns a cluster of two entries and four hosts of one
// service.
func newServiceCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.addEntry(1)
	c.addEntry(2)
	for n := byte(11); n <= 14; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	return c
}

func TestFlowIsServedThroughAnyEntry(t *testing.T) {
	c := newServiceCluster(t)
	for port := uint16(1000); port < 1100; port++ {
		r := c.requester(port, 1)
		r.open()
		must.Len(t, 1, r.send(ack, 0, 50))
		r.entry = 2
		must.Len(t, 1, r.send(ack, 0, 50), must.Sprint("the second entry looks up the owner"))
	}
	must.Eq(t, 0, c.unheldPackets())
}

func TestEntryCachesOwnerAfterFirstPacket(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	r.open()
	r.entry = 2
	r.send(ack, 0, 50)
	lookups := c.frames[flow.Lookup]
	must.Positive(t, lookups)
	r.send(ack, 0, 50)
	must.Eq(t, lookups, c.frames[flow.Lookup], must.Sprint("no further keeper lookup"))
}

func TestOpeningsAreSpreadOverHosts(t *testing.T) {
	c := newServiceCluster(t)
	for port := uint16(1000); port < 1400; port++ {
		c.requester(port, 1).open()
	}
	for _, h := range c.hosts {
		must.Between(t, 80, h.accepted, 120)
	}
}

// Guards against late packets of a closed flow being sent to other hosts as
// packets of an unknown flow. The flow's own host answers them.
func TestLatePacketOfAClosedFlowReachesItsHost(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	owner := r.open()
	r.send(ack, 0, 50)
	r.send(ack|fin, 0, 0)
	c.now += 20 * time.Second
	c.confirmCatalog()
	for _, a := range c.agents {
		a.Expire(c.now)
	}
	for _, e := range c.entries {
		e.Expire(c.now)
	}
	for n := byte(11); n <= 14; n++ {
		if addr(n) != owner {
			c.startAgent(n, true)
		}
	}
	r.send(ack|fin, 0, 0)
	must.Eq(t, 0, c.unheldPackets())
}

// Guards against records being left behind when the list of agents changes.
// Keepers are chosen from that list, so a change moves some records to other
// agents.
func TestOwnersAnnounceFlowsToNewKeepers(t *testing.T) {
	c := newServiceCluster(t)
	flows := c.openFlows(1000, 200)
	for n := byte(21); n <= 24; n++ {
		c.addHost(n, "s")
	}
	c.publish(2, nil, "s")
	for _, r := range flows {
		r.entry = 2
		must.Len(t, 1, r.send(ack, 0, 50))
	}
	must.Eq(t, 0, c.frames[flow.Probe], must.Sprint("no search was needed"))
}

func TestOwnersAnnounceFlowsToRestartedKeepers(t *testing.T) {
	c := newServiceCluster(t)
	var flows []*requester
	for port := uint16(1000); port < 1200; port++ {
		r := c.requester(port, 1)
		if owner := r.open(); owner == addr(13) || owner == addr(14) {
			flows = append(flows, r)
		}
	}
	c.startAgent(11, true)
	c.startAgent(12, true)
	for _, r := range flows {
		r.entry = 2
		must.Len(t, 1, r.send(ack, 0, 50))
	}
	must.Eq(t, 0, c.frames[flow.Probe], must.Sprint("no search was needed"))
}

func TestFlowsAreFoundAfterAllProcessesRestart(t *testing.T) {
	c := newServiceCluster(t)
	flows := c.openFlows(1000, 200)
	c.restartAll()
	for _, r := range flows {
		must.Len(t, 1, r.send(ack, 0, 50))
	}
	for _, h := range c.hosts {
		for key, n := range h.unheldPackets {
			must.Less(t, 3, n, must.Sprintf("flow %v reached a host that does not hold it %d times", key, n))
		}
	}
}

func (c *cluster) restartAll() {
	for a := range c.entries {
		c.addEntry(a[3])
	}
	for a := range c.agents {
		c.startAgent(a[3], true)
	}
}

// Guards against the second packet of a request being dropped because the
// first had started a search less than searchInterval ago; the request was
// then answered only after a retransmission.
func TestSearchCarriesAllPacketsInFlight(t *testing.T) {
	c := newServiceCluster(t)
	flows := c.openFlows(1000, 50)
	c.restartAll()
	entry := addr(1)
	out := &clusterOutput{c, entry}
	for _, r := range flows {
		c.toRequester = nil
		for range 2 {
			c.entries[entry].HandlePacket(c.now, packet(ack, r.endpoint, destination(), 1, 0, 50), out)
		}
		c.deliverAll()
		must.Len(t, 2, c.toRequester)
	}
}

func TestLostFlowIsResetAtOnce(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	clear(c.hosts[r.open()].initialSeqs)
	c.restartAll()
	c.now += 3 * time.Second
	c.confirmCatalog()
	r.requireReset()
	must.Eq(t, 777, c.toRequester[0].Seq)
}

// While reads of the store fail, the host list may lack running hosts. Their
// agents announce themselves, so that their flows are found instead of reset,
// whether or not the host is ever listed again.
func TestFlowOfUnlistedRunningHostIsFound(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	owner := r.open()
	c.tracker = nil
	c.publish(2, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == fmt.Sprintf("servers/h%d", owner[3]) })
	}, "s")
	c.knowConfigs()
	c.restartAll()
	c.agents[owner].Expire(c.now)
	c.now += 2 * time.Second
	c.confirmCatalog()
	r.requireServed()
	c.tracker.RecordFailure(c.now)
	c.now += 2 * time.Second
	c.restartAll()
	c.confirmCatalog()
	r.requireServed()
	c.now += 3 * time.Second
	c.restartAll()
	c.confirmCatalog()
	r.requireServed()
}

// Guards against a flow being reset by an agent that cannot know yet whether
// unlisted hosts run: its own host was listed only just now, so that
// announcements have not reached it.
func TestNoFlowIsResetBeforeUnlistedHostsCouldAnnounceThemselves(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	owner := r.open()
	c.isolated[owner] = true
	c.tracker = nil
	c.publish(2, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == fmt.Sprintf("servers/h%d", owner[3]) })
	}, "s")
	c.restartAll()
	for range 3 {
		c.confirmCatalog()
		must.Len(t, 0, r.send(ack, 777, 50))
		c.now += 100 * time.Millisecond
	}
	c.confirmCatalog()
	must.Len(t, 1, c.toRequester, must.Sprint("the reset does not wait for another copy of the packet"))
	must.True(t, c.toRequester[0].Rst)
}

func TestFlowOfUnresponsiveAgentIsNotReset(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	owner := r.open()
	c.restartAll()
	c.isolated[owner] = true
	c.now += 5 * time.Second
	c.confirmCatalog()
	for range 5 {
		must.Len(t, 0, r.send(ack, 777, 50))
		c.now += 400 * time.Millisecond
		c.confirmCatalog()
	}
}

// Guards against an open flow being reset after a change of route weights,
// when a search asks only the services that the route currently names.
func TestFlowOfFormerRouteTargetIsFound(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addEntry(2)
	c.addHost(11, "s")
	for n := byte(12); n <= 14; n++ {
		c.addHost(n, "u")
	}
	c.publish(1, nil, "s")
	c.now += 2 * lifetime
	c.confirmCatalog()
	flows := c.openFlows(1000, 50)
	c.now += 5 * time.Second
	c.publish(2, nil, "u")
	// The keepers lose their records, and the owner is not informed.
	c.isolated[addr(11)] = true
	for n := byte(12); n <= 14; n++ {
		c.startAgent(n, true)
	}
	c.isolated[addr(11)] = false
	c.now += 5 * time.Second
	c.confirmCatalog()
	for _, r := range flows {
		r.entry = 2
		r.requireServed()
	}
	must.Positive(t, c.frames[flow.Probe])
}

func TestPacketOfUnknownFlowIsNotSentToAnotherService(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s")
	otherHost := c.addHost(12, "u")
	c.publish(1, nil, "s")
	r := c.requester(1000, 1)
	r.open()
	c.restartAll()
	for range 5 {
		r.send(ack, 0, 50)
	}
	must.MapEmpty(t, otherHost.unheldPackets)
}

func TestFlowLostByHostIsReset(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	h := c.hosts[r.open()]
	clear(h.initialSeqs)
	answers := r.send(ack, 55, 50)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}

func TestOpeningIsForwardedFromRefusingHost(t *testing.T) {
	c := newServiceCluster(t)
	c.hosts[addr(11)].refusing = true
	c.hosts[addr(12)].refusing = true
	for port := uint16(1000); port < 1050; port++ {
		c.requester(port, 1).open()
	}
}

func TestOpeningIsRefusedAtOnceWhenAllHostsRefuse(t *testing.T) {
	c := newServiceCluster(t)
	for _, h := range c.hosts {
		h.refusing = true
	}
	answers := c.requester(1000, 1).send(syn, 0, 0)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}

func TestRetransmittedOpeningAvoidsUnresponsiveHost(t *testing.T) {
	c := newServiceCluster(t)
	for n := byte(11); n <= 13; n++ {
		c.hosts[addr(n)].down = true
	}
	r := c.requester(1000, 1)
	for range 4 {
		if answers := r.send(syn, 0, 0); len(answers) > 0 {
			must.Eq(t, addr(14), c.holder(r.key()))
			return
		}
		c.now += 200 * time.Millisecond
	}
	t.Fatal("no retransmission reached the responding host")
}

func TestDrainingHostAndEvacuatedZoneGetNoOpenings(t *testing.T) {
	cases := map[string]func(values *[]catalog.Value){
		"draining": func(values *[]catalog.Value) {
			for i := range *values {
				if v := &(*values)[i]; v.Key == "servers/h11" {
					v.Data = []byte(`{"backend":"s","address":"10.0.0.11:8080","zone":"a","version":"v1","concurrency":2,"state":"draining","warmup_left_ms":0,"sequence":2,"born":1}`)
				}
			}
		},
		"zone out": func(values *[]catalog.Value) {
			for i := range *values {
				if v := &(*values)[i]; v.Key == "servers/h11" {
					v.Data = []byte(`{"backend":"s","address":"10.0.0.11:8080","zone":"b","version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":2,"born":1}`)
				}
			}
			*values = append(*values, catalog.Value{Key: "op/evacuate/b", Data: []byte(`{}`)})
		},
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			c := newServiceCluster(t)
			before := c.current
			r := c.requester(999, 1)
			for r.open() != addr(11) {
				r = c.requester(r.endpoint.Port-1, 1)
			}
			c.publish(2, edit, "s")
			taken := c.hosts[addr(11)].accepted
			for port := uint16(1000); port < 1100; port++ {
				c.requester(port, 1).open()
			}
			must.Eq(t, taken, c.hosts[addr(11)].accepted)
			must.Len(t, 1, r.send(ack, 0, 50), must.Sprint("an open flow continues"))
			// An entry with an outdated catalog still sends openings to the
			// host; the agent makes the final decision.
			c.addEntryWithCatalog(1, before)
			for port := uint16(2000); port < 2100; port++ {
				c.requester(port, 1).open()
			}
			must.Eq(t, taken, c.hosts[addr(11)].accepted)
		})
	}
}

// Guards against openings circulating among hosts that have just started and
// return all openings for two seconds. Without load they are preferred, so
// each opening was forwarded from one of them to the next.
func TestOpeningReachesTheOnlyAcceptingHost(t *testing.T) {
	c := newServiceCluster(t)
	for n := byte(11); n <= 13; n++ {
		c.hosts[addr(n)].refusing = true
	}
	for port := uint16(1000); port < 1100; port++ {
		r := c.requester(port, 1)
		must.Eq(t, addr(14), r.open())
	}
	deliveries := c.frames[flow.Deliver]
	for port := uint16(2000); port < 2100; port++ {
		c.requester(port, 1).open()
	}
	must.Less(t, 250, c.frames[flow.Deliver]-deliveries, must.Sprint("refusing hosts get no openings for a while"))
}

// Guards against a flow being reset after a paused entry resumes and sends an
// old duplicate of the opening to a second host. That host's agent took over
// the flow and reset it when its host returned the requester's packets.
func TestLateDuplicateOpeningDoesNotChangeOwner(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("restarted ", restarted), func(t *testing.T) {
			c := newServiceCluster(t)
			if restarted {
				c.restartAll()
			}
			for port := uint16(1000); port < 1100; port++ {
				r := c.requester(port, 1)
				owner := r.open()
				acked := c.hosts[owner].initialSeqs[r.key()] + 1
				for n := byte(11); n <= 14; n++ {
					f := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(2), Port: peerPort}}
					if addr(n) != owner {
						opening := packet(syn, r.endpoint, destination(), 1, 0, 0)
						c.agents[addr(n)].HandleFrame(c.now, addr(1), append(f.Append(nil), opening...), &clusterOutput{c, addr(n)})
						c.deliverAll()
						break
					}
				}
				for _, via := range []byte{1, 2} {
					r.entry = via
					answers := r.send(ack, acked, 50)
					must.Len(t, 1, answers)
					must.False(t, answers[0].Rst)
				}
			}
		})
	}
}

// Guards against an agent resetting a flow that its host never accepted. A
// host that was down left an opening unanswered and another host accepted the
// retransmission, but the first entry kept sending to the first agent, which
// reset the flow when its host was up again and returned a packet.
func TestUnacceptedOpeningIsNotAFlow(t *testing.T) {
	c := newServiceCluster(t)
	for port := uint16(1000); port < 1100; port++ {
		r := c.requester(port, 1)
		for _, h := range c.hosts {
			h.down = true
		}
		must.Len(t, 0, r.send(syn, 0, 0))
		for _, h := range c.hosts {
			h.down = false
		}
		r.entry = 2
		owner := r.open()
		acked := c.hosts[owner].initialSeqs[r.key()] + 1
		r.entry = 1
		answers := r.send(ack, acked, 50)
		must.Len(t, 1, answers)
		must.False(t, answers[0].Rst)
		c.now += time.Second
		c.confirmCatalog()
	}
}

// A report on an accepted duplicate of an opening does not override the report
// of the established owner, neither at the entry nor at the keepers.
func TestEstablishedOwnerTakesPrecedenceOverAcceptedDuplicate(t *testing.T) {
	c := newServiceCluster(t)
	for port := uint16(1000); port < 1100; port++ {
		r := c.requester(port, 1)
		owner := r.open()
		acked := c.hosts[owner].initialSeqs[r.key()] + 1
		for n := byte(11); n <= 14; n++ {
			if addr(n) == owner {
				continue
			}
			f := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
			c.agents[addr(n)].HandleFrame(c.now, addr(1), append(f.Append(nil), packet(syn, r.endpoint, destination(), 1, 0, 0)...), &clusterOutput{c, addr(n)})
			c.deliverAll()
			break
		}
		lookups := c.frames[flow.Lookup]
		must.Len(t, 1, r.send(ack, acked, 50))
		must.Eq(t, lookups, c.frames[flow.Lookup], must.Sprint("the entry still knows the owner"))
		c.addEntry(2)
		r.entry = 2
		must.Len(t, 1, r.send(ack, acked, 50))
	}
	must.Eq(t, 0, c.frames[flow.Probe], must.Sprint("the keepers still know the owner"))
}
