package datagram_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/platform"
)

const (
	peerPort    = 7720
	servicePort = 8443
	lifetime    = time.Minute
	// strayWindow and recoveryTime are those of the platform's settings.
	strayWindow, recoveryTime = 2 * time.Second, 2 * time.Second
)

// cluster simulates entries, agents and hosts with a shared catalog and a
// virtual clock. Frames and packets arrive without delay and in order.
type cluster struct {
	t       testing.TB
	now     time.Duration
	current *catalog.Catalog
	tracker *catalog.Tracker
	// catalogs holds the catalogs of agents that use another one than current.
	catalogs map[[4]byte]*catalog.Catalog
	entries  map[[4]byte]*datagram.Entry
	agents   map[[4]byte]*datagram.Agent
	hosts    map[[4]byte]*host
	// restarted holds the machines whose agents were started beside a running host.
	restarted map[[4]byte]bool
	// isolated holds machines that neither receive nor send frames.
	isolated map[[4]byte]bool
	// toRequester holds the decoded packets that requesters received.
	toRequester []flow.Packet
	// frames counts the frames between processes, by kind.
	frames map[flow.Kind]int
	queue  []func()
	// dropNext and duplicateNext are how many of the next frames are lost or
	// delivered twice.
	dropNext, duplicateNext int
	// flushAt is when agents have asked to be called. It is not asked for if unbatched is
	// set, so that each question is sent at once.
	flushAt   map[[4]byte]time.Duration
	unbatched bool
	// earlier holds the machines whose agents run an earlier build, which neither sends
	// nor knows what later ones have added to frames. bytes counts the bytes of frames.
	// unknownFrames counts the frames of later builds that they got or sent.
	earlier              map[[4]byte]bool
	bytes, unknownFrames int
	// asked counts the questions of searches.
	asked int
	// delay is how long frames take. If it is not 0, they are delivered by runUntil only.
	delay time.Duration
	timed []timedFrame
	// dropKind is a kind of frame that is always lost.
	dropKind flow.Kind
	// onHostPacket is called for each packet that is sent to a host. It may be nil.
	onHostPacket func(at [4]byte)
	// arrivals holds the packets, but openings, that reached hosts.
	arrivals map[flow.Key][]arrival
	// onNewerConfig is called if a process learns of a newer configuration of another one. It
	// may be nil.
	onNewerConfig func(at, process [4]byte, version uint64)
	// unconfirmed holds the machines whose agents get no confirmation of the list of hosts.
	unconfirmed map[[4]byte]bool
	// onFrame is called for each frame that a process sends. It may be nil.
	onFrame func(from, to [4]byte, kind flow.Kind)
}

// arrival is a packet of a flow that reached a host.
type arrival struct {
	at   time.Duration
	host [4]byte
	// held reports that the host holds the flow.
	held bool
}

// host simulates a backend server, which returns packets of flows that it does
// not hold.
type host struct {
	service string
	// initialSeqs holds the initial sequence number of the host's side of each
	// flow, established the flows that the requester has confirmed.
	initialSeqs map[flow.Key]uint32
	established map[flow.Key]bool
	// unheldPackets counts the received packets of flows that the host does
	// not hold.
	unheldPackets map[flow.Key]int
	accepted      int
	// A down host ignores packets; a refusing one returns openings.
	down, refusing bool
	// A host that returns late never returns a packet of a flow that it does not hold.
	returnsLate bool
	// wasDown reports that the host's agent has seen that the host did not run.
	wasDown bool
	// A failing host resets flows instead of answering requests.
	failing bool
	// A host that keeps requests leaves them for the test to answer.
	keepsRequests bool
	// serviceTime is how long a request takes.
	serviceTime time.Duration
	lastSeq     uint32
	// received holds the decoded packets that reached the host.
	received []flow.Packet
}

// frameOverhead is the size of the IP and UDP headers of a frame.
const frameOverhead = 28

func addr(n byte) [4]byte { return [4]byte{10, 0, 0, n} }

func newCluster(t testing.TB) *cluster {
	return &cluster{
		t: t, now: time.Second, entries: make(map[[4]byte]*datagram.Entry), agents: make(map[[4]byte]*datagram.Agent),
		hosts: make(map[[4]byte]*host), isolated: make(map[[4]byte]bool), restarted: make(map[[4]byte]bool), flushAt: make(map[[4]byte]time.Duration), frames: make(map[flow.Kind]int),
		arrivals: make(map[flow.Key][]arrival),
	}
}

