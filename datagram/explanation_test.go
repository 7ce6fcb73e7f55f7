package datagram_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

// query asks for the flow of the requester.
func (r *requester) query() datagram.ExplainQuery {
	return datagram.ExplainQuery{Route: r.to.AddrPort(), Requester: r.endpoint.AddrPort()}
}

func (r *requester) explainAtEntry() *datagram.Explanation {
	x, err := r.c.entries[addr(r.entry)].Explain(r.c.now, r.query())
	must.NoError(r.c.t, err)
	return x
}

func (r *requester) explainAtAgent(at [4]byte) *datagram.Explanation {
	x, err := r.c.agents[at].Explain(r.c.now, r.query())
	must.NoError(r.c.t, err)
	return x
}

func textOf(at [4]byte) string { return netip.AddrFrom4(at).String() }

// path is the way that an opening took: the machines that it was delivered to, and
// whether the requester was reset.
type path struct {
	agents []string
	// atHost is the first host that the opening reached, or "".
	atHost string
	reset  bool
}

// trace sends a packet of the opening and returns its path.
func (r *requester) trace(copies uint32) path {
	var p path
	r.c.onFrame = func(_, to [4]byte, kind flow.Kind) {
		if kind == flow.Deliver {
			p.agents = append(p.agents, textOf(to))
		}
	}
	r.c.onHostPacket = func(at [4]byte) {
		if p.atHost == "" {
			p.atHost = textOf(at)
		}
	}
	for _, answer := range r.send(syn, copies, 0) {
		p.reset = p.reset || answer.Rst
		if answer.Syn {
			r.send(ack, answer.Seq+1, 0)
		}
	}
	r.c.onFrame, r.c.onHostPacket = nil, nil
	return p
}

// requireExplained explains an opening, sends it, and requires that it went where the
// explanations said. It returns the decisions at the entry and at the first agent.
func (r *requester) requireExplained(copies uint32) (atEntry, atAgent *datagram.Explanation, taken path) {
	t := r.c.t
	atEntry = r.explainAtEntry()
	if atEntry.Decision != "refused" {
		atAgent = r.explainAtAgent(netip.MustParseAddr(atEntry.Host).As4())
	}
	taken = r.trace(copies)
	info := must.Sprintf("%s at the entry (%s), %+v, path %+v", atEntry.Decision, atEntry.Reason, atAgent, taken)
	if atEntry.Decision == "refused" {
		must.SliceEmpty(t, taken.agents, info)
		must.True(t, taken.reset, info)
		return atEntry, nil, taken
	}
	must.Eq(t, atEntry.Candidates[0].Host, atEntry.Host, info)
	must.SliceNotEmpty(t, taken.agents, info)
	must.Eq(t, atEntry.Host, taken.agents[0], info)
	switch atAgent.Decision {
	case "accepted":
		must.Eq(t, atEntry.Host, taken.atHost, info)
	case "passed_on":
		must.Greater(t, 1, len(taken.agents), info)
		must.Eq(t, atAgent.Host, taken.agents[1], info)
		must.Eq(t, atAgent.Candidates[0].Host, atAgent.Host, info)
	case "refused":
		must.Len(t, 1, taken.agents, info)
		must.True(t, taken.reset, info)
	default:
		t.Fatalf("decision %q", atAgent.Decision)
	}
	return atEntry, atAgent, taken
}

// publishZones publishes a catalog whose hosts 13 and 14 are in zone b.
func (c *cluster) publishZones(version int64) {
	c.publish(version, func(values *[]catalog.Value) {
		for i := range *values {
			if v := &(*values)[i]; v.Key == "servers/h13" || v.Key == "servers/h14" {
				v.Data = bytes.ReplaceAll(v.Data, []byte(`"zone":"a"`), []byte(`"zone":"b"`))
			}
		}
	}, "s")
}

