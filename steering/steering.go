// Package steering decides where the packets of opaque flows go: which host
// receives a new flow, which agents store the owner of a flow (the agent whose
// host holds it), and when a flow is refused. It does no I/O and reads no
// clock; times are durations since an arbitrary fixed point.
//
// Hosts are compared by a cost without a unit: their load per slot plus
// penalties.
package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/placement"
)

const (
	// busyWeight is the cost of one unanswered request per slot.
	busyWeight = 1.0
	// flowWeight is the cost of carrying as many open flows per slot as the mean of
	// the service's hosts. Only the proportion counts: long flows are mostly idle,
	// and their number says nothing about how close a host is to its capacity.
	flowWeight = 0.5
	// zonePenalty is the cost of leaving the requester's zone. A host in another
	// zone is chosen only if the cost of every host in the requester's zone is
	// higher by more than this.
	zonePenalty = 0.6
	// bulkZonePenalty is added to zonePenalty for flows that carry much data.
	bulkZonePenalty = 2.0
	// coldPenalty is the cost of a host that is still warming up.
	coldPenalty = 0.5
	// lapsedPenalty is the cost of a host whose entry lapsed while the store was
	// away.
	lapsedPenalty = 0.5
	// suspectBase is how long a host that did not answer is avoided the first
	// time. The time doubles with each consecutive missed answer, up to
	// suspectMax.
	suspectBase = time.Second
	suspectMax  = 8 * time.Second
	// refusingDuration is how long a host is avoided after it refused a flow.
	refusingDuration = 500 * time.Millisecond
	// unknownLoadShare is the fraction of the mean load that a host without a
	// recent report is assumed to carry, if it is in the requester's zone.
	unknownLoadShare = 0.3
	// maxUnknownCost is the upper limit of the cost that a host in another zone
	// without a recent report is assumed to have. It is that of a host with the mean
	// number of flows and half of its slots in use.
	maxUnknownCost = 1.0
	// maxLoadAge is the age from which on a load report is no longer used.
	maxLoadAge = 2 * time.Second
)

// hostLoad is what is known of the load and state of one host.
type hostLoad struct {
	// flows and busy are the reported numbers of open flows and of unanswered
	// requests. A request counts from when the host received it until it is
	// answered, whether it is in service or queued at the host.
	flows, busy int
	// failureShare is the fraction of the host's requests that fail, from 0 to 1.
	failureShare float64
	// serviceTime is the reported mean time that a request is in service, or 0 if it
	// is not known.
	serviceTime time.Duration
	// admitPriority is the lowest priority that the host admits, as of its last
	// report. It is valid if admitKnown is set.
	admitPriority int
	admitKnown    bool
	// reportedAt is when the host last reported its load.
	reportedAt time.Duration
	// placedSinceReport counts the flows sent to the host since that report.
	placedSinceReport int
	// refusingUntil is the time until which the host is assumed to refuse new
	// flows.
	refusingUntil time.Duration
	// suspectUntil is the time until which the host is avoided because it did not
	// answer, and missedAnswers the number of consecutive missed answers.
	suspectUntil  time.Duration
	missedAnswers uint
}

// LoadTable holds the load of hosts by the IPv4 address of their agent. It is
// not safe for concurrent use.
type LoadTable struct {
	hosts map[[4]byte]*hostLoad
	// serviceTimes is reused by medianServiceTime.
	serviceTimes []time.Duration
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{hosts: make(map[[4]byte]*hostLoad)}
}

// getOrCreate returns the state of a host. It adds one without a recent report
// if there is none.
func (t *LoadTable) getOrCreate(agent [4]byte) *hostLoad {
	load := t.hosts[agent]
	if load == nil {
		load = &hostLoad{reportedAt: -maxLoadAge}
		t.hosts[agent] = load
	}
	return load
}

// Report records the numbers of open flows and of unanswered requests that a
// host reports about itself. It also clears the suspicion that the host does
// not answer.
func (t *LoadTable) Report(agent [4]byte, flows, busy int, now time.Duration) {
	load := t.getOrCreate(agent)
	load.flows, load.busy, load.reportedAt = flows, busy, now
	load.placedSinceReport = 0
	load.suspectUntil, load.missedAnswers = 0, 0
}

// Lookup returns the last reported numbers of open flows and of unanswered
// requests of a host, and the age of that report.
func (t *LoadTable) Lookup(agent [4]byte, now time.Duration) (flows, busy int, age time.Duration) {
	load := t.getOrCreate(agent)
	return load.flows, load.busy, now - load.reportedAt
}