func newDiscardEvents() *datagram.Events {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return datagram.NewEvents(logrus.NewEntry(log))
}

func (c *cluster) catalog() *catalog.Catalog { return c.current }

// addEntryWithCatalog starts an entry that uses an older catalog.
func (c *cluster) addEntryWithCatalog(n byte, old *catalog.Catalog) {
	c.startEntry(n, func() *catalog.Catalog { return old })
}

func (c *cluster) addEntry(n byte) {
	c.startEntry(n, c.catalog)
}

func (c *cluster) startEntry(n byte, source datagram.CatalogFunc) {
	c.entries[addr(n)] = datagram.NewEntry(datagram.EntryConfig{
		Zone: "a", Self: flow.Endpoint{Addr: addr(n), Port: peerPort}, PeerPort: peerPort,
		Codec: platform.Codec{}, Catalog: source, Events: newDiscardEvents(),
		NewerConfig: c.newerConfigAt(n),
	})
}

// newerConfigAt returns the function that the n-th machine calls if it learns of a newer
// configuration.
func (c *cluster) newerConfigAt(n byte) func(process [4]byte, version uint64) {
	return func(process [4]byte, version uint64) {
		if c.onNewerConfig != nil {
			c.onNewerConfig(addr(n), process, version)
		}
	}
}

func (c *cluster) addHost(n byte, service string) *host {
	h := &host{service: service, initialSeqs: make(map[flow.Key]uint32), established: make(map[flow.Key]bool), unheldPackets: make(map[flow.Key]int), lastSeq: uint32(n) << 24}
	c.hosts[addr(n)] = h
	c.startAgent(n, false)
	return h
}

// startAgent starts a new agent, without state, for a host.
func (c *cluster) startAgent(n byte, restarted bool) {
	c.startAgentAt(n, restarted, time.UnixMilli(1_000_000))
}

// startAgentAt starts a new agent with the given process start time.
func (c *cluster) startAgentAt(n byte, restarted bool, started time.Time) {
	c.agents[addr(n)] = c.newAgent(n, restarted, started)
	if restarted {
		c.restarted[addr(n)] = true
		c.agents[addr(n)].Start(c.current, &clusterOutput{c, addr(n)})
		c.deliverAll()
	}
}

func (c *cluster) newAgent(n byte, restarted bool, started time.Time) *datagram.Agent {
	current := func() *catalog.Catalog {
		if own := c.catalogs[addr(n)]; own != nil {
			return own
		}
		return c.current
	}
	delete(c.flushAt, addr(n))
	var wakeAt func(at time.Duration)
	if !c.unbatched {
		wakeAt = func(at time.Duration) { c.flushAt[addr(n)] = at }
	}
	return datagram.NewAgent(datagram.AgentConfig{
		WakeAt: wakeAt,
		Self:   flow.Endpoint{Addr: addr(n), Port: peerPort}, Service: c.hosts[addr(n)].service, FlowLifetime: lifetime,
		StrayWindow: strayWindow, RecoveryTime: recoveryTime,
		ListConfirmer: &clusterConfirmer{c: c, agent: addr(n)},
		ColdOverage:   1.5, ColdSlack: 5, Restarted: restarted, StartedAt: started, ClockStart: c.now,
		HostWasDown: func() bool { return c.hosts[addr(n)].wasDown },
		Codec:       platform.Codec{}, Catalog: current, Events: newDiscardEvents(),
		NewerConfig: c.newerConfigAt(n),
	})
}

