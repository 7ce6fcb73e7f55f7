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
		p.everNamed = true
		p.target = map[string]string{"s": "u", "u": "s"}[p.target]
		p.publishNext()
	}},
	{"agent of the other service restarts", func(p *ownerProtocol) {
		p.startAgentAt(14, true, time.Unix(int64(p.now/time.Second), 0))
	}},
	{"all agents restart and know the last configuration only", func(p *ownerProtocol) {
		version := p.current.Config.Version
		p.tracker, p.forgotten = nil, true
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

// names reports whether the catalog tells that the service holds or held the route, which
// all running processes then know.
func (p *ownerProtocol) names(service string) bool {
	return p.current.Config.Routes[destination()].MayHoldFlows(service)
}

// canTell reports whether each agent of the service, if the catalog does not name it, has
// run for as long as its host, so that it can answer for the host's flows.
func (p *ownerProtocol) canTell(service string) bool {
	if p.names(service) {
		return true
	}
	for a, h := range p.hosts {
		if h.service == service && p.restarted[a] {
			return false
		}
	}
	return true
}

// checkMoved checks the observed flow. Where some process knows the services that may hold
// it, it is found, or reset if it is lost. In the other sequences it is not reset while its
// host holds it, and no packet of it reaches a host of a service that is not known to hold
// flows of the route, but for the one that an entry's cache or a keeper's record brings to
// the owner.
func (p *ownerProtocol) checkMoved(sequence string) {
	other := p.hosts[addr(14)]
	if !p.everNamed {
		must.MapEmpty(p.t, other.unheldPackets, must.Sprint(sequence))
	}
	clear(other.unheldPackets)
	// Announcements of unlisted hosts are repeated, so that the loss of one is no matter.
	for range 3 {
		p.advance(100 * time.Millisecond)
	}
	known := p.canTell("s") && p.canTell("u")
	if known || p.flowHeld && p.names("s") {
		p.checkFlow(sequence)
	} else {
		p.finalRequests(sequence)
		must.False(p.t, p.flowHeld && p.reset, must.Sprintf("%s: a flow that the host holds was reset", sequence))
	}
	limit := 0
	if p.names("u") {
		limit = 2
	}
	must.LessEq(p.t, limit, other.unheldPackets[p.flows[0].key()], must.Sprintf("%s: packets at a host of another service", sequence))
	must.Eq(p.t, 0, other.accepted, must.Sprint(sequence))
}

// Guards against a flow being reset, or not found although a process knows where its route
// was before, or its packets reaching the host of another service, because agents restarted.
func TestMovedRouteUnderAllEventSequences(t *testing.T) {
	runSequences(t, *movedLength, slices.Concat(protocolEvents, movedEvents), (*ownerProtocol).checkMoved)
}