// Guards against an explanation that names another host than the next opening goes to,
// at the entry and at the first agent, whatever makes the hosts differ.
func TestExplanationNamesTheHostOfTheNextOpening(t *testing.T) {
	const openings = 300
	for name, tc := range map[string]struct {
		prepare func(c *cluster)
		// want counts the openings that show that the pattern took effect.
		want func(atEntry, atAgent *datagram.Explanation, taken path) bool
		min  int
	}{
		"equal hosts": {func(*cluster) {}, func(x, _ *datagram.Explanation, _ path) bool { return x.Candidates[3].Terms.Flows > 0 }, 50},
		"two zones": {
			func(c *cluster) { c.publishZones(2) },
			func(x, _ *datagram.Explanation, _ path) bool { return x.Candidates[3].Terms.Zone > 0 }, 50,
		},
		"slow host": {
			func(c *cluster) {
				for _, h := range c.hosts {
					h.serviceTime = 10 * time.Millisecond
				}
				c.hosts[addr(12)].serviceTime = 80 * time.Millisecond
			},
			func(x, _ *datagram.Explanation, _ path) bool {
				return x.Candidates[3].Terms.Slow > 0 && x.Candidates[3].Host == "10.0.0.12"
			}, 50,
		},
		"refusing host": {
			func(c *cluster) { c.hosts[addr(12)].refusing = true },
			func(x, _ *datagram.Explanation, _ path) bool { return x.Candidates[3].Terms.Refusing > 0 }, 50,
		},
		"failing host": {
			func(c *cluster) { c.hosts[addr(12)].failing = true },
			func(x, _ *datagram.Explanation, _ path) bool { return x.Candidates[3].Terms.Failing > 0 }, 50,
		},
		"silent host": {
			func(c *cluster) { c.hosts[addr(12)].down = true },
			func(x, _ *datagram.Explanation, _ path) bool { return x.Candidates[3].Terms.Suspect > 0 }, 50,
		},
		"cold hosts": {
			func(c *cluster) { c.publishColdAt(2, 1_000_000); c.now += time.Second },
			func(_, a *datagram.Explanation, _ path) bool {
				return a != nil && a.Reason == "cold" && a.Agent.Cold != nil
			}, 5,
		},
		"busy hosts pass openings on": {
			busyHosts(0.4), func(_, a *datagram.Explanation, _ path) bool {
				return a != nil && a.Decision == "passed_on" && a.Reason == "busy"
			}, 5,
		},
		"all hosts are overloaded": {
			busyHosts(1), func(x, _ *datagram.Explanation, _ path) bool { return x.Decision == "refused" && x.Entry.Refuses }, 50,
		},
		"agents refuse": {
			busyHosts(1), func(_, a *datagram.Explanation, _ path) bool { return a != nil && a.Decision == "refused" }, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newServiceCluster(t)
			tc.prepare(c)
			seen := 0
			for port := uint16(20000); port < 20000+openings; port++ {
				r := c.requester(port, 1)
				atEntry, atAgent, taken := r.requireExplained(0)
				if tc.want(atEntry, atAgent, taken) {
					seen++
				}
				if taken.atHost != "" && c.hosts[netip.MustParseAddr(taken.atHost).As4()].down {
					c.now += 200 * time.Millisecond
					again := r.explainAtEntry()
					must.Eq(t, taken.atHost, again.Entry.Unresponsive)
					must.Eq(t, again.Host, r.trace(1).agents[0], must.Sprint("a retransmission"))
				}
				r.send(ack, 777, 50)
				c.now += 2 * time.Millisecond
				if port%8 == 0 {
					c.confirmCatalog()
				}
			}
			must.GreaterEq(t, tc.min, seen)
		})
	}
}

// busyHosts returns a function that lets hosts have more unanswered requests than slots.
// Each host has a number of them that is a share of those with which all refuse.
func busyHosts(share float64) func(c *cluster) {
	return func(c *cluster) {
		flows := c.openFlows(1000, 200)
		for _, h := range c.hosts {
			h.serviceTime = 40 * time.Millisecond
		}
		for _, r := range flows {
			r.send(ack, 777, 50)
		}
		for _, h := range c.hosts {
			h.keepsRequests = true
		}
		for i, r := range flows[:int(share*float64(len(flows)))] {
			r.sendFrom(51, ack, 777, 50)
			if i%8 == 0 {
				c.confirmCatalog()
			}
		}
	}
}

