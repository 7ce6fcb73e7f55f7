package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// The decisions on openings are made here, without any change of state, so that they can
// be explained by the code that makes them. The callers apply them.

// placementOutcome is what an entry does with an opening.
type placementOutcome string

const (
	// placementPlaced: the opening goes to a host that was chosen for it.
	placementPlaced placementOutcome = "placed"
	// placementHeld: the flow is known to have been accepted.
	placementHeld placementOutcome = "held"
	// placementUnknownRoute: there is no route with the flow's destination.
	placementUnknownRoute placementOutcome = "unknown_route"
	// placementOverloaded: all hosts of the service refuse the priority.
	placementOverloaded placementOutcome = "service_overloaded"
	// placementNoHost: the service has no usable host.
	placementNoHost placementOutcome = "no_host"
)

// placementDecision is an entry's decision on an opening.
type placementDecision struct {
	outcome placementOutcome
	route   *catalog.Route
	// service is nil if it is not known.
	service *catalog.Service
	// host is the chosen host if the outcome is placementPlaced, holder the owner if it is
	// placementHeld.
	host   *catalog.Host
	holder *cachedOwner
	// unresponsive is the first agent if the opening is a retransmission, which shows that
	// the agent did not answer.
	unresponsive *cachedOwner
	// level is what the hosts' reports say about admission, valid if levelAsked is set.
	level      steering.ServiceLevel
	levelAsked bool
}

// decidePlacement decides on an opening whose requester is in the given zone. It changes
// nothing.
func (e *Entry) decidePlacement(now time.Duration, c *catalog.Catalog, key flow.Key, zone string, openingAge time.Duration, list *candidateList) placementDecision {
	route := c.Config.Routes[key.Destination]
	if route == nil {
		return placementDecision{outcome: placementUnknownRoute}
	}
	hash := key.Hash()
	d := placementDecision{route: route, service: c.Services[route.Pick(hash)]}
	o := e.owners[key]
	if o != nil && o.accepted {
		d.outcome, d.holder = placementHeld, o
		return d
	}
	// Copies of an opening are always placed, since a host may have accepted an earlier one.
	if o == nil && d.service != nil && openingAge == 0 {
		refuses := false
		d.levelAsked = true
		if d.level, refuses = e.loads.RefusesAtOnce(c, d.service, route.Priority, hash, now); refuses {
			d.outcome = placementOverloaded
			return d
		}
	}
	request := steering.PlacementRequest{Hash: hash, Zone: zone, Bulk: route.Bulk, TargetLatency: route.TargetLatency, Now: now}
	if o != nil {
		d.unresponsive = o
		unresponsive := o.agent
		request.Avoid = func(agent [4]byte) bool { return agent == unresponsive }
	}
	if d.service != nil {
		list.recordTo(&request)
		d.host = steering.ChooseHost(c, d.service, e.loads, request)
	}
	d.outcome = placementPlaced
	if d.host == nil {
		d.outcome = placementNoHost
	}
	return d
}

// openingOutcome is what an agent does with an opening.
type openingOutcome string

const (
	// openingAccepted: the opening goes to the agent's host.
	openingAccepted openingOutcome = "accepted"
	// openingHeld: the host has accepted the flow before, or was given the opening too
	// recently to be silent.
	openingHeld openingOutcome = "held"
	// openingPassedOn: the opening goes to another host.
	openingPassedOn openingOutcome = "passed_on"
	// openingRefused: the opening is reset.
	openingRefused openingOutcome = "refused"
)

// The reasons for which openings are not accepted, besides those of rejectReason.
const (
	reasonHostSilent = "host_silent"
	reasonCold       = "cold"
)

// openingDecision is an agent's decision on an opening.
type openingDecision struct {
	outcome openingOutcome
	// reason is why the opening is not accepted.
	reason string
	// to is the host that it is passed on to, in the frame next.
	to   *catalog.Host
	next flow.Frame
	// admission is whether the host has capacity, valid if admissionAsked is set. busy
	// reports that another host was looked for because this one is busy; if none was
	// found, lastAdmission is whether this one has capacity as the last host asked.
	admissionAsked, busy     bool
	admission, lastAdmission steering.Admission
	cold                     coldState
}

// decideOpening decides on an opening that arrived in a frame. It changes nothing.
func (a *Agent) decideOpening(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key, openingAge time.Duration, list *candidateList) openingDecision {
	if fl := a.flows[key]; fl != nil && fl.state != flowClosed {
		if fl.state != flowOpening || now-fl.lastSeenAt < minHostSilence {
			return openingDecision{outcome: openingHeld}
		}
		return a.decideAlternative(now, c, f, key, reasonHostSilent, list)
	}
	if reason := a.rejectReason(now, c, f, key); reason != "" {
		return a.decideAlternative(now, c, f, key, reason, list)
	}
	d := openingDecision{outcome: openingAccepted, admissionAsked: true}
	d.admission = a.admit(now, c, key, openingAge, f.Hops < maxBusyHops)
	d.lastAdmission = d.admission
	if d.admission.Decision == steering.Forward {
		d.busy = true
		if d.elsewhere(a.decideAlternative(now, c, f, key, reasonBusy, list)); d.outcome == openingPassedOn {
			return d
		}
		d.lastAdmission = a.admit(now, c, key, openingAge, false)
	}
	if d.lastAdmission.Decision == steering.Refuse {
		d.outcome, d.reason = openingRefused, reasonOverloaded
		return d
	}
	d.outcome, d.reason = openingAccepted, ""
	if d.cold = a.coldState(now, c); !d.cold.admits() {
		d.elsewhere(a.decideAlternative(now, c, f, key, reasonCold, list))
	}
	return d
}

// elsewhere takes over what was decided on an opening that the host does not take.
func (d *openingDecision) elsewhere(other openingDecision) {
	d.outcome, d.reason, d.to, d.next = other.outcome, other.reason, other.to, other.next
}

// decideAlternative decides where an opening goes that this host does not take.
func (a *Agent) decideAlternative(now time.Duration, c *catalog.Catalog, f *flow.Frame, key flow.Key, reason string, list *candidateList) openingDecision {
	next := *f
	next.Hops++
	next.AddAvoid(a.config.Self.Addr)
	d := openingDecision{outcome: openingPassedOn, reason: reason}
	if d.to = a.chooseAlternative(now, c, &next, key, reason, list); d.to == nil {
		d.outcome = openingRefused
	}
	d.next = next
	return d
}

// candidateList records the hosts that were considered for an opening. On the packet path
// it is nil and records nothing.
type candidateList struct {
	candidates []steering.Candidate
}

// recordTo makes a placement record its candidates in the list, in place of those of an
// earlier placement.
func (l *candidateList) recordTo(r *steering.PlacementRequest) {
	if l == nil {
		return
	}
	l.candidates = nil
	r.Record = func(c steering.Candidate) { l.candidates = append(l.candidates, c) }
}
