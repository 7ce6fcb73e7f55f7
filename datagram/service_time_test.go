package datagram_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// Guards against a slow host getting as many flows as the others while it has no
// unanswered requests, and against it being avoided after it has recovered.
func TestSlowHostGetsFewOpeningsUntilItRecovers(t *testing.T) {
	c := newServiceCluster(t)
	slow := addr(12)
	for _, h := range c.hosts {
		h.serviceTime = 10 * time.Millisecond
	}
	must.Between(t, 15, c.countOpeningsAt(slow, 1000), 35)
	c.hosts[slow].serviceTime = 80 * time.Millisecond
	c.countOpeningsAt(slow, 2000)
	must.LessEq(t, 10, c.countOpeningsAt(slow, 3000))
	c.hosts[slow].serviceTime = 10 * time.Millisecond
	for first := uint16(4000); first < 6000; first += 100 {
		c.countOpeningsAt(slow, first)
	}
	must.Greater(t, 15, c.countOpeningsAt(slow, 6000), must.Sprint("it receives openings again"))
}

// An agent that passes openings on knows one idle host that exceeds the target latency
// of 100 ms, and two loaded ones that are faster. Guards against the agent placing flows
// without the target latency of their route.
func TestAgentPassesOpeningsOnByTargetLatency(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 14; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	agent := c.agents[addr(11)]
	for n, report := range map[byte]flow.Frame{12: {Busy: 4, ServiceMillis: 60}, 13: {ServiceMillis: 110}, 14: {Busy: 4, ServiceMillis: 60}} {
		report.Kind, report.Sender, report.ServiceTag = flow.Load, addr(n), catalog.Tag("s")
		agent.HandleFrame(c.now, addr(n), report.Append(nil), &clusterOutput{c, addr(11)})
	}
	c.hosts[addr(11)].refusing = true
	for port := uint16(1000); port < 1020; port++ {
		r := c.requester(port, 1)
		frame := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 1, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		agent.HandleFrame(c.now, addr(1), append(frame.Append(nil), packet(syn, r.endpoint, destination(), 1, 0, 0)...), &clusterOutput{c, addr(11)})
		c.deliverAll()
	}
	must.LessEq(t, 2, c.hosts[addr(13)].accepted)
}
