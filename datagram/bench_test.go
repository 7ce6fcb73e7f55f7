package datagram_test

import (
	"testing"

	"github.com/turmericrock/turmericrock/flow"
)

// discard is an Output that drops everything.
type discard struct{}

func (discard) ToRequester([4]byte, []byte)               {}
func (discard) ToNode(flow.Endpoint, *flow.Frame, []byte) {}
func (discard) ToHost([]byte)                             {}

// BenchmarkEntryForward forwards a packet of a known flow, without sockets.
func BenchmarkEntryForward(b *testing.B) {
	c, _, data := benchFlow(b)
	e := c.entries[addr(1)]
	b.ReportAllocs()
	for b.Loop() {
		e.HandlePacket(c.now, data, discard{})
	}
}

// BenchmarkAgentDeliver delivers a packet of a known flow to the host, without
// sockets.
func BenchmarkAgentDeliver(b *testing.B) {
	c, r, data := benchFlow(b)
	owner := c.holder(r.key())
	f := flow.Frame{Kind: flow.Deliver, ServiceTag: 1, ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
	framed := append(f.Append(nil), data...)
	b.ReportAllocs()
	for b.Loop() {
		c.agents[owner].HandleFrame(c.now, addr(1), framed, discard{})
	}
}

func benchFlow(b *testing.B) (*cluster, *requester, []byte) {
	c := newCluster(b)
	c.addEntry(1)
	for n := byte(11); n <= 14; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	r := c.requester(1000, 1)
	r.open()
	return c, r, packet(ack, r.endpoint, destination(), 1, 0, 0)
}
