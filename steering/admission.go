package steering

import "time"

const (
	// redirectThreshold is the share of a route's target latency from which on a new
	// flow is better taken to another host.
	redirectThreshold = 0.45
	// refuseThreshold is the share from which on a new flow is refused when no other
	// host can take it: its requests, and those that wait already, would be late.
	refuseThreshold = 0.7
	// maxServiceTimes is how many times the time in service a request may take before
	// its flow is refused, however long the target latency is: hosts queue few
	// requests and turn the others away.
	maxServiceTimes = 4.0
	// urgencyStep is added to refuseShare for each step by which a route is more
	// urgent than the least urgent ones, so that those are refused first.
	urgencyStep = 0.1
	// lowestPriority is the priority of the routes that are refused first.
	lowestPriority = 2
	// serviceSmoothing is the weight of a new sample of the time in service.
	serviceSmoothing = 0.1
)

// Decision is the decision on a new flow.
type Decision uint8

// The decisions on a new flow.
const (
	// Accept gives the flow to the host.
	Accept Decision = iota
	// Redirect brings the flow to another host.
	Redirect
	// Refuse tells the requester at once that no host can take the flow.
	Refuse
)

// Backlog is the work that waits at a host. It answers a burst: more requests
// than the hosts can serve, of which the queue makes all late instead of some
// refused.
type Backlog struct {
	// Busy counts the requests in service and in the queue, Slots those that are
	// in service at a time.
	Busy, Slots int
	// ServiceTime is the time in service of a request.
	ServiceTime time.Duration
}

// EstimatedLatency returns how long one more request would take.
func (p Backlog) EstimatedLatency() time.Duration {
	rounds := float64(p.Busy+1) / float64(max(1, p.Slots))
	return time.Duration(max(1, rounds) * float64(p.ServiceTime))
}

// Admit decides on a new flow of a route. Others tells whether another host may
// take the flow.
func (p Backlog) Admit(target time.Duration, priority int, hasAlternative bool) Decision {
	if target <= 0 || p.Busy < p.Slots {
		return Accept
	}
	limit := min(target.Seconds(), maxServiceTimes/refuseThreshold*p.ServiceTime.Seconds())
	share := p.EstimatedLatency().Seconds() / limit
	urgency := max(0, lowestPriority-priority)
	switch {
	case hasAlternative && share > redirectThreshold:
		return Redirect
	case share > refuseThreshold+urgencyStep*float64(urgency):
		return Refuse
	default:
		return Accept
	}
}

// ServiceTime estimates the time in service of a host's requests from those
// that did not wait. It is not safe for concurrent use.
type ServiceTime struct {
	mean time.Duration
}

// Observe notes how long a request took that came while a slot was free.
func (s *ServiceTime) Observe(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(serviceSmoothing * float64(took-s.mean))
}

// Mean returns the estimate, or 0 before any request was seen.
func (s *ServiceTime) Mean() time.Duration {
	return s.mean
}
