package datagram_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/platform"
)

// newSaturated returns a cluster whose only host has more requests of priority 2 than it
// can answer within their time limit, and the flows of these requests. The entry has not
// heard of it.
func newSaturated(t *testing.T) (*scheduled, []*requester) {
	s := newScheduled(t)
	s.measureServiceTime(40 * time.Millisecond)
	flows := s.open(1000, 80, servicePort)
	for _, r := range flows {
		r.request()
	}
	return s, flows
}

// tryToOpen opens flows of a route by their first packets alone and returns how many of
// these the entry placed and how many were answered with a reset.
func (s *scheduled) tryToOpen(first, count, routePort uint16) (placed, resets int) {
	before := s.frames[flow.Deliver]
	for port := first; port < first+count; port++ {
		r := s.requester(port, 1)
		r.to.Port = routePort
		for _, p := range r.send(syn, 0, 0) {
			if p.Rst {
				resets++
			}
		}
	}
	return s.frames[flow.Deliver] - before, resets
}

// metric returns the value of a metric of the entry or the agent for a cause.
func metric(collect func(func(metrics.Sample)), name, cause string) int64 {
	value := int64(-1)
	collect(func(m metrics.Sample) {
		if m.Name == name && m.Cause == cause {
			value = m.Value
		}
	})
	return value
}

// Guards against an entry that sends openings to hosts which have all said that they
// refuse them, and against one that refuses the priority that they admit.
func TestEntryRefusesOpeningsOfAnOverloadedService(t *testing.T) {
	s, _ := newSaturated(t)
	// The first openings tell the entry.
	s.tryToOpen(3000, 3, servicePort)
	must.Eq(t, 1, metric(s.agents[s.at].Collect, "admit_priority", ""))
	placed, resets := s.tryToOpen(4000, 320, servicePort)
	must.Between(t, 8, placed, 36, must.Sprint("one in sixteen"))
	must.Eq(t, 320, resets)
	must.GreaterEq(t, 320-int64(placed), metric(s.entries[addr(1)].Collect, "openings_refused", "service_overloaded_priority_2"))
	placed, resets = s.tryToOpen(5000, 3, urgentPort)
	must.Eq(t, 3, placed)
	must.Zero(t, resets)
	must.Eq(t, -1, metric(s.entries[addr(1)].Collect, "openings_refused", "service_overloaded_priority_1"))
}

// A host may have accepted the first copy of an opening, whose answer was lost. Guards
// against a reset that reaches the requester after the answer.
func TestCopiesOfOpeningsAreNotRefusedAtOnce(t *testing.T) {
	s, _ := newSaturated(t)
	s.tryToOpen(3000, 3, servicePort)
	for port := uint16(4000); port < 4040; port++ {
		before := s.frames[flow.Deliver]
		s.requester(port, 1).send(syn, 1, 0)
		must.Eq(t, before+1, s.frames[flow.Deliver])
	}
}

// Guards against refusals by old news: the entry loses the agent, or all processes start
// anew.
func TestRefusalsEndWithTheReports(t *testing.T) {
	s, _ := newSaturated(t)
	s.tryToOpen(3000, 3, servicePort)
	s.isolated[s.at] = true
	s.now += 500 * time.Millisecond
	placed, _ := s.tryToOpen(4000, 32, servicePort)
	must.Less(t, 8, placed)
	s.now += time.Millisecond
	placed, resets := s.tryToOpen(5000, 32, servicePort)
	must.Eq(t, 32, placed)
	must.Zero(t, resets)

	s, _ = newSaturated(t)
	s.tryToOpen(3000, 3, servicePort)
	s.addEntry(1)
	s.startAgent(11, true)
	placed, resets = s.tryToOpen(4000, 32, servicePort)
	must.Eq(t, 32, placed)
	must.Zero(t, resets)
}

// A host whose agent runs an earlier build says nothing of its level. Guards against
// openings that it would take being refused.
func TestServiceWithAnEarlierBuildIsNotOverloaded(t *testing.T) {
	c := newServiceCluster(t)
	for n := byte(11); n <= 14; n++ {
		load := flow.Frame{Kind: flow.Load, Sender: addr(n), ServiceTag: catalog.Tag("s"), Busy: 40, AdmitPriority: 2}
		if n == 13 {
			load.AdmitPriority = 0
		}
		c.entries[addr(1)].HandleFrame(c.now, addr(n), load.Append(nil))
	}
	for port := uint16(1000); port < 1032; port++ {
		must.False(t, c.requester(port, 1).send(syn, 0, 0)[0].Rst)
	}
}