// RecordPlacement records that a new flow was sent to the host.
func (t *LoadTable) RecordPlacement(agent [4]byte) {
	t.getOrCreate(agent).placedSinceReport++
}

// MarkRefusing records that the host refuses new flows. A host that is starting
// does so although it has no load.
func (t *LoadTable) MarkRefusing(agent [4]byte, now time.Duration) {
	load := t.getOrCreate(agent)
	load.refusingUntil = now + refusingDuration
	load.placedSinceReport = 0
	load.suspectUntil, load.missedAnswers = 0, 0
}

// MarkSuspect records that the host did not answer the first packet of a flow.
func (t *LoadTable) MarkSuspect(agent [4]byte, now time.Duration) {
	load := t.getOrCreate(agent)
	load.suspectUntil = now + min(suspectMax, suspectBase<<min(load.missedAnswers, 3))
	load.missedAnswers++
}

// Retain removes hosts that are not in the catalog. It keeps those that lapsed, which
// may return.
func (t *LoadTable) Retain(c *catalog.Catalog, now time.Duration) {
	if now-c.LapsedAt < catalog.LapsedHostGrace {
		return
	}
	for agent := range t.hosts {
		if c.Hosts[agent] == nil {
			delete(t.hosts, agent)
		}
	}
}

// PlacementRequest describes a new flow that needs a host.
type PlacementRequest struct {
	// Hash is the hash of the flow's key. It breaks ties between hosts.
	Hash uint64
	// Zone is the requester's zone, which is that of the entry that received the
	// flow. If it is empty, no host is preferred for its zone.
	Zone string
	// Bulk is set for flows that carry much data.
	Bulk bool
	// TargetLatency is the latency objective of the flow's requests, or 0 if there is
	// none.
	TargetLatency time.Duration
	// Avoid reports whether the flow must not go to the host of an agent, for
	// instance because that host could not take it. It may be nil.
	Avoid func(agent [4]byte) bool
	// Record, if it is not nil, is called with each host that is considered. It must
	// not change the load table.
	Record func(Candidate)
	Now    time.Duration
}

// ChooseHost returns the usable host with the lowest cost for the flow, or nil if
// there is none. Hosts in the requester's zone are preferred; hosts that do not
// answer are chosen only if there are no others.
func ChooseHost(c *catalog.Catalog, s *catalog.Service, loads *LoadTable, request PlacementRequest) *catalog.Host {
	means := loads.means(s, request.Now)
	if !request.ignoresServiceTime() {
		means.serviceTime = loads.medianServiceTime(c, s, request.Now)
	}
	avoidFailing := loads.avoidFailing(c, s, request.Now)
	var best *catalog.Host
	bestCost := 0.0
	var terms CostTerms
	consider := func(hosts []*catalog.Host, penalty float64) {
		for _, h := range hosts {
			if reason := request.exclusion(c, h); reason != "" {
				request.record(h, reason, nil, loads)
				continue
			}
			terms.setHostCost(h, loads, &request, means, avoidFailing)
			terms.Lapsed = penalty
			cost := terms.Sum()
			request.record(h, "", &terms, loads)
			if best == nil || cost < bestCost {
				best, bestCost = h, cost
			}
		}
	}
	consider(s.Hosts, 0)
	if len(s.Lapsed) > 0 && request.Now-c.LapsedAt < catalog.LapsedHostGrace {
		// The few hosts that have renewed their entries first would be overloaded.
		consider(s.Lapsed, lapsedPenalty)
	}
	return best
}

// loadMeans are the means over the hosts of a service with a recent report. They
// are 0 if there are none.
type loadMeans struct {
	// flows is the mean number of open flows per slot, and cost the mean cost.
	flows, cost float64
	// serviceTime is the median service time, or 0 if it is to be ignored.
	serviceTime time.Duration
}

// means returns the means over the hosts of a service.
func (t *LoadTable) means(s *catalog.Service, now time.Duration) loadMeans {
	var flows, busy float64
	n := 0
	for _, h := range s.Hosts {
		if load := t.hosts[h.Addr.Addr]; load != nil && now-load.reportedAt < maxLoadAge {
			flows += load.flowsPerSlot(h)
			busy += load.busyPerSlot(h)
			n++
		}
	}
	if n == 0 {
		return loadMeans{}
	}
	m := loadMeans{flows: flows / float64(n), cost: busyWeight * busy / float64(n)}
	if m.flows > 0 {
		m.cost += flowWeight
	}
	return m
}

