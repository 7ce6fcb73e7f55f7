package datagram_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// frameDelay is the time that a frame takes in the replays.
const frameDelay = time.Millisecond

// timedFrame is a frame that arrives at a time.
type timedFrame struct {
	at      time.Duration
	deliver func()
}

// restartReplay is a fleet after a restart of all processes, whose requesters then send a
// request on each of their flows.
type restartReplay struct {
	*cluster
	flows []*requester
	// answeredAfter holds the time from the first copy of each request to its answer or
	// reset, resets the number of resets.
	answeredAfter map[uint16]time.Duration
	resets        int
	tickAt        time.Duration
	// startedAt and over are when the first request was sent, and the time to the last one.
	startedAt, over time.Duration
	// onCopy is called before the first copy of each request and before each further one. It
	// may be nil.
	onCopy func(copy int)
}

// newRestartReplay returns a fleet with a third of the agents in the entries' zone. If lost is
// set, the hosts have lost their flows, as after a loss of power.
func newRestartReplay(t *testing.T, agents, flows int, lost, unbatched bool, earlier ...byte) *restartReplay {
	c := newCluster(t)
	c.unbatched = unbatched
	c.earlier = make(map[[4]byte]bool)
	for _, n := range earlier {
		c.earlier[addr(n)] = true
	}
	c.addEntry(1)
	c.addEntry(2)
	for n := 11; n < 11+agents; n++ {
		c.addHost(byte(n), "s")
	}
	c.publishWithZones(1, func(host [4]byte) bool { return host[3]%3 == 0 }, "s")
	r := &restartReplay{cluster: c, flows: c.openFlows(1000, uint16(flows)), answeredAfter: make(map[uint16]time.Duration)}
	if lost {
		for _, h := range c.hosts {
			h.wasDown = true
			clear(h.initialSeqs)
		}
	}
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	clear(c.frames)
	c.bytes, c.toRequester, c.delay, r.tickAt = 0, nil, frameDelay, c.now
	return r
}

// runUntil lets frames, the ticks of agents and the ends of delays happen in order.
func (r *restartReplay) runUntil(end time.Duration) {
	for {
		at, step := r.tickAt, r.tick
		if _, due, ok := r.nextFlush(); ok && due < at {
			at, step = due, r.flushNext
		}
		if len(r.timed) > 0 && r.timed[0].at <= at {
			at, step = r.timed[0].at, r.deliverTimed
		}
		if at > end {
			r.now = end
			return
		}
		r.now = max(r.now, at)
		step()
		r.deliverQueue()
		r.collect()
	}
}

func (r *restartReplay) deliverTimed() {
	next := r.timed[0]
	r.timed = r.timed[1:]
	next.deliver()
}

func (r *restartReplay) tick() {
	r.tickAt += 100 * time.Millisecond
	r.tracker.Apply(r.tracker.Position(), nil, r.now)
	r.current = r.tracker.Current()
	for a, agent := range r.agents {
		agent.Tick(r.now, &clusterOutput{r.cluster, a})
	}
}

// request sends a request on each flow, evenly over a time, with retransmissions.
func (r *restartReplay) request(over time.Duration) {
	start := r.now
	r.startedAt, r.over = start, over
	for n, pause := range []time.Duration{0, 200, 600, 1400, 3000} {
		if r.onCopy != nil {
			r.onCopy(n)
		}
		for i, f := range r.flows {
			at := start + pause*time.Millisecond + over*time.Duration(i)/time.Duration(len(r.flows))
			r.runUntil(at)
			if _, answered := r.answeredAfter[f.endpoint.Port]; answered {
				continue
			}
			entry := addr(byte(1 + i%2))
			r.entries[entry].HandlePacket(r.now, packet(ack, f.endpoint, f.to, 1, 777, 50), &clusterOutput{r.cluster, entry})
			r.deliverQueue()
			r.collect()
		}
		r.runUntil(r.now + 100*time.Millisecond)
	}
}

// collect records the answers.
func (r *restartReplay) collect() {
	for _, p := range r.toRequester {
		port := p.Dst.Port
		if _, known := r.answeredAfter[port]; known {
			continue
		}
		if p.Rst {
			r.resets++
		}
		r.answeredAfter[port] = r.now - r.startedAt - r.over*time.Duration(port-1000)/time.Duration(len(r.flows))
	}
	r.toRequester = nil
}

// searchFrames returns the number of frames of searches without packets.
func (r *restartReplay) searchFrames() int {
	n := 0
	for _, kind := range []flow.Kind{flow.Query, flow.MayHold, flow.NotHeld, flow.QueryMany, flow.NotHeldMany} {
		n += r.frames[kind]
	}
	return n
}

// restartCase is a load of searches, with the largest share of frames and bytes that they may
// cost of what they would without batches. If acquainted is set, each agent has sent each other
// one a frame since the restart, as agents that start do; otherwise it has to learn first which
// agents accept batches.
type restartCase struct {
	agents           int
	lost, acquainted bool
	over             time.Duration
	frames, bytes    float64
}

