package datagram_test

import (
	"testing"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

// newFullQueue returns a cluster at whose agent 256 requests wait.
func newFullQueue(b *testing.B) (*scheduled, []*requester) {
	s := newScheduled(b)
	flows := s.open(1000, heldFrom+256, servicePort)
	for _, r := range flows {
		r.request()
	}
	return s, flows
}

// BenchmarkHeldPacket handles a packet of a request that waits among 256.
func BenchmarkHeldPacket(b *testing.B) {
	s, flows := newFullQueue(b)
	f := flow.Frame{Kind: flow.Deliver, ServiceTag: 1, ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
	r := flows[len(flows)-1]
	framed := append(f.Append(nil), packet(ack, r.endpoint, r.to, 1, 777, 50)...)
	b.ReportAllocs()
	for b.Loop() {
		s.agents[s.at].HandleFrame(s.now, addr(1), framed, discard{})
	}
}

// BenchmarkAnswerAndRelease handles an answer, which releases one of 256 waiting requests,
// and a request that takes its place.
func BenchmarkAnswerAndRelease(b *testing.B) {
	s, flows := newFullQueue(b)
	f := flow.Frame{Kind: flow.Deliver, ServiceTag: 1, ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
	agent, frame := s.agents[s.at], f.Append(nil)
	// Requests are released in the order of their arrival, since they come in that of
	// their objectives and all meet them or none does.
	seq := uint32(51)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := flows[n%len(flows)]
		if n%len(flows) == 0 && n > 0 {
			seq += 50
		}
		s.now += time.Microsecond
		agent.HandleHost(s.now, packet(ack, r.to, r.endpoint, 1, seq, 100), discard{})
		agent.HandleFrame(s.now, addr(1), append(frame, packet(ack, r.endpoint, r.to, seq, 777, 50)...), discard{})
	}
	b.ReportMetric(float64(s.counter("requests_waiting", "")), "waiting")
}
