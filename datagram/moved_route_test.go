package datagram_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// newMovedRoute returns a cluster of two entries in which one host of service s holds
// open flows of a route that has moved to service u, which has four hosts. No process
// knows the earlier configuration any more.
func newMovedRoute(t *testing.T) (*cluster, []*requester) {
	c := newCluster(t)
	c.addEntry(1)
	c.addEntry(2)
	c.addHost(11, "s")
	for n := byte(12); n <= 15; n++ {
		c.addHost(n, "u")
	}
	c.publish(1, nil, "s")
	flows := c.openFlows(1000, 30)
	c.publish(2, nil, "u")
	c.advance(hostListSettleTime)
	c.tracker = nil
	c.publish(3, nil, "u")
	c.hosts[addr(11)].received = nil
	return c, flows
}

// handOver makes the former service of the route known to all processes, as a peer does
// that has seen the earlier configuration.
func (c *cluster) handOver() {
	c.tracker.AdoptFormerServices(map[flow.Endpoint][]catalog.FormerService{destination(): {{Service: "s", LeftAt: c.now}}})
	c.knowConfigs()
}

// requireFewTrials requires that hosts which do not hold a flow got at most two packets
// of it if they are of one of the services, and otherwise none.
func (c *cluster) requireFewTrials(services ...string) {
	c.t.Helper()
	for a, h := range c.hosts {
		limit := 0
		if slices.Contains(services, h.service) {
			limit = 2
		}
		for key, packets := range h.unheldPackets {
			must.LessEq(c.t, limit, packets, must.Sprintf("packets of %v at %v of service %s", key, a, h.service))
		}
	}
}

// Guards against packets reaching the hosts of the new service and not the flow's own
// host, after a route has moved and all agents have restarted (incident route-moved):
// the agent beside the own host neither tried the packets there nor answered a search,
// because the configuration does not name the host's service. Where no process knows that
// service, the flows are not found, but neither reset nor tried at a host of it.
func TestFlowsOfAMovedRouteAreFoundAfterAgentsRestart(t *testing.T) {
	restarts := map[string]func(c *cluster, flows []*requester){
		"the entry has the owner": func(*cluster, []*requester) {},
		"another entry": func(_ *cluster, flows []*requester) {
			for _, r := range flows {
				r.entry = 2
			}
		},
		"entries restart as well": func(c *cluster, _ []*requester) {
			c.addEntry(1)
			c.addEntry(2)
		},
		"all restart at once": func(c *cluster, _ []*requester) {
			c.restartAllAtOnce()
			c.advance(hostListSettleTime)
		},
	}
	knowledge := map[string]func(c *cluster){
		"nobody knows the former service": func(*cluster) {},
		"all know it":                     (*cluster).handOver,
		"the agent beside its host knows it": func(c *cluster) {
			without := c.current
			c.handOver()
			c.catalogs = map[[4]byte]*catalog.Catalog{addr(11): c.current}
			c.current = without
		},
		"the agents of the new service know it": func(c *cluster) {
			c.catalogs = map[[4]byte]*catalog.Catalog{addr(11): c.current}
			c.handOver()
		},
	}
	for restartName, restart := range restarts {
		for knowledgeName, inform := range knowledge {
			t.Run(restartName+", "+knowledgeName, func(t *testing.T) {
				c, flows := newMovedRoute(t)
				c.restartAgentsAtOnce()
				restart(c, flows)
				inform(c)
				found := restartName == "the entry has the owner" || knowledgeName != "nobody knows the former service"
				for _, r := range flows {
					if found {
						// A keeper that does not know the service finds nothing. The other
						// one searches at the third copy at the latest.
						answers := r.sendWithRetries(200, 400)
						must.Len(t, 1, answers)
						must.False(t, answers[0].Rst)
						continue
					}
					must.Len(t, 0, r.sendWithRetries(200, 400, 800), must.Sprint("neither found nor reset"))
				}
				c.requireFewTrials("u")
				if !found {
					must.SliceEmpty(t, c.hosts[addr(11)].received)
				}
			})
		}
	}
}