// Guards against a frame for each question and each answer when all flows are searched for
// after a loss of power or a restart of all processes, and against batches that delay the
// answer to a requester by more than steering.QuestionDelay.
func TestQuestionsOfManySearchesShareFrames(t *testing.T) {
	const flows = 2000
	for _, rc := range []restartCase{
		{55, true, false, 20 * time.Millisecond, 0.2, 0.4},
		{55, true, true, 20 * time.Millisecond, 0.2, 0.4},
		{55, true, true, 200 * time.Millisecond, 0.5, 0.6},
		{55, false, true, 20 * time.Millisecond, 0.8, 0.9},
		{220, true, false, 20 * time.Millisecond, 0.5, 0.6},
		{220, true, true, 20 * time.Millisecond, 0.5, 0.6},
		{220, true, true, 200 * time.Millisecond, 0.9, 0.95},
		{220, false, true, 20 * time.Millisecond, 0.9, 0.95},
	} {
		t.Run(fmt.Sprintf("%d agents, lost %v, acquainted %v, %v", rc.agents, rc.lost, rc.acquainted, rc.over), func(t *testing.T) {
			before := newRestartReplay(t, rc.agents, flows, rc.lost, true)
			before.request(rc.over)
			after := newRestartReplay(t, rc.agents, flows, rc.lost, false)
			if rc.acquainted {
				after.acquaint()
			}
			after.request(rc.over)
			worst := time.Duration(0)
			for port, d := range after.answeredAfter {
				worst = max(worst, d-before.answeredAfter[port])
			}
			t.Logf("frames %d -> %d, bytes %d -> %d, largest growth of the time to an answer: %v",
				before.searchFrames(), after.searchFrames(), before.bytes, after.bytes, worst)
			must.MapLen(t, flows, before.answeredAfter)
			must.MapLen(t, flows, after.answeredAfter)
			must.Eq(t, before.resets, after.resets)
			must.Eq(t, rc.lost, after.resets == flows)
			must.LessEq(t, steering.QuestionDelay, worst)
			must.LessEq(t, rc.frames*float64(before.searchFrames()), float64(after.searchFrames()))
			must.LessEq(t, rc.bytes*float64(before.bytes), float64(after.bytes))
		})
	}
}

// acquaint lets each agent send each other one a frame.
func (r *restartReplay) acquaint() {
	for a, agent := range r.agents {
		agent.Start(r.current, &clusterOutput{r.cluster, a})
	}
	r.runUntil(r.now + 2*frameDelay)
	clear(r.frames)
	r.bytes = 0
}

// Guards against flows being lost or not found while a part of the fleet runs an earlier
// build, which neither knows frames of several questions nor sends them, and against such
// frames being sent to it.
func TestQuestionsReachAgentsOfAnEarlierBuild(t *testing.T) {
	for _, lost := range []bool{true, false} {
		for name, isEarlier := range map[string]func(n byte) bool{
			"every other agent":  func(n byte) bool { return n%2 == 0 },
			"all but one":        func(n byte) bool { return n != 11 },
			"one":                func(n byte) bool { return n == 11 },
			"those of the zone":  func(n byte) bool { return n%3 == 0 },
			"those of the other": func(n byte) bool { return n%3 != 0 },
		} {
			t.Run(fmt.Sprintf("%s, lost %v", name, lost), func(t *testing.T) {
				var earlier []byte
				for n := byte(11); n < 31; n++ {
					if isEarlier(n) {
						earlier = append(earlier, n)
					}
				}
				r := newRestartReplay(t, 20, 300, lost, false, earlier...)
				r.acquaint()
				r.request(20 * time.Millisecond)
				must.MapLen(t, 300, r.answeredAfter)
				must.Eq(t, lost, r.resets == 300)
				must.Zero(t, r.unknownFrames)
				for _, d := range r.answeredAfter {
					must.LessEq(t, 100*time.Millisecond, d, must.Sprint("without a further copy of the packet"))
				}
				if lost && name != "all but one" {
					must.Positive(t, r.frames[flow.QueryMany])
				}
			})
		}
	}
}

// Guards against frames of several questions being sent to an agent that an earlier build has
// replaced: its first frame shows that it does not know them.
func TestAgentThatIsReplacedByAnEarlierBuildGetsNoBatches(t *testing.T) {
	r := newRestartReplay(t, 20, 300, true, false)
	r.acquaint()
	for n := byte(11); n < 31; n += 2 {
		r.earlier[addr(n)] = true
		r.startAgent(n, true)
	}
	r.runUntil(r.now + 2*frameDelay)
	r.request(20 * time.Millisecond)
	must.MapLen(t, 300, r.answeredAfter)
	must.Zero(t, r.unknownFrames)
	must.Positive(t, r.frames[flow.QueryMany])
}

