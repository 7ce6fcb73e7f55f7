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

// BenchmarkAgentOpening accepts openings, each as a retransmission by a host that has
// answered none, or passes them on.
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