// publish publishes a catalog with one route to the targets and an entry for
// every host.
func (c *cluster) publish(version int64, edit func(values *[]catalog.Value), targets ...string) {
	split := ""
	for i, target := range targets {
		if i > 0 {
			split += ","
		}
		split += fmt.Sprintf(`{"backend":%q,"weight":1}`, target)
	}
	values := []catalog.Value{{Key: "op/config", Position: catalog.Position{Revision: version}, Data: []byte(fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","vhost":"198.18.0.1","prefix":"/%d/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":100,
		"priority":2,"traffic_split":[%s]}],"services":[{"name":"s","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0},
		{"name":"u","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0}],
		"limits":{"idle_timeout_ms":15000}}`, version, servicePort, split))}}
	for a, h := range c.hosts {
		values = append(values, catalog.Value{
			Key: fmt.Sprintf("servers/h%d", a[3]), Position: catalog.Position{Revision: version},
			Data: []byte(fmt.Sprintf(`{"backend":%q,"address":"10.0.0.%d:8080","zone":"a","version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1}`,
				h.service, a[3])),
		})
	}
	if edit != nil {
		edit(&values)
	}
	var changes []catalog.Change
	for _, v := range values {
		v.ReadAt = c.now
		change, err := platform.Decode(v)
		must.NoError(c.t, err)
		changes = append(changes, change)
	}
	before := c.current
	if c.tracker == nil {
		c.tracker = catalog.NewTracker()
		c.tracker.FirstStart = c.current == nil
	}
	c.tracker.Replace(catalog.Position{Revision: version}, changes, c.now)
	c.current = c.tracker.Current()
	if before != nil {
		for _, a := range c.sortedAgents() {
			c.agents[a].KeepersChanged(c.now, before, c.current, &clusterOutput{c, a})
			c.agents[a].HostsRemoved(c.now, before, c.current, &clusterOutput{c, a})
		}
	}
	c.deliverAll()
}

// sortedAgents returns the addresses of the agents in a fixed order, so that runs can be
// compared.
func (c *cluster) sortedAgents() [][4]byte {
	return slices.SortedFunc(maps.Keys(c.agents), func(a, b [4]byte) int { return bytes.Compare(a[:], b[:]) })
}

// confirmCatalog confirms the catalog as current.
func (c *cluster) confirmCatalog() {
	c.tracker.Apply(c.tracker.Position(), nil, c.now)
	c.current = c.tracker.Current()
	for _, a := range c.sortedAgents() {
		c.agents[a].Tick(c.now, &clusterOutput{c, a})
	}
	c.deliverAll()
}

// clusterConfirmer confirms at once up to which position a list of hosts must be complete, unless
// the agent's machine is among those that get no confirmation.
type clusterConfirmer struct {
	c     *cluster
	agent [4]byte
}

// Latest implements datagram.ListConfirmer.
func (f *clusterConfirmer) Latest() catalog.Confirmation {
	if f.c.unconfirmed[f.agent] {
		return catalog.Confirmation{}
	}
	return catalog.Confirmation{Position: f.c.current.Position, AsOf: f.c.now}
}

// Request implements datagram.ListConfirmer.
func (f *clusterConfirmer) Request(time.Duration) {}

// clusterOutput is the Output of the cores of one machine.
type clusterOutput struct {
	c    *cluster
	from [4]byte
}

func (o *clusterOutput) ToRequester(_ [4]byte, packet []byte) {
	var p flow.Packet
	must.True(o.c.t, platform.Codec{}.Decode(packet, &p))
	o.c.toRequester = append(o.c.toRequester, p)
}

func (o *clusterOutput) ToNode(to flow.Endpoint, f *flow.Frame, packet []byte) {
	data := append(f.Append(nil), packet...)
	o.c.frames[f.Kind]++
	if o.c.onFrame != nil {
		o.c.onFrame(o.from, to.Addr, f.Kind)
	}
	o.c.bytes += len(data) + frameOverhead
	switch f.Kind {
	case flow.Query:
		o.c.asked++
	case flow.QueryMany:
		keys, ok := flow.ParseKeys(packet)
		must.True(o.c.t, ok)
		o.c.asked += len(keys)
	}
	if o.c.earlier[o.from] || o.c.earlier[to.Addr] {
		if f.Kind > flow.UnlistedReport {
			o.c.unknownFrames++
			return
		}
		if f.Kind != flow.Deliver && f.Kind != flow.Lookup && f.Kind != flow.Probe {
			data[37] = 0
		}
	}
	if f.Kind == o.c.dropKind {
		return
	}
	if o.c.dropNext > 0 {
		o.c.dropNext--
		return
	}
	deliver := func() {
		switch {
		case o.c.isolated[to.Addr] || o.c.isolated[o.from]:
		case o.c.entries[to.Addr] != nil:
			o.c.entries[to.Addr].HandleFrame(o.c.now, o.from, data)
		case o.c.agents[to.Addr] != nil:
			o.c.agents[to.Addr].HandleFrame(o.c.now, o.from, data, &clusterOutput{o.c, to.Addr})
		}
	}
	if o.c.delay > 0 {
		o.c.timed = append(o.c.timed, timedFrame{o.c.now + o.c.delay, deliver})
		return
	}
	o.c.queue = append(o.c.queue, deliver)
	if o.c.duplicateNext > 0 {
		o.c.duplicateNext--
		o.c.queue = append(o.c.queue, deliver)
	}
}