// Guards against flows being reset, or lost, because frames of several questions or answers
// are lost. A further copy of the packet asks again.
func TestLostBatchesAreCoveredByTheNextPacket(t *testing.T) {
	for name, loss := range map[string]struct {
		kind flow.Kind
		lost bool
	}{
		"questions for flows that hosts hold": {flow.QueryMany, false},
		"questions for lost flows":            {flow.QueryMany, true},
		"answers for lost flows":              {flow.NotHeldMany, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestartReplay(t, 20, 300, loss.lost, false)
			r.acquaint()
			r.dropKind = loss.kind
			r.onCopy = func(copy int) {
				if copy == 1 {
					must.Less(t, 300, len(r.answeredAfter))
					r.dropKind = 0
				}
			}
			r.request(20 * time.Millisecond)
			must.MapLen(t, 300, r.answeredAfter)
			must.Eq(t, loss.lost, r.resets == 300)
			must.Eq(t, !loss.lost, r.resets == 0)
		})
	}
}

// Guards against lists of flows that are too long, or cut off, being taken for questions.
func TestMalformedListsOfFlowsAreDropped(t *testing.T) {
	c := newServiceCluster(t)
	for _, kind := range []flow.Kind{flow.QueryMany, flow.NotHeldMany} {
		for _, size := range []int{0, 11, 13, 12 * (flow.MaxKeys + 1)} {
			f := flow.Frame{Kind: kind, Sender: addr(12)}
			c.agents[addr(11)].HandleFrame(c.now, addr(12), append(f.Append(nil), make([]byte, size)...), &clusterOutput{c, addr(11)})
			must.Zero(t, c.frames[flow.NotHeld]+c.frames[flow.NotHeldMany])
		}
	}
}

// Guards against questions that wait taking more memory with each packet of an invented flow:
// a full batch is sent at once.
func TestWaitingQuestionsAreBounded(t *testing.T) {
	const searches = 5000
	c := newServiceCluster(t)
	c.restartAll()
	for n, agent := range c.agents {
		agent.Start(c.current, &clusterOutput{c, n})
	}
	c.deliverAll()
	c.advance(hostListSettleTime)
	a := c.agents[addr(11)]
	c.asked = 0
	data := packet(ack, flow.Endpoint{}, destination(), 1, 777, 50)
	for n := range searches {
		binary.LittleEndian.PutUint32(data[10:], uint32(n)) // The source address.
		f := flow.Frame{Kind: flow.Lookup, ServiceTag: catalog.Tag("s"), Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}}
		f.AddAvoid(addr(12))
		f.AddAvoid(addr(13))
		f.AddAvoid(addr(14))
		a.HandleFrame(c.now, addr(1), append(f.Append(nil), data...), &clusterOutput{c, addr(11)})
		c.queue = nil
	}
	must.Positive(t, c.frames[flow.QueryMany])
	waiting := 3*searches - c.asked
	must.Between(t, 1, waiting, 3*(flow.MaxKeys-1))
	c.flushNext()
	must.Eq(t, 3*searches, c.asked)
}

// Guards against memory growing with the number of searches that one tick extends to other
// zones: a full batch is sent in the middle of an event.
func TestFullBatchesAreSentWithinAnEvent(t *testing.T) {
	const searches = 2000
	c := newCluster(t)
	c.addEntry(1)
	for n := byte(11); n <= 14; n++ {
		c.addHost(n, "s")
	}
	c.publishWithZones(1, func(host [4]byte) bool { return host == addr(12) }, "s")
	c.restartAll()
	for n, agent := range c.agents {
		agent.Start(c.current, &clusterOutput{c, n})
	}
	c.deliverAll()
	c.advance(hostListSettleTime)
	c.isolated[addr(12)] = true
	data := packet(ack, flow.Endpoint{}, destination(), 1, 777, 50)
	out := &clusterOutput{c, addr(11)}
	for n := range searches {
		binary.LittleEndian.PutUint32(data[10:], uint32(n)) // The source address.
		f := flow.Frame{Kind: flow.Lookup, ServiceTag: catalog.Tag("s"), Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}, OriginZone: catalog.ZoneTag("a")}
		f.AddAvoid(addr(12))
		f.AddAvoid(addr(13))
		f.AddAvoid(addr(14))
		c.agents[addr(11)].HandleFrame(c.now, addr(1), append(f.Append(nil), data...), out)
	}
	c.deliverAll()
	must.Eq(t, searches, c.asked, must.Sprint("questions to the agent of the zone"))
	c.asked = 0
	tried, most := 0, 0
	c.onHostPacket = func([4]byte) {
		// The agent tries the packet of each search at its own host as well.
		tried++
		most = max(most, 2*tried-c.asked)
	}
	c.now += 200 * time.Millisecond
	c.agents[addr(11)].Tick(c.now, out)
	must.Eq(t, searches, tried)
	must.LessEq(t, 2*flow.MaxKeys, most, must.Sprint("waiting questions"))
}