// Guards against a refusal whose cause cannot be found: the line has the state that
// decided it.
func TestRefusalIsLoggedWithItsCause(t *testing.T) {
	s, _ := newSaturated(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	s.entries[addr(1)] = datagram.NewEntry(datagram.EntryConfig{
		Zone: "a", Self: flow.Endpoint{Addr: addr(1), Port: peerPort}, PeerPort: peerPort,
		Codec: platform.Codec{}, Catalog: s.catalog, Events: datagram.NewEvents(logrus.NewEntry(log)),
	})
	s.tryToOpen(3000, 3, servicePort)
	s.now += 20 * time.Millisecond
	s.tryToOpen(4000, 3, servicePort)
	for _, want := range []string{"flow_refused", "reason=service_overloaded", "service=s", "priority=2", "target_ms=300", " latency_ms=0 ", " busy=80 ", "admit_priority=1", "hosts=1", "oldest_report_ms=20"} {
		must.StrContains(t, lines.String(), want)
	}
}

// A saturated host changes its level many times a second. Guards against a line for each.
func TestLevelIsLoggedAtMostOnceASecond(t *testing.T) {
	s, flows := newSaturated(t)
	events := newDiscardEvents()
	count := func() int64 { return events.Totals()["admission_level"] }
	s.agents[s.at] = datagram.NewAgent(datagram.AgentConfig{
		Self: flow.Endpoint{Addr: s.at, Port: peerPort}, Service: "s", FlowLifetime: lifetime, ColdOverage: 1.5, ColdSlack: 5,
		StartedAt: time.UnixMilli(1_000_000), Codec: platform.Codec{}, Catalog: s.catalog, Events: events,
	})
	clear(s.host.initialSeqs)
	s.measureServiceTime(40 * time.Millisecond)
	must.Zero(t, count())
	flows = s.open(6000, uint16(len(flows)), servicePort)
	for _, r := range flows {
		r.request()
	}
	s.confirmCatalog()
	must.Eq(t, 1, count())
	must.Eq(t, 1, metric(s.agents[s.at].Collect, "admit_priority", ""))
	for _, r := range flows {
		s.answer(r)
	}
	s.confirmCatalog()
	must.Eq(t, 254, metric(s.agents[s.at].Collect, "admit_priority", ""))
	must.Eq(t, 1, count())
	s.tick(time.Second)
	must.Eq(t, 2, count())
	s.tick(time.Second)
	must.Eq(t, 2, count())
}

// sent records where frames of a kind were sent.
type sent struct {
	kind   flow.Kind
	to     [][4]byte
	resets int
}

func (o *sent) ToRequester([4]byte, []byte) { o.resets++ }

func (o *sent) ToNode(to flow.Endpoint, f *flow.Frame, _ []byte) {
	if f.Kind == o.kind {
		o.to = append(o.to, to.Addr)
	}
}

func (o *sent) ToHost([]byte) {}

// Guards against agents passing openings on to hosts that refuse them although they could
// accept them themselves, and against openings that they cannot accept being refused
// without another host being asked.
func TestOpeningsAreNotPassedOnToHostsThatRefuseThem(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	c.addHost(11, "s")
	c.publish(1, nil, "s")
	c.overload(1000, 60)
	for n := byte(12); n <= 14; n++ {
		c.addHost(n, "s")
	}
	c.publish(2, nil, "s")
	agent := c.agents[addr(11)]
	report := func(n byte, busy uint16, level uint8) {
		load := flow.Frame{Kind: flow.Load, Sender: addr(n), ServiceTag: catalog.Tag("s"), Busy: busy, AdmitPriority: level}
		agent.HandleFrame(c.now, addr(n), load.Append(nil), &sent{})
	}
	offer := func(port uint16, service string) *sent {
		out := &sent{kind: flow.Deliver}
		frame := flow.Frame{Kind: flow.Deliver, ServiceTag: catalog.Tag(service), ConfigVersion: 2, Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		agent.HandleFrame(c.now, addr(1), append(frame.Append(nil), packet(syn, c.requester(port, 1).endpoint, destination(), 1, 0, 0)...), out)
		return out
	}
	report(12, 1, 2)
	report(13, 1, 2)
	report(14, 200, 255)
	must.Eq(t, [][4]byte{addr(14)}, offer(5000, "s").to)
	report(14, 200, 2)
	out := offer(5001, "s")
	must.SliceEmpty(t, out.to)
	must.Eq(t, 1, out.resets, must.Sprint("the host is overloaded too"))
	must.Len(t, 1, offer(5002, "other").to, must.Sprint("this host cannot accept it"))
}
