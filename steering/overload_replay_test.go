package steering_test

import (
	"math"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// overloadKind is a kind of request of the overload replay.
type overloadKind struct {
	steering.Opening
	work time.Duration
	// share is the part of the requests that are of this kind.
	share float64
}

// overloadKinds are the requests of two routes of one service.
var overloadKinds = []overloadKind{
	{steering.Opening{Priority: 1, TargetLatency: 300 * time.Millisecond, Timeout: 2 * time.Second}, 52 * time.Millisecond, 0.23},
	{steering.Opening{Priority: 2, TargetLatency: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond}, 40 * time.Millisecond, 0.77},
}

// kindResult counts what became of the requests of a kind.
type kindResult struct {
	asked, inObjective, late, failed int
	// refusedAtEntry and refusedAtAgent count attempts to open a flow.
	refusedAtEntry, refusedAtAgent int
}

// overload replays requests of two priorities on flows of their own at entries and
// agents of one service, with the request queues of the agents. Reports travel with the
// same frames as in package datagram. It uses the clock and the catalog of a replay.
type overload struct {
	*replay
	agents  map[[4]byte]*overloadAgent
	entries []*steering.LoadTable
	// entriesRefuse and agentsSkip select the policy under test: entries refuse openings
	// at once, and agents do not pass openings on to hosts that refuse them.
	entriesRefuse, agentsSkip bool
	// withoutUrgent makes all requests those of the lower priority.
	withoutUrgent bool
	// cut holds the entries that no frame reaches or leaves.
	cut map[*steering.LoadTable]bool
	// frames counts the frames between processes.
	frames  int
	results map[int]*kindResult
	// startedAt is when the processes last started. What was sent before is lost.
	startedAt time.Duration
	nextFlow  uint32
	// refusals holds the refusals at entries.
	refusals []overloadRefusal
	// answers holds the times at which answers within the objective were given.
	answers []time.Duration
	// idle is the time that slots were free.
	idle time.Duration
}

// overloadRefusal is a refusal at an entry and what decided it.
type overloadRefusal struct {
	at    time.Duration
	entry *steering.LoadTable
	level steering.ServiceLevel
}

// overloadAgent is an agent with its host.
type overloadAgent struct {
	host        *catalog.Host
	loads       *steering.LoadTable
	queue       *steering.RequestQueue
	level       *steering.AdmissionLevel
	serviceTime steering.ServiceTime
	times       map[int]*steering.ServiceTime
	waiting     map[flow.Key]func()
	// unanswered counts the requests that the agent has, running those at the host, of
	// which serving are in service; hostQueue holds the others.
	unanswered, running, serving int
	hostQueue                    []func()
	open                         int
	lastChange                   time.Duration
}

func (o *overload) newAgent(h *catalog.Host) *overloadAgent {
	return &overloadAgent{
		host: h, loads: steering.NewLoadTable(), queue: &steering.RequestQueue{}, level: &steering.AdmissionLevel{},
		times: make(map[int]*steering.ServiceTime), waiting: make(map[flow.Key]func()), lastChange: o.now,
	}
}

// newOverload returns a service of hosts with 3 slots each, with or without the policy
// under test.
func newOverload(seed uint64, hosts, entries int, levels bool) *overload {
	o := &overload{
		replay: newReplay(seed, true, hosts, "a"), agents: make(map[[4]byte]*overloadAgent), entriesRefuse: levels, agentsSkip: levels,
		cut: make(map[*steering.LoadTable]bool), results: make(map[int]*kindResult),
	}
	for _, h := range o.service.Hosts {
		o.agents[h.Addr.Addr] = o.newAgent(h)
	}
	for range entries {
		o.entries = append(o.entries, steering.NewLoadTable())
	}
	for _, k := range overloadKinds {
		o.results[k.Priority] = &kindResult{}
	}
	return o
}

// rate returns the requests per second that are the given multiple of the capacity.
func (o *overload) rate(load float64) float64 {
	work := 0.0
	for _, k := range overloadKinds {
		work += k.share * k.work.Seconds()
	}
	return load * 3 * float64(len(o.agents)) / work
}

// arriveAt lets requests arrive at random at a load that may change over time.
func (o *overload) arriveAt(load func(now time.Duration) float64) {
	o.after(o.interval(o.rate(max(0.01, load(o.now)))), func() {
		pick := o.random.Float64()
		kind := overloadKinds[0]
		if pick >= kind.share || o.withoutUrgent {
			kind = overloadKinds[1]
		}
		o.results[kind.Priority].asked++
		o.attempt(&kind, o.now, replayAttempts)
		o.arriveAt(load)
	})
}

// send lets a frame between processes arrive, unless the processes have restarted.
func (o *overload) send(arrive func()) {
	o.frames++
	sentAt := o.now
	o.after(replayHop, func() {
		if o.startedAt == 0 || sentAt > o.startedAt {
			arrive()
		}
	})
}

// attempt opens a flow for a request through a random entry.
func (o *overload) attempt(kind *overloadKind, askedAt time.Duration, attempts int) {
	if attempts == 0 {
		o.results[kind.Priority].failed++
		return
	}
	n := o.random.IntN(len(o.entries))
	hash, sentAt := o.random.Uint64(), o.now
	o.nextFlow++
	key := flow.Key{Requester: flow.Endpoint{Addr: [4]byte{byte(o.nextFlow >> 24), byte(o.nextFlow >> 16), byte(o.nextFlow >> 8), byte(o.nextFlow)}}}
	retry := func() { o.after(replayHop, func() { o.attempt(kind, askedAt, attempts-1) }) }
	o.after(replayHop, func() {
		entry := o.entries[n]
		if level, refuses := entry.RefusesAtOnce(o.catalog, o.service, kind.Priority, hash, o.now); refuses && o.entriesRefuse {
			o.results[kind.Priority].refusedAtEntry++
			o.refusals = append(o.refusals, overloadRefusal{o.now, entry, level})
			retry()
			return
		}
		request := steering.PlacementRequest{Hash: hash, Zone: "a", TargetLatency: kind.TargetLatency, Now: o.now}
		host := steering.ChooseHost(o.catalog, o.service, entry, request)
		entry.RecordPlacement(host.Addr.Addr)
		if o.cut[entry] {
			// The requester sends the opening again, and then through another entry.
			o.after(1400*time.Millisecond, func() { o.attempt(kind, askedAt, attempts-1) })
			return
		}
		q := steering.QueuedRequest{Key: key, Priority: kind.Priority, Objective: askedAt + kind.TargetLatency, Limit: askedAt + kind.Timeout}
		o.send(func() { o.offer(o.agents[host.Addr.Addr], kind, &q, hash, entry, nil, sentAt, retry) })
	})
}

// offer lets an agent decide on an opening.
func (o *overload) offer(a *overloadAgent, kind *overloadKind, q *steering.QueuedRequest, hash uint64, entry *steering.LoadTable, avoided [][4]byte, sentAt time.Duration, retry func()) {
	a.update(o.now)
	admit := func(hasAlternative bool) steering.Decision {
		return a.queue.AdmitOpening(o.now, sentAt, kind.Opening, a.ahead(o.now, kind.Priority), hasAlternative)
	}
	decision := admit(len(avoided) < 4)
	if decision == steering.Forward {
		o.report(a, entry)
		for _, agent := range avoided {
			o.report(a, o.agents[agent].loads)
		}
		avoided = append(avoided, a.host.Addr.Addr)
		avoids := func(agent [4]byte) bool {
			if o.agentsSkip && a.loads.Refuses(agent, kind.Priority, o.now) {
				return true
			}
			return slices.Contains(avoided, agent)
		}
		next := steering.PlacementRequest{Hash: hash, TargetLatency: kind.TargetLatency, Now: o.now, Avoid: avoids}
		if h := steering.ChooseHost(o.catalog, o.service, a.loads, next); h != nil {
			o.send(func() { o.offer(o.agents[h.Addr.Addr], kind, q, hash, entry, avoided, sentAt, retry) })
			return
		}
		decision = admit(false)
	}
	if decision == steering.Refuse {
		o.results[kind.Priority].refusedAtAgent++
		retry()
		return
	}
	a.open++
	o.reportOwned(a, entry)
	// The acknowledgement and the request follow after a round trip.
	o.after(2*replayHop, func() {
		o.send(func() { a.update(o.now); o.reportOwned(a, entry) })
		o.send(func() { o.begin(a, kind, q) })
	})
}

// update determines the admission level.
func (a *overloadAgent) update(now time.Duration) {
	openings := make([]steering.Opening, 0, len(overloadKinds))
	for _, k := range overloadKinds {
		openings = append(openings, k.Opening)
	}
	a.level.Update(now, a.queue, openings, func(priority int) steering.Backlog { return a.ahead(now, priority) })
}

func (a *overloadAgent) ahead(now time.Duration, priority int) steering.Backlog {
	busy := a.unanswered + a.queue.Ahead(now, priority) - a.queue.Len()
	return steering.Backlog{Busy: busy, Slots: a.host.Slots, ServiceTime: a.serviceTime.Mean()}
}

// report sends a report of an agent to a process.
func (o *overload) report(a *overloadAgent, to *steering.LoadTable) {
	open, unanswered, serviceTime, level := a.open, a.unanswered, a.serviceTime.Comparable().Round(time.Millisecond), a.level.Lowest()
	o.send(func() {
		if o.cut[to] {
			return
		}
		to.Report(a.host.Addr.Addr, open, unanswered, o.now)
		to.SetServiceTime(a.host.Addr.Addr, serviceTime)
		to.SetAdmitPriority(a.host.Addr.Addr, level, true)
	})
}

// reportOwned tells an entry and the keepers of a flow.
func (o *overload) reportOwned(a *overloadAgent, entry *steering.LoadTable) {
	o.report(a, entry)
	for range replayKeepers {
		o.report(a, o.agents[o.service.Hosts[o.random.IntN(len(o.service.Hosts))].Addr.Addr].loads)
	}
}

// begin gives a request to the agent of its flow.
func (o *overload) begin(a *overloadAgent, kind *overloadKind, q *steering.QueuedRequest) {
	o.settle(a)
	a.unanswered++
	q.Work = kind.work
	if t := a.times[kind.Priority]; t != nil {
		q.Work = t.Mean()
	}
	serve := func() { o.serve(a, kind, q) }
	if a.running <= a.host.Slots {
		o.start(a, serve)
		return
	}
	a.waiting[q.Key] = serve
	a.queue.Push(*q)
}

// start gives a request to the host, which has one slot too few for all it is given.
func (o *overload) start(a *overloadAgent, serve func()) {
	a.running++
	if a.serving < a.host.Slots {
		serve()
		return
	}
	a.hostQueue = append(a.hostQueue, serve)
}

// serve runs a request in a slot.
func (o *overload) serve(a *overloadAgent, kind *overloadKind, q *steering.QueuedRequest) {
	o.settle(a)
	a.serving++
	// A log-normal distribution with a spread of a half, as measured at hosts.
	took := time.Duration(float64(kind.work) * math.Exp(0.5*o.random.NormFloat64()-0.125))
	o.after(took, func() {
		if o.agents[a.host.Addr.Addr] != a {
			o.results[kind.Priority].failed++
			return
		}
		o.settle(a)
		a.serving--
		a.running--
		a.unanswered--
		a.open--
		a.serviceTime.Observe(took)
		if a.times[kind.Priority] == nil {
			a.times[kind.Priority] = &steering.ServiceTime{}
		}
		a.times[kind.Priority].Observe(took)
		switch result := o.results[kind.Priority]; {
		case o.now <= q.Objective:
			result.inObjective++
			o.answers = append(o.answers, o.now)
		case o.now <= q.Limit:
			result.late++
		default:
			result.failed++
		}
		if len(a.hostQueue) > 0 {
			next := a.hostQueue[0]
			a.hostQueue = a.hostQueue[1:]
			next()
		}
		o.release(a)
	})
}

// release gives the host what waits and fits.
func (o *overload) release(a *overloadAgent) {
	for {
		q, found := a.queue.PopExpired(o.now)
		if !found {
			break
		}
		delete(a.waiting, q.Key)
		a.unanswered--
		a.open--
		o.results[q.Priority].failed++
	}
	for a.running <= a.host.Slots {
		q, found := a.queue.Pop(o.now, a.host.Slots)
		if !found {
			return
		}
		serve := a.waiting[q.Key]
		delete(a.waiting, q.Key)
		o.start(a, serve)
	}
}

// settle adds the idle time of the host's slots since the last change.
func (o *overload) settle(a *overloadAgent) {
	o.idle += time.Duration(a.host.Slots-a.serving) * (o.now - a.lastChange)
	a.lastChange = o.now
}

// restart loses the state of all processes and hosts.
func (o *overload) restart() {
	o.startedAt = o.now
	for i := range o.entries {
		o.entries[i] = steering.NewLoadTable()
	}
	for addr, a := range o.agents {
		for q, found := a.queue.Pop(o.now, 1); found; q, found = a.queue.Pop(o.now, 1) {
			o.results[q.Priority].failed++
		}
		o.agents[addr] = o.newAgent(a.host)
	}
}
