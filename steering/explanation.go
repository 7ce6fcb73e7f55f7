package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
)

// CostTerms are the terms of the cost of sending a flow to a host.
type CostTerms struct {
	// Assumed is the cost that a host without a recent report is assumed to have.
	Assumed float64 `json:"assumed"`
	// Busy is the cost of unanswered requests and of the flows sent since the last
	// report, Flows that of open flows.
	Busy  float64 `json:"busy"`
	Flows float64 `json:"flows"`
	// Slow is the cost of a service time above the median, Late that of one above the
	// target latency, and Wait that of a wait for a slot.
	Slow float64 `json:"slow"`
	Late float64 `json:"late"`
	Wait float64 `json:"wait"`
	// Suspect, Refusing and Failing are the costs of a host that does not answer, refuses
	// flows, and fails requests.
	Suspect  float64 `json:"suspect"`
	Refusing float64 `json:"refusing"`
	Failing  float64 `json:"failing"`
	// Zone is the cost of leaving the requester's zone, Bulk that of doing so with much
	// data.
	Zone float64 `json:"zone"`
	Bulk float64 `json:"bulk"`
	// Cold and Lapsed are the costs of a host that is warming up, and of one whose entry
	// lapsed.
	Cold   float64 `json:"cold"`
	Lapsed float64 `json:"lapsed"`
	// TieBreak depends on the flow. It spreads flows over hosts of equal cost.
	TieBreak float64 `json:"tie_break"`
}

// Sum returns the cost.
func (t *CostTerms) Sum() float64 {
	return t.Assumed + t.Busy + t.Flows + (t.Slow + t.Late + t.Wait) + t.Suspect + t.Refusing + t.Failing +
		t.Zone + t.Bulk + t.Cold + t.TieBreak + t.Lapsed
}

// Candidate is a host that was considered for a new flow.
type Candidate struct {
	Host *catalog.Host
	// Excluded is the reason for which the host may not get the flow, or "" if it may.
	Excluded Exclusion
	Terms    CostTerms
	Load     HostState
}

// Exclusion is a reason for which a host may not get a new flow.
type Exclusion string

// The reasons for which hosts are excluded.
const (
	// ExcludedDraining: the host accepts no new flows because it is to stop.
	ExcludedDraining Exclusion = "draining"
	// ExcludedEvacuated: operators have taken the host's zone out of service.
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedAvoided: the flow must not go to the host (see PlacementRequest.Avoid).
	ExcludedAvoided Exclusion = "avoided"
)

// exclusion returns the reason for which the host may not get the flow, or "".
func (r *PlacementRequest) exclusion(c *catalog.Catalog, h *catalog.Host) Exclusion {
	switch {
	case !c.Usable(h) && h.Draining:
		return ExcludedDraining
	case !c.Usable(h):
		return ExcludedEvacuated
	case r.Avoid != nil && r.Avoid(h.Addr.Addr):
		return ExcludedAvoided
	default:
		return ""
	}
}

// record reports a candidate to Record. The terms are nil for an excluded host.
func (r *PlacementRequest) record(h *catalog.Host, excluded Exclusion, terms *CostTerms, loads *LoadTable) {
	if r.Record == nil {
		return
	}
	c := Candidate{Host: h, Excluded: excluded, Load: loads.State(h.Addr.Addr, r.Now)}
	if terms != nil {
		c.Terms = *terms
	}
	r.Record(c)
}

// HostState is what a LoadTable holds on a host.
type HostState struct {
	// Reported reports that the host has recently reported its load. The other fields
	// hold its last report, if there was one.
	Reported          bool
	ReportAge         time.Duration
	Flows, Busy       int
	PlacedSinceReport int
	ServiceTime       time.Duration
	FailureShare      float64
	// AdmitPriority is the lowest priority that the host says it admits, valid if
	// AdmitKnown is set.
	AdmitPriority int
	AdmitKnown    bool
}

// State returns what the table holds on the host of an agent. It changes nothing.
func (t *LoadTable) State(agent [4]byte, now time.Duration) HostState {
	l := t.hosts[agent]
	if l == nil {
		return HostState{}
	}
	return HostState{
		Reported: now-l.reportedAt < maxLoadAge, ReportAge: now - l.reportedAt, Flows: l.flows, Busy: l.busy,
		PlacedSinceReport: l.placedSinceReport, ServiceTime: l.serviceTime, FailureShare: l.decayedFailureShare(now),
		AdmitPriority: l.admitPriority, AdmitKnown: l.admitKnown,
	}
}

// IsOrdinary reports whether the flow with the given hash is placed by the usual rules.
// Some flows ignore service times, others the admission levels of hosts (see
// ignoresServiceTime and RefusesAtOnce).
func IsOrdinary(hash uint64) bool {
	return !IgnoresServiceTime(hash) && !isProbe(hash)
}

// IgnoresServiceTime reports whether the flow with the given hash is placed as if no
// service times were known.
func IgnoresServiceTime(hash uint64) bool {
	request := PlacementRequest{Hash: hash}
	return request.ignoresServiceTime()
}

// WaitingRequests is the number of waiting requests of one priority.
type WaitingRequests struct {
	Priority int `json:"priority"`
	Waiting  int `json:"waiting"`
	// Ahead is how many of them would be released before the new request.
	Ahead int `json:"ahead"`
}

// WaitingFor returns the waiting requests by priority, with how many of them would be
// released before a new one of the given priority that can meet its objective.
func (q *RequestQueue) WaitingFor(now time.Duration, priority int) []WaitingRequests {
	var counts []WaitingRequests
	for i := range q.waiting {
		r := &q.waiting[i]
		n, found := slices.BinarySearchFunc(counts, r.Priority, func(w WaitingRequests, p int) int { return cmp.Compare(w.Priority, p) })
		if !found {
			counts = slices.Insert(counts, n, WaitingRequests{Priority: r.Priority})
		}
		counts[n].Waiting++
		if r.isAhead(now, priority) {
			counts[n].Ahead++
		}
	}
	return counts
}
