package datagram_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// movedLength is the number of events in each sequence with a route that moves.
var movedLength = flag.Int("datagram.moved", 3, "events in each sequence of TestMovedRouteUnderAllEventSequences")

// movedEvents are events that take away what agents know of a route.
var movedEvents = []protocolEvent{
	{"route moves", func(p *ownerProtocol) {
		p.target = map[string]string{"s": "u", "u": "s"}[p.target]
		p.publishNext()
	}},
	{"agent of the other service restarts", func(p *ownerProtocol) {
		p.startAgentAt(14, true, time.Unix(int64(p.now/time.Second), 0))
	}},
	{"all agents restart and know the last configuration only", func(p *ownerProtocol) {
		version := p.current.Config.Version
		p.tracker = nil
		p.publishNext()
		must.Greater(p.t, version, p.current.Config.Version)
		for n := byte(11); n <= 14; n++ {
			p.isolated[addr(n)] = true
		}
		for n := byte(11); n <= 14; n++ {
			p.startAgentAt(n, true, time.Unix(int64(p.now/time.Second), 0))
		}
		clear(p.isolated)
	}},
}

// checkMoved checks the invariants of the observed flow, and that the host of the other
// service got at most one packet of it at the end, or two if the route names its service.
func (p *ownerProtocol) checkMoved(sequence string) {
	other := p.hosts[addr(14)]
	packets := other.unheldPackets[p.flows[0].key()]
	must.LessEq(p.t, 2**movedLength, packets, must.Sprint(sequence))
	clear(other.unheldPackets)
	// Announcements of unlisted hosts are repeated, so that the loss of one is no matter.
	for range 3 {
		p.advance(100 * time.Millisecond)
	}
	p.checkFlow(sequence)
	limit := 1
	if p.target == "u" {
		limit = 2
	}
	must.LessEq(p.t, limit, other.unheldPackets[p.flows[0].key()], must.Sprintf("%s: packets at a host of another service", sequence))
	must.Eq(p.t, 0, other.accepted, must.Sprint(sequence))
}

// Guards against a flow being reset, or not found, or strewn over the hosts of another
// service, because agents that restarted do not know where its route was before.
func TestMovedRouteUnderAllEventSequences(t *testing.T) {
	runSequences(t, *movedLength, slices.Concat(protocolEvents, movedEvents), (*ownerProtocol).checkMoved)
}
