package datagram_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
)

// unlistHost publishes a catalog without the host, as after its entry has lapsed while the
// store was unavailable.
func (s *scheduled) unlistHost(version int64) {
	s.publish(version, func(values *[]catalog.Value) {
		withTwoRoutes(values)
		*values = (*values)[:1]
	}, "s")
}

// Guards against a host whose entry has lapsed being given one request at a time and one
// more: it has as many slots as before.
func TestUnlistedHostKeepsItsSlots(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, heldFrom+1, servicePort)
	s.unlistHost(2)
	for _, r := range flows {
		r.request()
	}
	must.Len(t, heldFrom, s.requestsAtHost())
}

// Guards against an agent that starts while its host is not listed holding requests that
// the host has slots for.
func TestHostWithUnknownSlotsIsGivenAllRequests(t *testing.T) {
	s := newScheduled(t)
	s.unlistHost(2)
	s.startAgent(11, true)
	for port := uint16(1000); port < 1008; port++ {
		r := s.requester(port, 1)
		s.host.initialSeqs[r.key()], s.host.established[r.key()] = 7, true
		s.answer(r) // The agent learns of the flow.
		s.host.down = true
		frame := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag("s"), ConfigVersion: 2, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		s.agents[s.at].HandleFrame(s.now, addr(1), append(frame.Append(nil), packet(ack, r.endpoint, r.to, 51, 777, 50)...), &clusterOutput{s.cluster, s.at})
		s.deliverAll()
	}
	must.Len(t, 8, s.requestsAtHost())
}

// Guards against an agent that stops holding requests that arrive after it has released
// the others: nothing would release these.
func TestStoppingAgentHoldsNothingMore(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, 8, servicePort)
	for _, r := range flows[:6] {
		r.request()
	}
	s.agents[s.at].ReleaseAll(s.now, &clusterOutput{s.cluster, s.at})
	s.deliverAll()
	for _, r := range flows[6:] {
		r.request()
	}
	must.Len(t, 8, s.requestsAtHost())
}

// A request whose time limit passes between two ticks. Guards against the host working
// for requesters that have given up.
func TestExpiredRequestsAreNotReleased(t *testing.T) {
	for name, release := range map[string]func(s *scheduled, r *requester){
		"answer": func(s *scheduled, r *requester) { s.answer(r) },
		"stop": func(s *scheduled, r *requester) {
			s.agents[s.at].ReleaseAll(s.now, &clusterOutput{s.cluster, s.at})
			s.deliverAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScheduled(t)
			flows := s.open(1000, heldFrom+1, servicePort)
			for _, r := range flows {
				r.request()
			}
			s.now += timeLimit
			release(s, flows[0])
			must.Len(t, heldFrom, s.requestsAtHost())
			must.Eq(t, 1, s.counter("requests_expired", "priority_2"))
			must.Eq(t, 0, s.counter("requests_waiting", ""))
		})
	}
}

// Guards against the packets of flows that a restarted host has lost letting all requests
// through: requesters use such flows for a long time after the restart, and each returned
// packet discarded the count of requests that occupy the host.
func TestReturnedPacketsOfOneRestartResetTheCountOnce(t *testing.T) {
	s := newScheduled(t)
	lost := s.open(1000, 6, servicePort)
	s.now += time.Millisecond
	clear(s.host.initialSeqs)
	s.host.keepsRequests = true
	flows := s.open(2000, 20, servicePort)
	s.host.down = false
	for _, r := range flows {
		r.request()
	}
	must.Len(t, heldFrom, s.requestsAtHost())
	for _, r := range lost {
		s.now += time.Millisecond
		r.sendFrom(1, ack, 777, 0)
	}
	must.Len(t, 2*heldFrom, s.requestsAtHost())
}

// A flow that was opened in advance: its first request is made later. Guards against it
// counting as sent with the opening, past its time limit on arrival.
func TestFirstRequestOfAnIdleFlowIsNotExpired(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, heldFrom+1, servicePort)
	s.tick(2 * time.Second)
	for _, r := range flows {
		r.request()
	}
	s.tick(100 * time.Millisecond)
	s.answer(flows[0])
	must.Eq(t, 0, s.counter("requests_expired", "priority_2"))
	must.Len(t, heldFrom+1, s.requestsAtHost())
}

// A copy of an opening that arrives while the agent is younger than the opening. Guards
// against its request being given more time than its requester waits.
func TestFirstRequestCountsFromTheFirstCopyOfItsOpening(t *testing.T) {
	for _, start := range []time.Duration{600 * time.Millisecond, time.Second} {
		t.Run(start.String(), func(t *testing.T) {
			s := newScheduled(t)
			s.now = start - 400*time.Millisecond
			// At this service time, the host does not count as stalled below.
			s.measureServiceTime(160 * time.Millisecond)
			s.now = start
			busy := s.open(1000, heldFrom, servicePort)
			for _, r := range busy {
				r.request()
			}
			s.host.down = false
			late := s.requester(2000, 1)
			late.send(ack, late.send(syn, 2, 0)[0].Seq+1, 0)
			s.host.down = true
			late.request()
			// The time limit is 1.5 s after the first copy, which is 600 ms older.
			for range 9 {
				s.tick(100 * time.Millisecond)
			}
			must.Eq(t, 1, s.counter("requests_expired", "priority_2"))
			must.Len(t, heldFrom, s.requestsAtHost())
		})
	}
}

// One request takes long while the other slots are idle. Guards against the host counting
// as stalled as soon as its slots are all in use, because it has had no reason to answer.
func TestHostIsNotStalledByOneLongRequest(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, 8, servicePort)
	flows[0].request()
	s.tick(600 * time.Millisecond)
	for _, r := range flows[1:] {
		r.request()
	}
	must.Len(t, heldFrom, s.requestsAtHost())
}