// Guards against every agent being asked for each flow of a moved route: the first flows
// that are found show which service holds them, and its agents in the requester's zone
// are asked first from then on.
func TestAgentsOfOtherZonesAreNotAskedForEachFlowOfAMovedRoute(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s")
	for n := byte(12); n <= 21; n++ {
		c.addHost(n, "u")
	}
	inZone := func(host [4]byte) bool { return host[3] <= 14 }
	c.publishWithZones(1, inZone, "u")
	flows := c.openFlows(1000, 200)
	c.tracker = nil
	c.publishWithZones(2, inZone, "s")
	c.restartAgentsAtOnce()
	c.addEntry(2)
	c.advance(recoveryTime / 2)
	clear(c.frames)
	for i, r := range flows {
		must.True(t, inZone(c.holder(r.key())))
		if i >= 20 {
			// The first entry has cached the owners of the flows, the second has not.
			r.entry = 2
		}
		r.requireServed()
	}
	must.LessEq(t, 6*len(flows), c.frames[flow.Query], must.Sprint("asked of the 11 agents, on average"))
	for _, h := range c.hosts {
		for key, packets := range h.unheldPackets {
			must.LessEq(t, 2, packets, must.Sprint(key))
		}
	}
}

// Guards against packets reaching a host of another service while the hosts of the
// route's own service can still hold the flow: one is slow to answer.
func TestOtherServicesAreNotTriedWhileTheOwnHostIsBusy(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s")
	other := c.addHost(12, "u")
	c.publish(1, nil, "s")
	r := c.requester(1000, 1)
	r.open()
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	c.hosts[addr(11)].down = true
	for _, pause := range []time.Duration{200, 400} {
		must.Len(t, 0, r.send(ack, 777, 50))
		c.advance(pause * time.Millisecond)
	}
	must.MapEmpty(t, other.unheldPackets)
	c.hosts[addr(11)].down = false
	r.requireServed()
	must.MapEmpty(t, other.unheldPackets)
}

// Guards against a flow of a moved route being found only after its requester has given
// up, because an agent of the route's own service does not answer the search. All know the
// former service.
func TestFlowOfAMovedRouteIsFoundWhileAnAgentOfTheNewServiceIsSilent(t *testing.T) {
	for name, disturb := range map[string]func(c *cluster){
		"agent cut off": func(c *cluster) { c.isolated[addr(12)] = true },
		"host silent":   func(c *cluster) { c.hosts[addr(12)].down = true },
	} {
		t.Run(name, func(t *testing.T) {
			c, flows := newMovedRoute(t)
			c.restartAllAtOnce()
			c.handOver()
			c.advance(hostListSettleTime)
			disturb(c)
			for _, r := range flows {
				served := false
				for _, pause := range []time.Duration{200, 400, 800, 1600} {
					answers := r.send(ack, 777, 50)
					for c.now += pause * time.Millisecond; len(answers) == 0 && pause > 0; pause -= 100 {
						c.confirmCatalog()
						answers = c.toRequester
					}
					if served = len(answers) > 0; served {
						must.False(t, answers[0].Rst)
						break
					}
				}
				must.True(t, served, must.Sprint(r.key()))
			}
		})
	}
}

// Guards against an agent that cannot know all flows of its host denying one, and against
// further packets of the flow reaching a host of another service that is paused. The host
// gets one packet if an entry takes it for the owner, and otherwise none.
func TestPausedHostOfAnotherServiceGetsAtMostOnePacket(t *testing.T) {
	for entry, limit := range map[byte]int{1: 1, 2: 0} {
		t.Run(fmt.Sprint("entry ", entry), func(t *testing.T) {
			c, flows := newMovedRoute(t)
			c.restartAgentsAtOnce()
			c.addEntry(2)
			c.advance(hostListSettleTime)
			c.hosts[addr(11)].down = true
			sent := 0
			c.onHostPacket = func(at [4]byte) {
				if at == addr(11) {
					sent++
				}
			}
			flows[0].entry = entry
			for range 5 {
				must.Len(t, 0, flows[0].send(ack, 777, 50), must.Sprint("the flow is not reset"))
				c.advance(400 * time.Millisecond)
			}
			must.Eq(t, limit, sent)
		})
	}
}

// Guards against an agent trying a second packet at the host of another service while its
// host is running: the entry's cache names the wrong owner.
func TestHostOfAnotherServiceThatAnEntryNamesGetsOnePacket(t *testing.T) {
	c, flows := newMovedRoute(t)
	c.hosts[addr(11)].initialSeqs = make(map[flow.Key]uint32)
	c.restartAgentsAtOnce()
	c.advance(hostListSettleTime)
	for _, r := range flows {
		r.sendWithRetries(200, 400, 800)
		must.LessEq(t, 1, c.hosts[addr(11)].unheldPackets[r.key()])
	}
}