// Guards against an explanation that changes what it explains. The same openings and
// requests are sent in two clusters, in one of which every process is asked a thousand
// times in all, and every frame, packet, answer and metric is compared.
func TestExplanationsChangeNoLaterDecision(t *testing.T) {
	plain, plainExplained := runRecorded(t, 0)
	explained, n := runRecorded(t, 5)
	must.Zero(t, plainExplained)
	must.GreaterEq(t, 1000, n)
	must.Greater(t, 1000, len(plain))
	for i := range min(len(plain), len(explained)) {
		must.Eq(t, plain[i], explained[i], must.Sprintf("event %d", i))
	}
	must.Eq(t, len(plain), len(explained))
}

// runRecorded runs a cluster with cold, silent, refusing and overloaded hosts and returns
// what happened, and the number of explanations, of which some are asked for before each
// step.
func runRecorded(t *testing.T, explanations int) (events []string, explained int) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 14; n++ {
		c.addHost(n, "s")
	}
	c.publishCold(1)
	for n := byte(11); n <= 14; n++ {
		c.startAgent(n, true)
	}
	record := func(format string, args ...any) { events = append(events, fmt.Sprintf(format, args...)) }
	c.onFrame = func(from, to [4]byte, kind flow.Kind) { record("frame %d %v %v", kind, from, to) }
	c.onHostPacket = func(at [4]byte) { record("host %v", at) }
	random, queries := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	for step := range 400 {
		for range explanations {
			explained += c.explainAtAll(queries)
		}
		switch step {
		case 100:
			c.publishZones(2)
		case 150:
			c.hosts[addr(12)].down = true
		case 200:
			c.hosts[addr(13)].refusing = true
		case 250:
			for _, h := range c.hosts {
				h.down, h.refusing, h.keepsRequests = false, false, true
			}
		}
		r := c.requester(1000+uint16(step-random.IntN(4)), 1)
		for _, answer := range r.send(syn, uint32(random.IntN(2)), 0) {
			record("answer %+v", answer)
			if answer.Syn {
				r.send(ack, answer.Seq+1, 0)
				r.send(ack, 777, 50)
			}
		}
		c.now += time.Duration(random.IntN(12)) * time.Millisecond
		if step%10 == 0 {
			c.now += 90 * time.Millisecond
			c.confirmCatalog()
		}
	}
	emit := func(m metrics.Sample) { record("metric %+v", m) }
	c.entries[addr(1)].Collect(emit)
	for n := byte(11); n <= 14; n++ {
		c.agents[addr(n)].Collect(emit)
	}
	return events, explained
}

// explainAtAll asks the entry and all agents for random flows, some of which exist, and
// returns the number of explanations.
func (c *cluster) explainAtAll(random *rand.Rand) int {
	q := c.requester(900+uint16(random.IntN(600)), 1).query()
	if random.IntN(4) == 0 {
		q.Requester = netip.AddrPort{}
	}
	if random.IntN(4) == 0 {
		q.Zone = "a"
	}
	c.explainAt(q)
	return 1 + len(c.agents)
}

