package steering

import "time"

const (
	// forwardThreshold is the fraction of a route's target latency above which a
	// new flow is forwarded to another host.
	forwardThreshold = 0.45
	// refuseThreshold is the fraction of the target latency above which a new
	// flow is refused if no other host can take it, since its requests and those
	// already waiting would miss the target.
	refuseThreshold = 0.7
	// maxServiceTimes is the latency, in multiples of the service time, above
	// which a new flow is refused even if the target latency is longer. Hosts
	// queue only few requests and reject the rest.
	maxServiceTimes = 4.0
	// urgencyStep is added to refuseThreshold for each level of priority above
	// lowestPriority, so that flows of the lowest priority are refused first.
	urgencyStep = 0.1
	// lowestPriority is the priority of the routes that are refused first. A
	// smaller number is a higher priority.
	lowestPriority = 2
	// serviceSamples is the number of requests over which the service time is
	// averaged, by a moving average once there are more. With fewer, the estimates of
	// equal hosts scatter by more than minServiceTimeRatio.
	serviceSamples = 10
)

// Decision says what to do with a new flow.
type Decision uint8

// The decisions on a new flow.
const (
	// Accept admits the flow on this host.
	Accept Decision = iota
	// Forward sends the flow to another host.
	Forward
	// Refuse tells the requester immediately that no host can take the flow.
	Refuse
)

// String implements fmt.Stringer.
func (d Decision) String() string {
	switch d {
	case Accept:
		return "accept"
	case Forward:
		return "forward"
	default:
		return "refuse"
	}
}

// Backlog describes the outstanding requests of a host. Admission based on it
// handles bursts of more requests than the hosts can serve: queueing alone would
// delay all requests beyond their target instead of refusing some of them.
type Backlog struct {
	// Busy is the number of unanswered requests, in service or queued, that delay a
	// new one. Slots is the maximum number in service.
	Busy, Slots int
	// ServiceTime is the mean time that a request is in service, without waiting.
	ServiceTime time.Duration
}

// EstimatedLatency returns the expected latency of one more request, including
// its time in the queue.
func (b Backlog) EstimatedLatency() time.Duration {
	rounds := float64(b.Busy+1) / float64(max(1, b.Slots))
	return time.Duration(max(1, rounds) * float64(b.ServiceTime))
}

// Admit decides on a new flow of a route with the given target latency and
// priority. Without a target latency the flow is always accepted. hasAlternative
// says whether another host may take the flow.
func (b Backlog) Admit(target time.Duration, priority int, hasAlternative bool) Decision {
	return b.admission(target, priority, hasAlternative).Decision
}

// admission is Admit with what the decision rests on.
func (b Backlog) admission(target time.Duration, priority int, hasAlternative bool) Admission {
	a := Admission{Decision: Accept, Backlog: b}
	if target <= 0 || b.Busy < b.Slots {
		a.HasFreeSlot = b.Busy < b.Slots
		return a
	}
	limit := min(target.Seconds(), maxServiceTimes/refuseThreshold*b.ServiceTime.Seconds())
	a.Share = b.EstimatedLatency().Seconds() / limit
	a.ForwardAbove = forwardThreshold
	a.RefuseAbove = refuseThreshold + urgencyStep*float64(max(0, lowestPriority-priority))
	switch {
	case hasAlternative && a.Share > a.ForwardAbove:
		a.Decision = Forward
	case a.Share > a.RefuseAbove:
		a.Decision = Refuse
	}
	return a
}

// Admission is a decision on a new flow with what it rests on.
type Admission struct {
	Decision Decision
	Backlog  Backlog
	// HasFreeSlot reports that the host has a free slot for the flow, whose requests
	// then wait for none.
	HasFreeSlot bool
	// Share is the estimated latency as a fraction of what the route and the host allow.
	// Above ForwardAbove the flow goes to another host that may take it, above RefuseAbove
	// it is refused. All are 0 if they were not needed.
	Share, ForwardAbove, RefuseAbove float64
	// Late is the estimate for a flow that would be refused otherwise.
	Late LateAdmission
}

// LateAdmission is the estimate of whether the requests of a new flow that miss their
// objective would still be released in time for their requester.
type LateAdmission struct {
	// Considered reports that the estimate was needed, Admitted that it admits the flow.
	Considered, Admitted bool
	// Ahead is the number of requests that would be released before.
	Ahead int
	// Wait is the expected time until the release, and Share the share of releases that
	// late requests get.
	Wait  time.Duration
	Share float64
}

// ServiceTime estimates the mean service time of requests, without the time that
// they wait, by an exponential moving average. It is not safe for concurrent use.
type ServiceTime struct {
	mean time.Duration
	// samples counts the observed requests, up to serviceSamples.
	samples int
}

// Observe records for how long a request was in service.
func (s *ServiceTime) Observe(took time.Duration) {
	s.samples = min(s.samples+1, serviceSamples)
	s.mean += (took - s.mean) / time.Duration(s.samples)
}

// Mean returns the estimate, or 0 before the first observation.
func (s *ServiceTime) Mean() time.Duration {
	return s.mean
}

// Comparable returns the estimate if it rests on enough requests to be compared with
// those of other hosts, or 0 if not.
func (s *ServiceTime) Comparable() time.Duration {
	if s.samples < serviceSamples {
		return 0
	}
	return s.mean
}
