package datagram_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// Guards against searches that ask every agent again with each copy of a packet.
func TestASearchAsksEachAgentOnce(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	clear(c.hosts[r.open()].initialSeqs)
	c.restartAll()
	for range 4 {
		c.now += 400 * time.Millisecond
		must.Len(t, 0, r.send(ack, 777, 50))
	}
	must.LessEq(t, 2*(len(c.agents)-1), c.frames[flow.Probe], must.Sprint("each of two keepers asks each other agent"))
}

// Guards against a restart of all processes flooding the links between zones: each
// search sent its packet to every agent.
func TestASearchAsksWithoutThePacketFirstInTheZone(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 22; n++ {
		c.addHost(n, "s")
	}
	inZone := func(host [4]byte) bool { return host[3] <= 14 }
	c.publishWithZones(1, inZone, "s")
	flows := c.openFlows(1000, 40)
	for _, r := range flows {
		must.True(t, inZone(c.holder(r.key())))
	}
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	clear(c.frames)
	for _, r := range flows {
		r.requireServed()
	}
	must.LessEq(t, 4*len(flows), c.frames[flow.Query], must.Sprint("the four agents of the zone"))
	must.LessEq(t, 4*len(flows), c.frames[flow.Probe])

	// A flow of a host in another zone is found as well.
	far := c.requester(3000, 1)
	for a := range c.hosts {
		c.hosts[a].refusing = inZone(a)
	}
	must.False(t, inZone(far.open()))
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	far.requireServed()
}

// publishWithZones publishes a catalog in which the hosts are in zone a, which is that
// of the entries, or in zone b.
func (c *cluster) publishWithZones(version int64, inZone func(host [4]byte) bool, target string) {
	c.publish(version, func(values *[]catalog.Value) {
		for i := range *values {
			for a := range c.hosts {
				if (*values)[i].Key == fmt.Sprintf("servers/h%d", a[3]) && !inZone(a) {
					(*values)[i].Data = bytes.Replace((*values)[i].Data, []byte(`"zone":"a"`), []byte(`"zone":"b"`), 1)
				}
			}
		}
	}, target)
}

// Agents of an earlier version do not answer questions without a packet. They are
// sent the next copy of the packet.
func TestASearchFallsBackToSendingThePacket(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	r.open()
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	c.dropKind = flow.Query
	must.Len(t, 0, r.send(ack, 777, 50))
	c.now += 200 * time.Millisecond
	r.requireServed()
}

// Guards against packets with invented addresses exhausting an agent's memory by the
// searches that they start.
func TestSearchesForInventedFlowsAreBounded(t *testing.T) {
	c := newServiceCluster(t)
	c.restartAllAtOnce()
	c.dropKind = flow.Query
	a := c.agents[addr(11)]
	data := packet(ack, flow.Endpoint{}, destination(), 1, 777, 1000)
	for n := range 20_000 {
		binary.LittleEndian.PutUint32(data[10:], uint32(n)) // The source address.
		f := flow.Frame{Kind: flow.Lookup, ServiceTag: catalog.Tag("s"), Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		f.AddAvoid(addr(12))
		f.AddAvoid(addr(13))
		f.AddAvoid(addr(14))
		a.HandleFrame(c.now, addr(1), append(f.Append(nil), data...), &clusterOutput{c, addr(11)})
		c.queue = nil
	}
	must.LessEq(t, 3*8192, c.frames[flow.Query], must.Sprint("questions of at most 8,192 searches to three agents"))
	must.Greater(t, 3*1000, c.frames[flow.Query])
}
