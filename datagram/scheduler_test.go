package datagram_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

const (
	// urgentPort is the port of a route of priority 1; that of servicePort has
	// priority 2. Both have an objective of 300 ms and a time limit of 1.5 s.
	urgentPort = 8080
	objective  = 300 * time.Millisecond
	timeLimit  = 1500 * time.Millisecond
	// heldFrom is how many requests the host of two slots is given before others wait.
	heldFrom = 3
)

// scheduled is a cluster of one host whose answers the test gives.
type scheduled struct {
	*cluster
	host *host
	at   [4]byte
}

// newScheduled returns a cluster whose host accepts flows and leaves requests
// unanswered until answer is called.
func newScheduled(t testing.TB) *scheduled {
	c := newCluster(t)
	c.addEntry(1)
	s := &scheduled{cluster: c, host: c.addHost(11, "s"), at: addr(11)}
	c.publish(1, withTwoRoutes, "s")
	return s
}

// withTwoRoutes gives the route an objective and a time limit, and adds a route of
// higher priority.
func withTwoRoutes(values *[]catalog.Value) {
	config := string((*values)[0].Data)
	begin, end := strings.Index(config, `{"name":"r"`), strings.Index(config, `],"services"`)
	route := strings.ReplaceAll(config[begin:end], `"target_latency_ms":100`, `"target_latency_ms":300,"timeout_ms":1500`)
	urgent := strings.NewReplacer(`"name":"r"`, `"name":"r1"`, "/8443/", "/8080/", `"priority":2`, `"priority":1`).Replace(route)
	(*values)[0].Data = []byte(config[:begin] + route + "," + urgent + config[end:])
}

// open opens flows of the route with the given port.
func (s *scheduled) open(first, count, routePort uint16) []*requester {
	s.host.down = false
	var flows []*requester
	for port := first; port < first+count; port++ {
		r := s.requester(port, 1)
		r.to.Port = routePort
		r.open()
		flows = append(flows, r)
	}
	s.host.down = true
	return flows
}

// request sends the flow's first request of one packet.
func (r *requester) request() { r.sendFrom(1, ack, 777, 50) }

// requestsAtHost returns the ports of the requesters whose requests reached the host, in
// the order of arrival.
func (s *scheduled) requestsAtHost() []uint16 {
	var ports []uint16
	for _, p := range s.host.received {
		if p.Size > 0 {
			ports = append(ports, p.Src.Port)
		}
	}
	return ports
}

// answer lets the host answer the request of a flow.
func (s *scheduled) answer(r *requester) {
	s.agents[s.at].HandleHost(s.now, packet(ack, r.to, r.endpoint, s.host.initialSeqs[r.key()], 51, 100), &clusterOutput{s.cluster, s.at})
	s.deliverAll()
}

// measureServiceTime lets the host answer a request of each route, so that the agent knows
// how long they take.
func (s *scheduled) measureServiceTime(took time.Duration) {
	for _, port := range []uint16{servicePort, urgentPort} {
		r := s.open(port, 1, port)[0]
		r.request()
		s.now += took
		s.answer(r)
	}
	s.host.received = nil
}

// tick lets time pass.
func (s *scheduled) tick(by time.Duration) {
	s.now += by
	s.confirmCatalog()
}

// counter returns the value of a metric of the agent for a cause, or, if the cause is empty,
// the sum of its values.
func (s *scheduled) counter(name, cause string) int64 {
	value := int64(0)
	s.agents[s.at].Collect(func(m metrics.Sample) {
		if m.Name == name && (cause == "" || m.Cause == cause) {
			value += m.Value
		}
	})
	return value
}

// Guards against urgent requests that wait in the host's own queue behind others: what
// exceeds the host's slots is held, and the order is decided at each answer.
func TestUrgentRequestsGoFirstWhenTheHostIsBusy(t *testing.T) {
	s := newScheduled(t)
	s.measureServiceTime(40 * time.Millisecond)
	low, urgent := s.open(1000, 20, servicePort), s.open(2000, 1, urgentPort)
	for _, r := range low {
		r.request()
		s.now += time.Millisecond
	}
	must.Len(t, heldFrom, s.requestsAtHost())
	urgent[0].request()
	must.Len(t, heldFrom, s.requestsAtHost())
	// At this service time the backlog takes longer than the objective.
	s.answer(low[0])
	must.Len(t, heldFrom+1, s.requestsAtHost())
	must.Eq(t, urgent[0].endpoint.Port, s.requestsAtHost()[heldFrom])
	must.Eq(t, 17, s.counter("requests_waited", "priority_2"))
	must.Eq(t, 1, s.counter("requests_waited", "priority_1"))
}

// Guards against a retransmission of a packet that waits being passed on or queued twice,
// and against packets of a request changing their order.
func TestHeldPacketsAreSentOnceAndInOrder(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, heldFrom+1, servicePort)
	for _, r := range flows[:heldFrom] {
		r.request()
	}
	held := flows[heldFrom]
	for range 2 {
		held.sendFrom(1, ack, 777, 200)
		held.sendFrom(201, ack, 777, 100)
	}
	must.Len(t, heldFrom, s.requestsAtHost())
	s.answer(flows[0])
	var seqs []uint32
	for _, p := range s.host.received {
		if p.Src == held.endpoint && p.Size > 0 {
			seqs = append(seqs, p.Seq)
		}
	}
	must.Eq(t, []uint32{1, 201}, seqs)
}