// Guards against a packet that no host answers being the only one that is tried at the
// host of another service.
func TestAcknowledgementIsNotTriedAtAnotherService(t *testing.T) {
	for name, restart := range map[string]func(c *cluster){
		"all agents restart":          func(c *cluster) { c.restartAgentsAtOnce() },
		"the entry has not restarted": func(c *cluster) { c.startAgent(11, true) },
	} {
		t.Run(name, func(t *testing.T) {
			c, flows := newMovedRoute(t)
			restart(c)
			c.advance(hostListSettleTime)
			must.Len(t, 0, flows[0].send(ack, 777, 0))
			flows[0].requireServed()
			c.requireFewTrials("u")
		})
	}
}

// Guards against a search by the hosts of the new service where an entry or a keeper
// knows the owner: its agent alone has restarted.
func TestFlowOfAMovedRouteIsTriedWhereItsOwnerIsKnown(t *testing.T) {
	c, flows := newMovedRoute(t)
	c.startAgent(11, true)
	for i, r := range flows {
		first, second, _ := steering.Keepers(c.current, r.key().Hash())
		if first == addr(11) || second == addr(11) {
			continue // A keeper that has restarted has no records.
		}
		r.entry = byte(1 + i%2)
		r.requireServed()
	}
	must.Eq(t, 0, c.frames[flow.Query])
	must.Eq(t, 0, c.unheldPackets())
}

// Guards against a flow of a moved route being searched for at the hosts of the new
// service because the host that keepers have recorded is no longer listed.
func TestFlowOfAMovedRouteIsTriedAtItsUnlistedOwner(t *testing.T) {
	c, flows := newMovedRoute(t)
	c.publish(4, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == "servers/h11" })
	}, "u")
	c.startAgent(11, true)
	for _, r := range flows {
		r.entry = 2
		r.requireServed()
	}
	must.Eq(t, 0, c.frames[flow.Query])
}

// Guards against packets being tried at a host that started with its agent, which has
// seen all flows of the host.
func TestFlowIsNotTriedAtANewHostOfAnotherService(t *testing.T) {
	c, flows := newMovedRoute(t)
	clear(c.hosts[addr(11)].initialSeqs)
	c.publish(4, func(values *[]catalog.Value) {
		for i := range *values {
			if v := &(*values)[i]; v.Key == "servers/h11" {
				v.Data = bytes.Replace(v.Data, []byte(`"born":1`), []byte(`"born":1000000`), 1)
			}
		}
	}, "u")
	c.knowConfigs()
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	flows[0].requireReset()
	must.MapEmpty(t, c.hosts[addr(11)].unheldPackets)
	c.addEntry(2)
	c.entries[addr(2)].HandleFrame(c.now, addr(11), (&flow.Frame{Kind: flow.Owned, Key: flows[1].key(), Sender: addr(11)}).Append(nil))
	flows[1].entry = 2
	flows[1].requireReset()
	must.MapEmpty(t, c.hosts[addr(11)].unheldPackets, must.Sprint("by an entry's cache"))
}

// Guards against packets of a flow reaching hosts of other services, or the flow being
// reset, when the hosts of its own service have answered that they do not hold it: agents
// of other services that have restarted cannot tell.
func TestNoPacketOfARequestIsSentToOtherServices(t *testing.T) {
	const others, packets, copies = 10, 4, 3
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "u")
	for n := byte(12); n < 12+others; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	r := c.requester(1000, 1)
	clear(c.hosts[r.open()].initialSeqs)
	c.tracker = nil
	c.publish(2, nil, "u")
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	clear(c.frames)
	c.toRequester = nil
	for range packets {
		c.entries[addr(1)].HandlePacket(c.now, packet(ack, r.endpoint, destination(), 1, 777, 50), &clusterOutput{c, addr(1)})
	}
	c.deliverAll()
	for range copies {
		c.advance(200 * time.Millisecond)
		c.entries[addr(1)].HandlePacket(c.now, packet(ack, r.endpoint, destination(), 1, 777, 50), &clusterOutput{c, addr(1)})
		c.deliverAll()
	}
	must.Positive(t, c.frames[flow.Query])
	must.LessEq(t, packets+copies, c.frames[flow.Probe], must.Sprint("to the agent of the own service only"))
	must.SliceEmpty(t, c.toRequester)
	c.requireFewTrials("u")
}

