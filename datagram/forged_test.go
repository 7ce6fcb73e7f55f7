package datagram_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// Frames that report on an agent are accepted only from that agent's address.
// Another sender could otherwise have its flows reset or its packets
// redirected.
func TestAgentFramesFromOtherAddressesAreIgnored(t *testing.T) {
	forger, other := [4]byte{10, 9, 9, 9}, [4]byte{10, 9, 9, 8}
	for _, kind := range []flow.Kind{flow.Owned, flow.Closed, flow.Load, flow.NotHeld, flow.AgentStarted, flow.Ping, flow.HostEnded} {
		c := newServiceCluster(t)
		r := c.requester(1000, 1)
		owner := r.open()
		f := flow.Frame{Kind: kind, Key: r.key(), Sender: owner, Established: true, StartedAt: 9_000_000}
		if kind == flow.Owned {
			f.Sender = other
		}
		data := f.Append(nil)
		for a, agent := range c.agents {
			agent.HandleFrame(c.now, forger, data, &clusterOutput{c, a})
		}
		for _, e := range c.entries {
			e.HandleFrame(c.now, forger, data)
		}
		must.SliceEmpty(t, c.queue, must.Sprintf("kind %d is answered", kind))
		for _, via := range []byte{1, 2} {
			r.entry = via
			answers := r.send(ack, 777, 50)
			must.Len(t, 1, answers, must.Sprintf("kind %d", kind))
			must.False(t, answers[0].Rst)
		}
	}
}

func TestForgedPacketsAreDropped(t *testing.T) {
	c := newServiceCluster(t)
	r := c.requester(1000, 1)
	owner := r.open()
	for _, flags := range []byte{syn | ack, returned | ack, returned | syn} {
		forged := packet(flags, r.endpoint, destination(), 1, 0, 0)
		c.entries[addr(1)].HandlePacket(c.now, forged, &clusterOutput{c, addr(1)})
		must.SliceEmpty(t, c.queue, must.Sprint("the entry forwards nothing"))
		f := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1}
		c.agents[owner].HandleFrame(c.now, addr(1), append(f.Append(nil), forged...), &clusterOutput{c, owner})
		must.SliceEmpty(t, c.queue, must.Sprint("the agent forwards nothing"))
	}
}

func TestMalformedDatagramsAreDropped(t *testing.T) {
	c := newServiceCluster(t)
	for _, data := range [][]byte{nil, {16}, make([]byte, 31), append(make([]byte, 32), 1), make([]byte, 2000)} {
		c.entries[addr(1)].HandlePacket(c.now, data, &clusterOutput{c, addr(1)})
		c.entries[addr(1)].HandleFrame(c.now, addr(2), data)
		c.agents[addr(11)].HandleFrame(c.now, addr(2), data, &clusterOutput{c, addr(11)})
		c.agents[addr(11)].HandleHost(c.now, data, &clusterOutput{c, addr(11)})
		must.SliceEmpty(t, c.queue)
	}
}
