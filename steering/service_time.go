package steering

import (
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/placement"
)

const (
	// minServiceTimeRatio is the ratio of a host's service time to the median below
	// which it counts as 1. Times measured over ten requests scatter by that much.
	minServiceTimeRatio = 1.5
	// minComparedServiceTime is the service time as which shorter ones count. Reports
	// carry whole milliseconds, whose rounding would change the ratio of shorter times
	// by more than minServiceTimeRatio.
	minComparedServiceTime = 5 * time.Millisecond
	// ignoringShare is the number of placements of which one ignores service times.
	// These measure again a host that other placements avoid.
	ignoringShare = 64
	// latePenalty is the cost of a host that cannot serve a request within the target
	// latency even when idle. Such a host is chosen after all others that take flows.
	latePenalty = 50
	// maxSlowCost and maxWaitCost limit the other costs of the service time. With
	// latePenalty and the load of a host whose own queue is full, about five requests
	// per slot, they stay below refusingPenalty, whatever service time is reported: a
	// slow host that takes flows is better than one that takes none.
	maxSlowCost = 20
	maxWaitCost = 20
	// freeWaitShare is the fraction of the target latency up to which a wait for a
	// slot adds no cost, and maxWaitShare the fraction at which the cost added equals
	// that of leaving the zone. The rest of the target latency is left for the
	// request itself.
	freeWaitShare = 0.5
	maxWaitShare  = 0.75
)

// SetServiceTime records the mean service time that a host reports about itself, or
// 0 if it is not known.
func (t *LoadTable) SetServiceTime(agent [4]byte, serviceTime time.Duration) {
	t.getOrCreate(agent).serviceTime = serviceTime
}

// ignoresServiceTime reports whether the flow is placed as if no service times were
// known. A host that has become slow gets few requests otherwise, and its estimate
// would stay high after it has recovered.
func (r *PlacementRequest) ignoresServiceTime() bool {
	return placement.Mix(r.Hash)%ignoringShare == 0
}

// medianServiceTime returns the median of the service times of a service's usable hosts
// that have reported one recently, the lower of the two middle ones if their number
// is even. It is 0 if there are none.
func (t *LoadTable) medianServiceTime(c *catalog.Catalog, s *catalog.Service, now time.Duration) time.Duration {
	times := t.serviceTimes[:0]
	for _, h := range s.Hosts {
		if load := t.hosts[h.Addr.Addr]; c.Usable(h) && load != nil && load.serviceTime > 0 && now-load.reportedAt < maxLoadAge {
			times = append(times, load.serviceTime)
		}
	}
	t.serviceTimes = times
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// serviceTimeRatio returns the ratio of the host's service time to the median, or 1
// if either is not known or the host is not clearly slower.
func (l *hostLoad) serviceTimeRatio(median time.Duration) float64 {
	if l.serviceTime == 0 || median == 0 {
		return 1
	}
	ratio := float64(max(l.serviceTime, minComparedServiceTime)) / float64(max(median, minComparedServiceTime))
	if ratio < minServiceTimeRatio {
		return 1
	}
	return ratio
}

// addServiceTimeCost sets the terms of the cost of the host's service time, which is
// added to that of its load. It handles hosts that are several times as slow as the
// others, and zones whose hosts are overloaded while others have free slots. The terms
// are 0 if the service time of no host is known.
func (l *hostLoad) addServiceTimeCost(t *CostTerms, h *catalog.Host, r *PlacementRequest, m loadMeans) {
	ratio := l.serviceTimeRatio(m.serviceTime)
	// The load includes the new request, so that an idle slow host costs as much as a
	// loaded one with the same latency. Open flows are not weighted, since their number
	// says nothing about how close a host is to its capacity.
	rounds := l.busyPerSlot(h) + 1/float64(max(1, h.Slots))
	t.Slow = min(maxSlowCost, (ratio-1)*busyWeight*rounds)
	if r.TargetLatency <= 0 {
		return
	}
	// If the median exceeds the target latency, no host is slow by comparison.
	share := ratio * float64(m.serviceTime) / float64(r.TargetLatency)
	if share > 1 && m.serviceTime <= r.TargetLatency {
		t.Late = latePenalty
	}
	if excess := (rounds-1)*share - freeWaitShare; excess > 0 {
		t.Wait = min(maxWaitCost, (zonePenalty+bulkZonePenalty)*excess/(maxWaitShare-freeWaitShare))
	}
}