// Guards against flows being left unreset after their hosts have lost them, although the
// host of the former service that was tried says so.
func TestLostFlowOfAMovedRouteIsReset(t *testing.T) {
	c, flows := newMovedRoute(t)
	clear(c.hosts[addr(11)].initialSeqs)
	c.restartAllAtOnce()
	c.handOver()
	c.advance(hostListSettleTime)
	for i, r := range flows {
		answers := r.send(ack, 777, 50)
		must.Len(t, 1, answers, must.Sprint(fmt.Sprint("flow ", i)))
		must.True(t, answers[0].Rst)
	}
	c.requireFewTrials("s", "u")
}

// unlistFirst publishes the catalog of a moved route without the entry of the first host,
// and restarts all processes, of which none knows the former service.
func (c *cluster) unlistFirst() {
	c.tracker = nil
	c.publish(4, func(values *[]catalog.Value) {
		*values = slices.DeleteFunc(*values, func(v catalog.Value) bool { return v.Key == "servers/h11" })
	}, "u")
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
}

// Guards against a flow of a moved route being reset while its host lives, because the
// entry of the host has lapsed and its agent, of another service, is not asked. The flow is
// found if the former service is known.
func TestFlowOfAMovedRouteIsNotResetAtAnUnlistedHost(t *testing.T) {
	c, flows := newMovedRoute(t)
	c.unlistFirst()
	for _, r := range flows[:10] {
		must.SliceEmpty(t, r.sendWithRetries(200, 400, 800))
	}
	c.requireFewTrials("u")
	must.SliceEmpty(t, c.hosts[addr(11)].received)
	c.handOver()
	for _, r := range flows {
		answers := r.sendWithRetries(200)
		must.Len(t, 1, answers)
		must.False(t, answers[0].Rst)
	}
	c.requireFewTrials("u")
}

// Guards against a packet of each lost flow being sent to each unlisted host of another
// service after a loss of power: an agent that has seen its host down knows its flows.
func TestLostFlowIsNotTriedAtAnUnlistedHostThatWasDown(t *testing.T) {
	c, flows := newMovedRoute(t)
	c.hosts[addr(11)].wasDown = true
	clear(c.hosts[addr(11)].initialSeqs)
	c.unlistFirst()
	c.knowConfigs()
	for _, r := range flows {
		r.requireReset()
	}
	must.MapEmpty(t, c.hosts[addr(11)].unheldPackets)
}

// Guards against a search that goes on after the flow was found, asks other zones, and
// tries the flow's packet at the hosts of other services: the searching agent was the owner
// itself, which tells only others that it is, or no keeper of the flow.
func TestSearchEndsOnceTheFlowIsFound(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 15; n++ {
		c.addHost(n, "s")
	}
	other := c.addHost(16, "u")
	c.publishWithZones(1, func(host [4]byte) bool { return host[3] <= 12 }, "s")
	flows := c.openFlows(1000, 60)
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	for _, r := range flows {
		r.requireServed()
	}
	queries := c.frames[flow.Query]
	for range 20 {
		c.advance(100 * time.Millisecond)
	}
	must.Eq(t, queries, c.frames[flow.Query])
	for _, r := range flows {
		r.requireServed()
	}
	must.MapEmpty(t, other.unheldPackets)
}

// Guards against the same where the searching agent is neither the owner nor a keeper of
// the flow, so that the owner's announcements do not reach it.
func TestSearchOfAnAgentThatIsNoKeeperEndsOnceTheFlowIsFound(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 16; n++ {
		c.addHost(n, "s")
	}
	c.publishWithZones(1, func(host [4]byte) bool { return host[3] <= 13 }, "s")
	r := c.requester(1000, 1)
	owner := r.open()
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	first, second, _ := steering.Keepers(c.current, r.key().Hash())
	f := flow.Frame{Kind: flow.Lookup, ServiceTag: catalog.Tag("s"), Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}, OriginZone: catalog.ZoneTag("a")}
	f.AddAvoid(first)
	f.AddAvoid(second)
	for _, agent := range c.current.Agents {
		if agent != owner && agent != first && agent != second {
			data := packet(ack, r.endpoint, destination(), 1, 777, 50)
			c.agents[agent].HandleFrame(c.now, addr(1), append(f.Append(nil), data...), &clusterOutput{c, agent})
			break
		}
	}
	c.deliverAll()
	queries := c.frames[flow.Query]
	must.Positive(t, queries)
	must.Len(t, 1, c.toRequester)
	for range 5 {
		c.advance(100 * time.Millisecond)
	}
	must.Eq(t, queries, c.frames[flow.Query])
}