// A restarted agent tries a retransmitted request at its host, whose answer shows that it
// holds the flow and has the request. Guards against a further copy, which arrives after
// the answer, counting as a request: the host would never answer it.
func TestCopyOfARequestAnsweredBeforeAdoptionIsNotCounted(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, heldFrom+1, servicePort)
	s.host.keepsRequests = true
	s.startAgent(11, true)
	r := flows[0]
	r.request()
	s.answer(r)
	r.request()
	must.Eq(t, 0, s.counter("requests_in_service", ""))
	must.Len(t, 2, s.requestsAtHost(), must.Sprint("the host sends its answer again"))
	r.sendFrom(51, ack, 777, 50)
	must.Eq(t, 1, s.counter("requests_in_service", ""))
}

// An agent that did not run for a while, with answers of its host in the socket. Guards
// against time in which it could not receive them counting against the host: it would be
// given all requests at once and reported as failing and slow.
func TestPauseOfTheAgentIsNotTheHosts(t *testing.T) {
	s := newScheduled(t)
	s.measureServiceTime(40 * time.Millisecond)
	flows := s.open(1000, 12, servicePort)
	for _, r := range flows[:10] {
		r.request()
	}
	serviceTime := s.counter("service_time_us", "mean")
	s.now += time.Second
	flows[10].request()
	must.Len(t, heldFrom, s.requestsAtHost())
	s.agents[s.at].Expire(s.now)
	s.confirmCatalog()
	must.Len(t, heldFrom, s.requestsAtHost())
	s.answer(flows[0])
	must.Len(t, heldFrom+1, s.requestsAtHost())
	must.Eq(t, serviceTime, s.counter("service_time_us", "mean"))
	// The silence counts again from then on.
	for range 4 {
		s.tick(100 * time.Millisecond)
	}
	must.Len(t, 11, s.requestsAtHost())
}

// The packets of a request arrive in another order, and it is discarded. Guards against
// the earlier packet counting as a copy of data that the host has, when both are sent
// again: it would go to the host while the rest waits.
func TestDiscardedRequestIsHeldAgainAsAWhole(t *testing.T) {
	s := newScheduled(t)
	s.measureServiceTime(300 * time.Millisecond)
	flows := s.open(1000, heldFrom+1, servicePort)
	for _, r := range flows[:heldFrom] {
		r.request()
	}
	reordered := flows[heldFrom]
	reordered.sendFrom(201, ack, 777, 100)
	reordered.sendFrom(1, ack, 777, 200)
	reordered.sendFrom(301, ack|fin, 777, 0)
	must.Eq(t, 1, s.counter("requests_canceled", "priority_2"))
	reordered.sendFrom(1, ack, 777, 200)
	reordered.sendFrom(201, ack, 777, 100)
	must.SliceNotContains(t, s.requestsAtHost(), reordered.endpoint.Port)
	must.Eq(t, 2, s.counter("requests_waited", "priority_2"))
}

// Guards against a change of the route's time limit ending requests that wait under the
// earlier one.
func TestWaitingRequestKeepsItsTimeLimit(t *testing.T) {
	s := newScheduled(t)
	s.measureServiceTime(300 * time.Millisecond)
	flows := s.open(1000, heldFrom+1, servicePort)
	for _, r := range flows {
		r.request()
	}
	s.publish(2, func(values *[]catalog.Value) {
		withTwoRoutes(values)
		(*values)[0].Data = []byte(strings.ReplaceAll(string((*values)[0].Data), `"timeout_ms":1500`, `"timeout_ms":200`))
	}, "s")
	for range 4 {
		s.tick(100 * time.Millisecond)
	}
	s.agents[s.at].Expire(s.now)
	must.Eq(t, 1, s.counter("requests_waiting", ""))
	s.tick(0)
	must.SliceContains(t, s.requestsAtHost(), flows[heldFrom].endpoint.Port)
}

// Guards against memory that grows with the routes that there have been.
func TestServiceTimesOfRemovedRoutesAreDiscarded(t *testing.T) {
	s := newScheduled(t)
	s.measureServiceTime(40 * time.Millisecond)
	must.Eq(t, 2, s.agents[s.at].RouteTimes())
	s.publish(2, nil, "s")
	s.agents[s.at].Expire(s.now)
	must.Eq(t, 1, s.agents[s.at].RouteTimes())
}

// A host that answers nothing has been given all requests, so that none waits here. Guards
// against the empty queue being taken for a host that soon releases late requests.
func TestStalledHostAdmitsFewLateRequests(t *testing.T) {
	s := newScheduled(t)
	s.measureServiceTime(40 * time.Millisecond)
	flows := s.open(1000, 100, servicePort)
	for _, r := range flows {
		r.request()
	}
	for range 4 {
		s.tick(100 * time.Millisecond)
	}
	must.Len(t, len(flows), s.requestsAtHost())
	s.host.down = false
	answers := s.requester(2000, 1).send(syn, 0, 0)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}

// The same for a host whose entry has lapsed. Guards against resetting open flows of a
// living host because the agent could not receive its answer.
func TestPauseOfTheAgentDoesNotEndFlowsOfAnUnlistedHost(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, 2, servicePort)
	s.unlistHost(2)
	for range 30 {
		s.tick(100 * time.Millisecond)
	}
	flows[0].request()
	s.now += time.Second
	must.SliceEmpty(t, flows[1].sendFrom(1, ack, 777, 50))
	// Without a pause, the silence shows that the host has stopped.
	for range 7 {
		s.tick(100 * time.Millisecond)
	}
	answers := flows[1].sendFrom(51, ack, 777, 50)
	must.Len(t, 1, answers)
	must.True(t, answers[0].Rst)
}
