package steering

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/placement"
)

const (
	// AdmitsAll is the admission level of a host that refuses no opening.
	AdmitsAll = 254
	// maxLevelAge is the age up to which a report of a host's admission level counts, and
	// levelRounds the same in service times of the host, of which the smaller one applies.
	// Admission lets a host queue about four service times. With the first limit alone,
	// replays of four hosts answer five requests in some periods of 100 ms instead of 19,
	// because entries refuse openings until the hosts run idle.
	maxLevelAge = 500 * time.Millisecond
	levelRounds = 2
	// probeShare is the number of openings of which one is placed at an overloaded
	// service, so that news of free capacity arrives.
	probeShare = 16
	// probeSalt separates the choice of these openings from that of the placements that
	// ignore service times, which uses the same hash.
	probeSalt = 0x6f7665726c6f6164
)

// Opening describes a new flow as far as admission depends on it: the priority, target
// latency and time limit of its route.
type Opening struct {
	Priority               int
	TargetLatency, Timeout time.Duration
}

// AdmitOpening decides on a new flow, whose requester sent the opening at sentAt. The
// backlog is what is ahead of it. A flow that this host would refuse is accepted if its
// requests would still be released in time for their requester.
func (q *RequestQueue) AdmitOpening(now, sentAt time.Duration, o Opening, b Backlog, hasAlternative bool) Decision {
	return q.Admission(now, sentAt, o, b, hasAlternative).Decision
}

// Admission is AdmitOpening with what the decision rests on.
func (q *RequestQueue) Admission(now, sentAt time.Duration, o Opening, b Backlog, hasAlternative bool) Admission {
	return q.admissionBehind(now, sentAt, o, b, hasAlternative, 0)
}

// admissionBehind is Admission with some more requests ahead of the flow.
func (q *RequestQueue) admissionBehind(now, sentAt time.Duration, o Opening, b Backlog, hasAlternative bool, more int) Admission {
	b.Busy += more
	a := b.admission(o.TargetLatency, o.Priority, hasAlternative)
	if a.Decision == Refuse && o.Timeout > 0 {
		a.Late = q.lateAdmission(now, o.Priority, sentAt+o.Timeout, b, more)
		if a.Late.Admitted {
			a.Decision = Accept
		}
	}
	return a
}

// AdmissionLevel tracks the lowest priority that a host admits. It is what an agent
// reports to entries, so that they need not offer openings to every host of a service
// whose hosts all refuse them. The zero value is the level of a host that admits all.
//
// A priority stops being admitted once the host would refuse an opening of it if no
// other host could take it. It is admitted again once the host would accept it with one
// more request ahead for each slot. Without this difference, a saturated host would
// change its level with each answer, since every answer leaves room for one opening. A
// host with a free slot admits all, since with a service time near the target latency
// it would accept nothing behind other requests, and its level would stay as it is even
// while it is idle.
//
// It is not safe for concurrent use.
type AdmissionLevel struct {
	// refused holds the priorities of the last openings that are not admitted.
	refused map[int]bool
	lowest  int
	known   bool
}

// Lowest returns the lowest priority that the host admits, or AdmitsAll.
func (l *AdmissionLevel) Lowest() int {
	if !l.known {
		return AdmitsAll
	}
	return l.lowest
}

// Update determines the level anew. The openings are the kinds that the host may get,
// ordered by priority; ahead returns the backlog that delays an opening of a priority.
// A priority is admitted if one of its kinds is.
func (l *AdmissionLevel) Update(now time.Duration, q *RequestQueue, openings []Opening, ahead func(priority int) Backlog) {
	if l.refused == nil {
		l.refused = make(map[int]bool)
	}
	maps.DeleteFunc(l.refused, func(priority int, _ bool) bool {
		return !slices.ContainsFunc(openings, func(o Opening) bool { return o.Priority == priority })
	})
	l.known, l.lowest = true, 0
	all := true
	for i := 0; i < len(openings); {
		priority, admits := openings[i].Priority, false
		b, more := ahead(priority), 0
		if l.refused[priority] && b.Busy >= b.Slots {
			more = b.Slots
		}
		for ; i < len(openings) && openings[i].Priority == priority; i++ {
			admits = admits || q.admissionBehind(now, now, openings[i], b, false, more).Decision != Refuse
		}
		if admits {
			delete(l.refused, priority)
			l.lowest = priority
			continue
		}
		l.refused[priority], all = true, false
	}
	if all {
		l.lowest = AdmitsAll
	}
}

// SetAdmitPriority records the lowest priority that a host says it admits. It belongs to
// the host's last report; a report of an earlier build says nothing, so that known is
// false.
func (t *LoadTable) SetAdmitPriority(agent [4]byte, priority int, known bool) {
	load := t.getOrCreate(agent)
	load.admitPriority, load.admitKnown = priority, known
}