// A requester that resets or ends its flow, or gives up, leaves the queue: the host must not
// work for callers that have gone.
func TestRequestsOfRequestersThatLeftAreNotRun(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, heldFrom+3, servicePort)
	for _, r := range flows {
		r.request()
	}
	flows[heldFrom].sendFrom(51, rst, 777, 0)
	flows[heldFrom+1].sendFrom(51, ack|fin, 777, 0)
	must.Eq(t, 2, s.counter("requests_canceled", "priority_2"))
	// The host answers now and then, so that it does not count as stalled.
	for waited := time.Duration(0); waited < timeLimit; waited += 100 * time.Millisecond {
		s.tick(100 * time.Millisecond)
		if waited < 2*100*time.Millisecond {
			s.answer(flows[0])
		}
	}
	must.SliceNotContains(t, s.requestsAtHost(), flows[heldFrom].endpoint.Port)
	must.SliceNotContains(t, s.requestsAtHost(), flows[heldFrom+1].endpoint.Port)
	must.Eq(t, 0, s.counter("requests_waiting", ""))
}

// An agent that stops passes on what it holds: requesters would send it again only after
// their retransmission timeout.
func TestStoppingAgentReleasesHeldRequests(t *testing.T) {
	s := newScheduled(t)
	for _, r := range s.open(1000, 8, servicePort) {
		r.request()
	}
	must.Len(t, heldFrom, s.requestsAtHost())
	s.agents[s.at].ReleaseAll(s.now, &clusterOutput{s.cluster, s.at})
	s.deliverAll()
	must.Len(t, 8, s.requestsAtHost())
}

// An agent that is killed loses what it holds. The retransmissions of the requesters reach
// the host through its successor, and no flow is reset.
func TestHeldRequestsSurviveARestartOfTheAgent(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, 8, servicePort)
	for _, r := range flows {
		r.request()
	}
	s.startAgent(11, true)
	s.host.down = false
	s.now += 200 * time.Millisecond
	s.confirmCatalog()
	for _, r := range flows {
		must.False(t, r.sendFrom(1, ack, 777, 50)[0].Rst)
	}
}

// A host that restarts returns packets of the flows that it lost. Requests that it had no
// longer occupy it, so that those that wait find out at once.
func TestHeldRequestsAreReleasedWhenTheHostHasRestarted(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, 8, servicePort)
	for _, r := range flows {
		r.request()
	}
	clear(s.host.initialSeqs)
	s.host.down = false
	s.toRequester = nil
	flows[0].sendFrom(51, ack, 777, 0)
	resets := make(map[flow.Endpoint]bool)
	for _, p := range s.toRequester {
		if p.Rst {
			resets[p.Dst] = true
		}
	}
	must.MapLen(t, 1+len(flows)-heldFrom, resets)
}

// A host that answers nothing is given everything: it refuses what exceeds its own queue,
// which tells requesters that their requests have not run.
func TestStalledHostIsGivenAllRequests(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, 8, servicePort)
	for _, r := range flows {
		r.request()
	}
	must.Len(t, heldFrom, s.requestsAtHost())
	for range 10 {
		s.tick(50 * time.Millisecond)
	}
	must.Len(t, 8, s.requestsAtHost())
}

// The queue is bounded: a request beyond it is passed on.
func TestRequestsBeyondTheQueueArePassedOn(t *testing.T) {
	s := newScheduled(t)
	const queue = 256
	for _, r := range s.open(1000, heldFrom+queue+2, servicePort) {
		r.request()
	}
	must.Len(t, heldFrom+2, s.requestsAtHost())
	must.Eq(t, 2, s.counter("requests_overflow", "priority_2"))
}

// A host must not be taken for stopped, nor its flows for lost, because the agent holds
// their packets: with nothing sent, nothing can be answered.
func TestHoldingDoesNotMakeAHostLookStopped(t *testing.T) {
	s := newScheduled(t)
	flows := s.open(1000, heldFrom+1, servicePort)
	for _, r := range flows[:heldFrom] {
		r.request()
	}
	for _, r := range flows[:heldFrom] {
		s.answer(r)
	}
	s.publish(2, func(values *[]catalog.Value) { *values = (*values)[:1] }, "s")
	s.tick(3 * time.Second)
	s.host.down = false
	must.False(t, flows[heldFrom].sendFrom(1, ack, 777, 50)[0].Rst)
}

// Late data of a flow that has ended begins no request. Guards against requests that are
// counted for ever, since a closed flow is not closed again.
func TestDataOfAClosedFlowIsNotCounted(t *testing.T) {
	s := newScheduled(t)
	r := s.open(1000, 1, servicePort)[0]
	r.sendFrom(1, rst, 777, 0)
	r.request()
	must.Eq(t, 0, s.counter("requests_in_service", ""))
	must.Len(t, 1, s.requestsAtHost(), must.Sprint("the host answers late packets itself"))
}
