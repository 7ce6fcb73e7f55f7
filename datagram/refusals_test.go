package datagram_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/platform"
)

// logAgent replaces the agent by one whose log lines are returned. Its host restarts.
func (s *scheduled) logAgent() *bytes.Buffer {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	s.agents[s.at] = datagram.NewAgent(datagram.AgentConfig{
		Self: flow.Endpoint{Addr: s.at, Port: peerPort}, Service: "s", FlowLifetime: lifetime, ColdOverage: 1.5, ColdSlack: 5,
		StartedAt: time.UnixMilli(1_000_000), Codec: platform.Codec{}, Catalog: s.catalog, Events: datagram.NewEvents(logrus.NewEntry(log)),
	})
	clear(s.host.initialSeqs)
	s.measureServiceTime(40 * time.Millisecond)
	return &lines
}

// lineOf returns the last log line of an event about a flow.
func lineOf(t *testing.T, lines *bytes.Buffer, event string, r *requester) string {
	t.Helper()
	var last string
	for line := range bytes.Lines(lines.Bytes()) {
		if bytes.Contains(line, []byte("msg="+event)) && bytes.Contains(line, []byte(`flow="`+r.key().String()+`"`)) {
			last = string(line)
		}
	}
	must.NotEq(t, "", last, must.Sprint(event, " of ", r.key(), " in ", lines))
	return last
}

// Guards against a refusal at an agent whose cause cannot be found: the line has the state
// that decided it, and the metric counts it by reason and priority.
func TestRefusalAtAgentIsLoggedWithItsCause(t *testing.T) {
	s := newScheduled(t)
	lines := s.logAgent()
	for _, r := range s.open(1000, 80, servicePort) {
		r.request()
	}
	refused := s.requester(3000, 1)
	must.True(t, refused.send(syn, 1, 0)[0].Rst)
	line := lineOf(t, lines, "flow_refused", refused)
	for _, want := range []string{
		" reason=overloaded ", " service=s ", " priority=2 ", " target_ms=300 ", " latency_ms=1620 ", " slots=2 ", " running=3 ", " waiting_ahead=77",
		" waiting=77", " late_considered=true ", " late_latency_ms=3", " left_ms=1300 ", " admit_priority=1 ", " service_ms=40 ",
	} {
		must.StrContains(t, line, want)
	}
	must.Eq(t, 1, s.counter("openings_refused", "overloaded_priority_2"))
}

// Guards against requests that were answered late or not at all and whose wait at the agent
// leaves no line.
func TestWaitsAreLoggedWithTheirFlow(t *testing.T) {
	s := newScheduled(t)
	lines := s.logAgent()
	flows := s.open(1000, heldFrom+3, servicePort)
	urgent := s.open(2000, 1, urgentPort)[0]
	for _, r := range append(flows, urgent) {
		r.request()
	}
	canceled, late, expired := flows[heldFrom], urgent, flows[heldFrom+1]
	canceled.sendFrom(51, ack|fin, 777, 0)
	must.StrContains(t, lineOf(t, lines, "request_canceled", canceled), " priority=2 ")
	must.Eq(t, 2, s.counter("requests_waiting", "priority_2"))
	must.Eq(t, 1, s.counter("requests_waiting", "priority_1"))
	s.now += objective
	s.answer(flows[0])
	line := lineOf(t, lines, "request_late", late)
	for _, want := range []string{" priority=1 ", " waited_ms=300 ", " late_ms=40 ", " left_ms=1200 ", " work_ms=40", " waiting=2 "} {
		must.StrContains(t, line, want)
	}
	must.Eq(t, 1, s.counter("request_wait_count", "priority_1"))
	must.Between(t, 290_000, s.counter("request_wait_us", "priority_1_max"), 310_000)
	must.Zero(t, s.counter("request_wait_count", "priority_2"))
	s.now += timeLimit
	s.answer(flows[1])
	must.StrContains(t, lineOf(t, lines, "request_expired", expired), " left_ms=-300 ")
	must.Zero(t, s.counter("requests_waiting", "priority_2"))
}

// Guards against a request that was given to the host beyond its slots without a trace.
func TestOverflowIsLogged(t *testing.T) {
	s := newScheduled(t)
	lines := s.logAgent()
	flows := s.open(3000, heldFrom+256+1, servicePort)
	for _, r := range flows {
		r.request()
	}
	must.StrContains(t, lineOf(t, lines, "request_overflow", flows[len(flows)-1]), " waiting=256")
}
