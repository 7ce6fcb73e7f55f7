// Package steering decides where the packets of opaque flows go: which host
// takes a new flow, which agents keep the owner of a flow, and when a flow is
// refused. It does no input or output and reads no clock.
package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/placement"
)

const (
	// busyWeight is the cost of one request in service per slot.
	busyWeight = 1.0
	// flowWeight is the cost of one open flow per slot. Long flows pause, so
	// that a flow weighs less than a request.
	flowWeight = 0.1
	// zonePenalty is the cost of leaving the requester's zone: a host of
	// another zone is taken once the near ones carry this much more.
	zonePenalty = 0.6
	// bulkZonePenalty is added for flows that carry much data.
	bulkZonePenalty = 2.0
	// coldPenalty is the cost of a host that is still warming up.
	coldPenalty = 0.5
	// suspectBase is how long a host that did not answer is left alone, at
	// first; it doubles up to suspectMax with each further silence.
	suspectBase = time.Second
	suspectMax  = 8 * time.Second
	// refusingLinger is how long a host is left alone that refused a flow.
	refusingLinger = 500 * time.Millisecond
	// unknownShare is the share of the usual load that a host is taken to carry
	// of which nothing is known.
	unknownShare = 0.3
	// loadAge is how long a report of load counts in full.
	loadAge = 2 * time.Second
)

// Load is what is known of the load of one host.
type Load struct {
	Flows, Busy int
	// Failing is the share of the host's requests that fail.
	Failing float64
	// Reported is when the owner last reported.
	Reported time.Duration
	// placed counts the flows sent there since the report.
	placed int
	// refusingUntil is until when the host is taken to refuse new flows.
	refusingUntil time.Duration
	// suspectUntil is until when the host is left alone, and silences how
	// often in a row it did not answer.
	suspectUntil time.Duration
	silences     uint
}

// Loads holds the load of hosts by the address of their agent. It is not safe
// for concurrent use.
type Loads struct {
	hosts map[[4]byte]*Load
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{hosts: make(map[[4]byte]*Load)}
}

func (l *Loads) get(agent [4]byte) *Load {
	load := l.hosts[agent]
	if load == nil {
		load = &Load{Reported: -loadAge}
		l.hosts[agent] = load
	}
	return load
}

// Report notes a host's own report, which also shows that it answers.
func (l *Loads) Report(agent [4]byte, flows, busy int, now time.Duration) {
	load := l.get(agent)
	load.Flows, load.Busy, load.Reported = flows, busy, now
	load.placed = 0
	load.suspectUntil, load.silences = 0, 0
}

// Known returns what is known of a host's load, and how old it is.
func (l *Loads) Known(agent [4]byte, now time.Duration) (flows, busy int, age time.Duration) {
	load := l.get(agent)
	return load.Flows, load.Busy, now - load.Reported
}

// Placed notes a flow that was sent to the host.
func (l *Loads) Placed(agent [4]byte) {
	l.get(agent).placed++
}

// Refusing notes that the host refuses new flows, as one that is starting does
// although it has no load.
func (l *Loads) Refusing(agent [4]byte, now time.Duration) {
	load := l.get(agent)
	load.refusingUntil = now + refusingLinger
	load.placed = 0
	load.suspectUntil, load.silences = 0, 0
}

// Silent notes that the host did not answer an opening.
func (l *Loads) Silent(agent [4]byte, now time.Duration) {
	load := l.get(agent)
	load.suspectUntil = now + min(suspectMax, suspectBase<<min(load.silences, 3))
	load.silences++
}

// Retain forgets hosts that are not in the catalog.
func (l *Loads) Retain(c *catalog.Catalog) {
	for agent := range l.hosts {
		if c.Hosts[agent] == nil {
			delete(l.hosts, agent)
		}
	}
}

// Opening describes a flow that is to be placed.
type Opening struct {
	// Hash is the hash of the flow's key; it breaks ties.
	Hash uint64
	// Zone is the zone that the requester is in.
	Zone string
	// Bulk tells that the flow carries much data.
	Bulk bool
	// Avoid reports hosts that could not take the flow.
	Avoid func(agent [4]byte) bool
	Now   time.Duration
}

// ChooseHost returns the host with the least load that may take the flow, near
// hosts first, or nil. Suspected hosts are taken only when there are no others.
func ChooseHost(c *catalog.Catalog, s *catalog.Service, loads *Loads, o Opening) *catalog.Host {
	usual := unknownShare * loads.usual(s, o.Now)
	outliers := loads.outliers(c, s, o.Now)
	var best *catalog.Host
	bestCost := 0.0
	for _, h := range s.Hosts {
		if !c.Usable(h) || o.Avoid != nil && o.Avoid(h.Addr.Addr) {
			continue
		}
		cost := hostCost(h, loads, &o, usual, outliers)
		if best == nil || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	return best
}

// usual returns the mean cost of the hosts that have reported lately. A host
// of which nothing is known is taken to carry a share of it: a host that seems
// empty would draw flows from all zones, one that seems as loaded as the others
// would get none in a burst.
func (l *Loads) usual(s *catalog.Service, now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, h := range s.Hosts {
		if load := l.hosts[h.Addr.Addr]; load != nil && now-load.Reported < loadAge {
			sum += load.cost(h)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// cost returns the load of a host per slot.
func (load *Load) cost(h *catalog.Host) float64 {
	return (flowWeight*float64(load.Flows+load.placed) + busyWeight*float64(load.Busy+load.placed)) / float64(max(1, h.Slots))
}

// Hosts that refuse or do not answer are taken last, the silent ones after the
// others.
const (
	refusingPenalty = 100
	suspectPenalty  = 1000
)

func hostCost(h *catalog.Host, loads *Loads, o *Opening, usual float64, outliers bool) float64 {
	cost := usual
	if load := loads.hosts[h.Addr.Addr]; load != nil {
		if o.Now-load.Reported < loadAge {
			cost = load.cost(h)
		} else {
			cost += busyWeight * float64(load.placed) / float64(max(1, h.Slots))
		}
		if o.Now < load.suspectUntil {
			cost += suspectPenalty
		}
		if o.Now < load.refusingUntil {
			cost += refusingPenalty
		}
		if outliers {
			cost += failingPenalty * load.failure(o.Now)
		}
	}
	if h.Zone != o.Zone {
		cost += zonePenalty
		if o.Bulk {
			cost += bulkZonePenalty
		}
	}
	if h.Cold(o.Now) {
		cost += coldPenalty
	}
	// Ties fall to another host for each flow.
	return cost + tieWeight*float64(placement.Mix(o.Hash^uint64(h.StartUnixMilli)^addrSeed(h.Addr.Addr))>>11)/(1<<53)
}

// tieWeight is below the cost of one flow on a host of ten slots.
const tieWeight = 0.01

func addrSeed(a [4]byte) uint64 {
	return placement.Mix(uint64(a[0])<<24 | uint64(a[1])<<16 | uint64(a[2])<<8 | uint64(a[3]))
}

// Keepers returns the two agents that remember the owner of a flow. Processes
// with the same list of agents agree; second is the first one if there is only
// one, and ok is false if there is none.
func Keepers(c *catalog.Catalog, hash uint64) (first, second [4]byte, ok bool) {
	var best, next uint64
	for _, a := range c.Agents {
		score := placement.Mix(hash ^ addrSeed(a))
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
