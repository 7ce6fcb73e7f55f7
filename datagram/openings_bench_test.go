package datagram_test

import (
	"testing"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// BenchmarkEntryPlace places the openings of new flows among four hosts.
func BenchmarkEntryPlace(b *testing.B) {
	c, r, _ := benchFlow(b)
	e, n := c.entries[addr(1)], uint16(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		r.endpoint.Port = n
		e.HandlePacket(c.now, packet(syn, r.endpoint, destination(), 1, 0, 0), discard{})
	}
}

// BenchmarkAgentOpening accepts openings of new flows and, once the ports repeat, passes
// on copies of openings that the host has left unanswered.
func BenchmarkAgentOpening(b *testing.B) {
	c, r, _ := benchFlow(b)
	n := uint16(0)
	f := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
	b.ReportAllocs()
	for b.Loop() {
		n++
		r.endpoint.Port = n
		framed := append(f.Append(nil), packet(syn, r.endpoint, destination(), 1, 0, 0)...)
		c.agents[addr(11)].HandleFrame(c.now, addr(1), framed, discard{})
	}
}

// BenchmarkExplain explains a flow at an entry among 120 hosts. The entry handles no
// packets meanwhile.
func BenchmarkExplain(b *testing.B) {
	c := newCluster(b)
	c.addEntry(1)
	for n := byte(11); n <= 130; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	c.openFlows(1000, 500)
	r := c.requester(2000, 1)
	b.ReportAllocs()
	for b.Loop() {
		r.explainAtEntry()
	}
}