// Refuses reports whether the host of an agent has recently said that it does not admit
// openings of the given priority. Agents do not pass openings on to such hosts.
func (t *LoadTable) Refuses(agent [4]byte, priority int, now time.Duration) bool {
	load := t.hosts[agent]
	return load != nil && load.refuses(priority) && now-load.reportedAt <= load.levelLifetime()
}

// refuses reports whether the host has said that it does not admit the priority. Routes
// may have priorities beyond AdmitsAll, which a host that admits all admits too.
func (l *hostLoad) refuses(priority int) bool {
	return l.admitKnown && l.admitPriority < AdmitsAll && priority > l.admitPriority
}

// levelLifetime returns how long the host's report of its admission level counts.
func (l *hostLoad) levelLifetime() time.Duration {
	if l.serviceTime == 0 {
		return maxLevelAge
	}
	return min(maxLevelAge, levelRounds*l.serviceTime)
}

// ServiceLevel is what the reports of a service's hosts say together about admission.
type ServiceLevel struct {
	// Hosts is the number of usable hosts.
	Hosts int
	// OldestAge is the age of the oldest of their last reports.
	OldestAge time.Duration
	// Lowest is the lowest priority that one of the hosts admits.
	Lowest int
	// Placed says why the opening is placed, or is "" if it is refused.
	Placed PlacedBecause
	// Admitting is the host that is not known to refuse the priority, if Placed is
	// PlacedHostMayAdmit.
	Admitting *catalog.Host
	// LeastBusy is the smallest number of unanswered requests among the hosts, and
	// LeastLatency the smallest expected latency of one more request, or 0 if no
	// host has reported its service time.
	LeastBusy    int
	LeastLatency time.Duration
}

// addLoad adds a host with a backlog. Its latency is not known without a service time.
func (l *ServiceLevel) addLoad(b Backlog) {
	if latency := b.EstimatedLatency(); latency > 0 && (l.LeastLatency == 0 || latency < l.LeastLatency) {
		l.LeastLatency = latency
	}
	if l.Hosts == 0 || b.Busy < l.LeastBusy {
		l.LeastBusy = b.Busy
	}
	l.Hosts++
}

// PlacedBecause is a reason for which an opening is placed at a host.
type PlacedBecause string

// The reasons for which openings are placed.
const (
	// PlacedProbe: one opening in probeShare is placed, whatever the hosts have said.
	PlacedProbe PlacedBecause = "probe"
	// PlacedHostMayAdmit: a host has not recently said that it refuses the priority.
	PlacedHostMayAdmit PlacedBecause = "host_may_admit"
	// PlacedNoHost: there is no usable host that could have said so.
	PlacedNoHost PlacedBecause = "no_usable_host"
)

// RefusesAtOnce reports whether an opening of the given priority is to be refused
// without offering it to a host, and what decided this. It answers a service whose
// hosts all have more requests than they can serve in time: an opening would be passed
// from host to host, each of them would refuse it, and the frames that this takes would
// delay those of other flows.
//
// It does so only if every usable host of the service has recently said that it does not
// admit the priority. A service of which one host is not heard of, such as one that
// runs an earlier build or cannot be reached, gets openings as if nothing were known.
func (t *LoadTable) RefusesAtOnce(c *catalog.Catalog, s *catalog.Service, priority int, hash uint64, now time.Duration) (ServiceLevel, bool) {
	var level ServiceLevel
	switch {
	case isProbe(hash):
		level.Placed = PlacedProbe
	case !t.allRefuse(c, s.Hosts, priority, now, &level),
		now-c.LapsedAt < catalog.LapsedHostGrace && !t.allRefuse(c, s.Lapsed, priority, now, &level):
		level.Placed = PlacedHostMayAdmit
	case level.Hosts == 0:
		level.Placed = PlacedNoHost
	}
	return level, level.Placed == ""
}

// isProbe reports whether an opening is placed whatever the hosts have said.
func isProbe(hash uint64) bool { return placement.Mix(hash^probeSalt)%probeShare == 0 }

// allRefuse reports whether all usable hosts among the given ones have recently said
// that they do not admit the priority. It adds them to the level.
func (t *LoadTable) allRefuse(c *catalog.Catalog, hosts []*catalog.Host, priority int, now time.Duration, level *ServiceLevel) bool {
	for _, h := range hosts {
		if !c.Usable(h) {
			continue
		}
		if !t.Refuses(h.Addr.Addr, priority, now) {
			level.Admitting = h
			return false
		}
		load := t.hosts[h.Addr.Addr]
		level.addLoad(Backlog{Busy: load.busy, Slots: h.Slots, ServiceTime: load.serviceTime})
		level.OldestAge = max(level.OldestAge, now-load.reportedAt)
		level.Lowest = max(level.Lowest, load.admitPriority)
	}
	return true
}