// unknownCost returns the cost that a host without a recent report is assumed to
// have. In the requester's zone it is a fraction of the mean: if such hosts counted
// as loaded as the others, they would get no flows during a burst. In other zones it
// is the mean: if they counted as less loaded, they would attract flows from all
// zones. The limit lets flows leave a zone whose hosts are all overloaded.
func (m loadMeans) unknownCost(sameZone bool) float64 {
	if sameZone {
		return unknownLoadShare * m.cost
	}
	return min(m.cost, maxUnknownCost)
}

func (l *hostLoad) flowsPerSlot(h *catalog.Host) float64 {
	return float64(l.flows+l.placedSinceReport) / float64(max(1, h.Slots))
}

func (l *hostLoad) busyPerSlot(h *catalog.Host) float64 {
	return float64(l.busy+l.placedSinceReport) / float64(max(1, h.Slots))
}

// addLoadCost sets the terms of the cost of the load of a host.
func (l *hostLoad) addLoadCost(t *CostTerms, h *catalog.Host, m loadMeans) {
	t.Busy = busyWeight * l.busyPerSlot(h)
	if m.flows > 0 {
		t.Flows = flowWeight * l.flowsPerSlot(h) / m.flows
	}
}

// The penalties of hosts that refuse flows or do not answer. They are large
// compared with the other costs, so that such hosts are chosen last, those that
// do not answer after those that refuse.
const (
	refusingPenalty = 100
	suspectPenalty  = 1000
)

// setHostCost sets the terms of the cost of sending the flow to the host. A host
// without a recent report gets an assumed cost plus the cost of the flows sent to it
// since its last report.
func (t *CostTerms) setHostCost(h *catalog.Host, loads *LoadTable, request *PlacementRequest, means loadMeans, avoidFailing bool) {
	sameZone := h.Zone == request.Zone || request.Zone == ""
	*t = CostTerms{Assumed: means.unknownCost(sameZone)}
	if load := loads.hosts[h.Addr.Addr]; load != nil {
		if request.Now-load.reportedAt < maxLoadAge {
			t.Assumed = 0
			load.addLoadCost(t, h, means)
			load.addServiceTimeCost(t, h, request, means)
		} else {
			t.Busy = busyWeight * float64(load.placedSinceReport) / float64(max(1, h.Slots))
		}
		if request.Now < load.suspectUntil {
			t.Suspect = suspectPenalty
		}
		if request.Now < load.refusingUntil {
			t.Refusing = refusingPenalty
		}
		if avoidFailing {
			t.Failing = failingPenalty * load.decayedFailureShare(request.Now)
		}
	}
	if !sameZone {
		t.Zone = zonePenalty
		if request.Bulk {
			t.Bulk = bulkZonePenalty
		}
	}
	if h.Cold(request.Now) {
		t.Cold = coldPenalty
	}
	// Break ties by a hash of flow and host, so that flows with equal choices
	// spread over the hosts.
	t.TieBreak = tieBreakWeight * float64(placement.Mix(request.Hash^uint64(h.StartUnixMilli)^addrHash(h.Addr.Addr))>>11) / (1 << 53)
}

// tieBreakWeight is the upper bound of the cost that breaks ties. It does not
// exceed the cost of one open flow on a host with ten slots.
const tieBreakWeight = 0.01

func addrHash(a [4]byte) uint64 {
	return placement.Mix(uint64(a[0])<<24 | uint64(a[1])<<16 | uint64(a[2])<<8 | uint64(a[3]))
}

// Keepers returns the addresses of the two agents that store which agent owns
// the flow with the given hash, chosen by rendezvous hashing. Processes with
// the same list of agents get the same result. If there is only one agent,
// second equals first; if there is none, ok is false.
func Keepers(c *catalog.Catalog, hash uint64) (first, second [4]byte, ok bool) {
	var best, next uint64
	for _, a := range c.Agents {
		score := placement.Mix(hash ^ addrHash(a))
		switch {
		case !ok || score > best:
			second, next = first, best
			first, best = a, score
			ok = true
		case score > next:
			second, next = a, score
		}
	}
	if second == ([4]byte{}) {
		second = first
	}
	return first, second, ok
}