// Guards against failures that look alike.
func TestExplanationErrors(t *testing.T) {
	c := newServiceCluster(t)
	empty := newCluster(t)
	empty.addEntry(1)
	empty.addHost(11, "s")
	q := c.requester(1, 1).query()
	for _, explain := range []func(time.Duration, datagram.ExplainQuery) (*datagram.Explanation, error){
		empty.entries[addr(1)].Explain, empty.agents[addr(11)].Explain,
	} {
		_, err := explain(c.now, q)
		var noCatalog *datagram.NoCatalogError
		must.True(t, errors.As(err, &noCatalog))
	}
	for _, explain := range []func(time.Duration, datagram.ExplainQuery) (*datagram.Explanation, error){
		c.entries[addr(1)].Explain, c.agents[addr(11)].Explain,
	} {
		var route *datagram.UnknownRouteError
		_, err := explain(c.now, datagram.ExplainQuery{Route: netip.MustParseAddrPort("198.18.0.1:1")})
		must.True(t, errors.As(err, &route))
		must.Eq(t, "198.18.0.1:1", route.Route)
		var zone *datagram.UnknownZoneError
		_, err = explain(c.now, datagram.ExplainQuery{Route: q.Route, Zone: "z"})
		must.True(t, errors.As(err, &zone))
		must.Eq(t, "z", zone.Zone)
		_, err = explain(c.now, datagram.ExplainQuery{Route: q.Route, Zone: "a"})
		must.NoError(t, err)
	}
}

// Guards against an explanation for another zone than the one asked for, and against an
// example that belongs to the few flows that are placed by other rules.
func TestExplanationOfAZoneAndOfAnExample(t *testing.T) {
	c := newServiceCluster(t)
	c.publishZones(2)
	for zone, hosts := range map[string][]string{"": {"10.0.0.11", "10.0.0.12"}, "a": {"10.0.0.11", "10.0.0.12"}, "b": {"10.0.0.13", "10.0.0.14"}} {
		x, err := c.entries[addr(1)].Explain(c.now, datagram.ExplainQuery{Route: destination().AddrPort(), Zone: zone})
		must.NoError(t, err)
		must.SliceContains(t, hosts, x.Host)
		must.True(t, x.Example)
		must.False(t, x.IgnoresServiceTime)
		must.NotEq(t, "probe", x.Entry.Placed)
	}
	r := c.requester(1000, 1)
	held := textOf(r.open())
	must.Eq(t, "held", r.explainAtEntry().Decision)
	must.Eq(t, held, r.explainAtEntry().Host)
}

// Guards against an explanation of an agent without the state that decides: what waits by
// priority, the estimate, and late admission.
func TestAgentExplainsAdmission(t *testing.T) {
	s, _ := newSaturated(t)
	r := s.requester(5000, 1)
	x := r.explainAtAgent(s.at)
	must.Eq(t, "refused", x.Decision)
	must.Eq(t, "overloaded", x.Reason)
	must.Eq(t, 80, x.Agent.Busy)
	must.Eq(t, 80-heldFrom, x.Agent.Waiting)
	must.Len(t, 1, x.Agent.Queue)
	must.Eq(t, 2, x.Agent.Queue[0].Priority)
	must.Eq(t, 80-heldFrom, x.Agent.Queue[0].Ahead)
	must.True(t, x.Agent.BusyWithoutAlternative)
	must.Eq(t, "forward", x.Agent.Admission.Decision)
	must.Eq(t, "refuse", x.Agent.LastAdmission.Decision)
	must.False(t, x.Agent.LastAdmission.Late.Admitted)
	must.Greater(t, 1000.0, x.Agent.LastAdmission.EstimateMS)
	r.to.Port = urgentPort
	x = r.explainAtAgent(s.at)
	must.Eq(t, "accepted", x.Decision)
	must.Zero(t, x.Agent.Queue[0].Ahead)
	must.Eq(t, heldFrom, x.Agent.Admission.Ahead)

	s, _ = newSaturated(t)
	s.now += objective
	x = s.requester(5000, 1).explainAtAgent(s.at)
	must.NotNil(t, x.Agent.LastAdmission)
	must.Zero(t, x.Agent.Queue[0].Ahead, must.Sprint("late requests are not ahead"))
}

// Guards against explanations that grow with the number of hosts.
func TestExplanationIsBounded(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 130; n++ {
		c.addHost(n, "s")
	}
	c.publish(1, nil, "s")
	x := c.requester(1000, 1).explainAtEntry()
	must.Len(t, 50, x.Candidates)
	must.Eq(t, 70, x.Omitted)
	must.Eq(t, x.Host, x.Candidates[0].Host)
}