func (o *clusterOutput) ToHost(packet []byte) {
	data := append([]byte(nil), packet...)
	if o.c.onHostPacket != nil {
		o.c.onHostPacket(o.from)
	}
	o.c.queue = append(o.c.queue, func() { o.c.hosts[o.from].receive(o.c, o.from, data) })
}

// deliverAll delivers all frames and packets, and lets the clock go on to the end of the
// delays of questions.
func (c *cluster) deliverAll() {
	c.deliverQueue()
	for len(c.flushAt) > 0 {
		c.flushNext()
	}
}

// deliverQueue delivers the frames and packets that have been sent.
func (c *cluster) deliverQueue() {
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next()
	}
}

// nextFlush returns the agent that is to be called first, and when.
func (c *cluster) nextFlush() (agent [4]byte, at time.Duration, ok bool) {
	for a, t := range c.flushAt {
		if !ok || t < at || t == at && a[3] < agent[3] {
			agent, at, ok = a, t, true
		}
	}
	return agent, at, ok
}

// flushNext calls the agent that is to be called first.
func (c *cluster) flushNext() {
	agent, at, _ := c.nextFlush()
	delete(c.flushAt, agent)
	c.now = max(c.now, at)
	c.agents[agent].Flush(c.now, &clusterOutput{c, agent})
	c.deliverQueue()
}

// receive processes a packet as the platform specifies for hosts.
func (h *host) receive(c *cluster, at [4]byte, data []byte) {
	var p flow.Packet
	must.True(c.t, platform.Codec{}.Decode(data, &p))
	h.received = append(h.received, p)
	if h.down {
		return
	}
	key := p.FromRequester()
	answer := func(flags byte, size int) {
		c.agents[at].HandleHost(c.now, packet(flags, p.Dst, p.Src, h.initialSeqs[key], p.Seq, size), &clusterOutput{c, at})
	}
	seq, held := h.initialSeqs[key]
	if held && !p.Opening() && !h.established[key] {
		held = p.AckSeq == seq+1
		h.established[key] = held
	}
	if !p.Opening() {
		c.arrivals[key] = append(c.arrivals[key], arrival{c.now, at, held})
	}
	switch {
	case p.Opening() && !h.refusing:
		if !held {
			h.lastSeq += 1000
			h.initialSeqs[key] = h.lastSeq
			h.accepted++
		}
		answer(syn|ack, 0)
	case held && p.Fin:
		answer(ack|fin, 0)
	case held && p.Size > 0 && h.failing:
		answer(rst, 0)
		delete(h.initialSeqs, key)
	case held && p.Size > 0 && h.keepsRequests:
	case held && p.Size > 0:
		c.now += h.serviceTime
		answer(ack, 100)
	case held:
	default:
		if !p.Opening() {
			h.unheldPackets[key]++
			if h.returnsLate {
				return
			}
		}
		data[0] |= returned
		c.agents[at].HandleHost(c.now, data, &clusterOutput{c, at})
	}
}

// Packet flag bits.
const (
	returned = 2
	ack      = 4
	rst      = 8
	syn      = 16
	fin      = 128
)

// packet encodes a packet as a requester or host sends it.
func packet(flags byte, from, to flow.Endpoint, seq, ackSeq uint32, size int) []byte {
	data := platform.Codec{}.AppendReset(nil, from, to, seq)
	data[0] = flags
	data[22], data[23] = byte(size), byte(size>>8)
	for i := range 4 {
		data[28+i] = byte(ackSeq >> (8 * i))
	}
	return append(data, make([]byte, size)...)
}
