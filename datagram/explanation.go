package datagram

import (
	"net/netip"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// maxCandidates limits the candidates of an explanation. It is enough for the hosts
	// that come into question next, also at services of some hundred hosts.
	maxCandidates = 50
	// maxExampleTries limits the search for an example requester. A target that gets one
	// flow in a hundred is missed in one search of 10,000.
	maxExampleTries = 1000
)

// NoCatalogError reports that the process has no catalog yet, so that it can place no
// flow.
type NoCatalogError struct{}

// Error implements error.
func (*NoCatalogError) Error() string { return "the process has no catalog yet" }

// UnknownRouteError reports that the catalog has no route with an address.
type UnknownRouteError struct {
	Route string
}

// Error implements error.
func (e *UnknownRouteError) Error() string { return "route " + e.Route + " is unknown to the process" }

// UnknownZoneError reports that the catalog has no host in a zone.
type UnknownZoneError struct {
	Zone string
}

// Error implements error.
func (e *UnknownZoneError) Error() string { return "zone " + e.Zone + " is unknown to the process" }

// ExplainQuery asks where a new flow would go.
type ExplainQuery struct {
	Route netip.AddrPort
	// Requester is the requester's address and port. If it is not valid, an example is
	// used.
	Requester netip.AddrPort
	// Zone is the requester's zone; if it is empty, that of the entry is used.
	Zone string
}

// Explanation says where a new flow of a route would go and why. Addresses of hosts are
// those of their agents.
type Explanation struct {
	// Role is entry or agent.
	Role string `json:"role"`
	// Route is the address and port, RouteName the name of the route.
	Route           string   `json:"route"`
	RouteName       string   `json:"route_name"`
	Priority        int      `json:"priority"`
	TargetLatencyMS int64    `json:"target_latency_ms"`
	TimeoutMS       int64    `json:"timeout_ms"`
	Bulk            bool     `json:"bulk"`
	Targets         []Target `json:"targets"`
	// Requester is the requester, Example reports that it is made up. The service, and
	// the order of hosts of equal cost, depend on it.
	Requester string `json:"requester"`
	Example   bool   `json:"example"`
	// Zone is the requester's zone as it counts in the costs. It is empty at agents,
	// which prefer no zone when they pass openings on.
	Zone string `json:"zone"`
	// Service is the service of the flow, ServiceKnown whether it is declared.
	Service      string `json:"service"`
	ServiceKnown bool   `json:"service_known"`
	// IgnoresServiceTime reports that the flow is one of the few that are placed without
	// regard to service times.
	IgnoresServiceTime bool   `json:"ignores_service_time"`
	ConfigVersion      uint64 `json:"config"`
	CatalogAgeMS       int64  `json:"catalog_age_ms"`
	// Decision is what the process does with the opening, Reason why it does not take or
	// place it, Host where the opening goes.
	Decision string            `json:"decision"`
	Reason   string            `json:"reason,omitempty"`
	Host     string            `json:"host,omitempty"`
	Entry    *EntryExplanation `json:"entry,omitempty"`
	Agent    *AgentExplanation `json:"agent,omitempty"`
	// Candidates are the hosts considered, those of the lowest cost first, then those
	// that may not get the flow. Omitted is how many more there are.
	Candidates []HostExplanation `json:"candidates"`
	Omitted    int               `json:"omitted"`
}

// Target is a target of a route.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// EntryExplanation is what only an entry decides.
type EntryExplanation struct {
	// Asked reports that it was considered to refuse the opening at once, and Refuses
	// whether that is done. Placed is why not, Admitting the host that may admit it.
	Asked     bool   `json:"asked"`
	Refuses   bool   `json:"refuses"`
	Placed    string `json:"placed,omitempty"`
	Admitting string `json:"admitting,omitempty"`
	// Hosts is the number of hosts that refuse the priority, as far as they were asked,
	// Lowest the lowest priority that one of them admits.
	Hosts          int   `json:"hosts"`
	Lowest         int   `json:"admit_priority"`
	OldestReportMS int64 `json:"oldest_report_ms"`
	// Unresponsive is the agent that did not answer the flow's first opening.
	Unresponsive string `json:"unresponsive,omitempty"`
}

// HostExplanation is a candidate with the terms of its cost and what is known of it.
type HostExplanation struct {
	Host     string             `json:"host"`
	ID       string             `json:"id"`
	Zone     string             `json:"zone"`
	Slots    int                `json:"slots"`
	Excluded string             `json:"excluded,omitempty"`
	Cost     float64            `json:"cost"`
	Terms    steering.CostTerms `json:"terms"`
	// Reported reports that the host's last report is recent.
	Reported    bool    `json:"reported"`
	ReportAgeMS int64   `json:"report_age_ms"`
	Flows       int     `json:"flows"`
	Busy        int     `json:"busy"`
	Placed      int     `json:"placed_since_report"`
	ServiceMS   int64   `json:"service_ms"`
	Failures    float64 `json:"failure_share"`
	// AdmitPriority is the lowest priority that the host says it admits, or absent.
	AdmitPriority *int `json:"admit_priority,omitempty"`
}

// newExplanation describes the route and the requester of a query, and returns the flow.
// The example requester is one whose flow is placed by the usual rules, and by preference
// at a service that suits.
func newExplanation(now time.Duration, c *catalog.Catalog, q ExplainQuery, ownZone string, suits func(service string) bool) (*Explanation, flow.Key, error) {
	if c == nil {
		return nil, flow.Key{}, &NoCatalogError{}
	}
	key := flow.Key{Destination: flow.EndpointOf(q.Route)}
	route := c.Config.Routes[key.Destination]
	if route == nil {
		return nil, flow.Key{}, &UnknownRouteError{Route: q.Route.String()}
	}
	if q.Zone != "" && q.Zone != ownZone && !isKnownZone(c, q.Zone) {
		return nil, flow.Key{}, &UnknownZoneError{Zone: q.Zone}
	}
	if q.Requester.IsValid() {
		key.Requester = flow.EndpointOf(q.Requester)
	} else {
		key.Requester = exampleRequester(key.Destination, route, suits)
	}
	hash := key.Hash()
	x := &Explanation{
		Route: q.Route.String(), RouteName: route.Name, Priority: route.Priority, Bulk: route.Bulk,
		TargetLatencyMS: route.TargetLatency.Milliseconds(), TimeoutMS: route.Timeout.Milliseconds(),
		Requester: key.Requester.AddrPort().String(), Example: !q.Requester.IsValid(),
		Service: route.Pick(hash), IgnoresServiceTime: steering.IgnoresServiceTime(hash),
		ConfigVersion: c.Config.Version, CatalogAgeMS: (now - c.ConfirmedAt).Milliseconds(),
	}
	x.ServiceKnown = c.Services[x.Service] != nil
	for _, t := range route.Targets {
		x.Targets = append(x.Targets, Target{Service: t.Service, Weight: t.Weight})
	}
	return x, key, nil
}

// isKnownZone reports whether a host is or was in the zone, or operators named it.
func isKnownZone(c *catalog.Catalog, zone string) bool {
	inZone := func(h *catalog.Host) bool { return h.Zone == zone }
	for _, s := range c.Services {
		if slices.ContainsFunc(s.Hosts, inZone) || slices.ContainsFunc(s.Lapsed, inZone) {
			return true
		}
	}
	return c.Evacuated[zone]
}

// exampleRequester returns a requester whose flow is placed by the usual rules, and by
// preference at a service that suits.
func exampleRequester(destination flow.Endpoint, route *catalog.Route, suits func(service string) bool) flow.Endpoint {
	var example flow.Endpoint
	for port := uint16(1); port <= maxExampleTries; port++ {
		key := flow.Key{Requester: flow.Endpoint{Port: port}, Destination: destination}
		if hash := key.Hash(); steering.IsOrdinary(hash) {
			example = key.Requester
			if suits(route.Pick(hash)) {
				break
			}
		}
	}
	return example
}

// setCandidates records the candidates, those of the lowest cost first.
func (x *Explanation) setCandidates(candidates []steering.Candidate) {
	slices.SortStableFunc(candidates, func(a, b steering.Candidate) int {
		switch aCost, bCost := a.Terms.Sum(), b.Terms.Sum(); {
		case a.Excluded == "" && b.Excluded != "", a.Excluded == "" && aCost < bCost:
			return -1
		case a.Excluded != "" && b.Excluded == "", a.Excluded == "" && bCost < aCost:
			return 1
		default:
			return 0
		}
	})
	x.Omitted = max(0, len(candidates)-maxCandidates)
	x.Candidates = make([]HostExplanation, 0, len(candidates)-x.Omitted)
	for i := range candidates[:len(candidates)-x.Omitted] {
		x.Candidates = append(x.Candidates, explainHost(&candidates[i]))
	}
}

func explainHost(c *steering.Candidate) HostExplanation {
	h := HostExplanation{
		Host: addressOf(c.Host.Addr.Addr), ID: c.Host.ID, Zone: c.Host.Zone, Slots: c.Host.Slots, Excluded: string(c.Excluded),
		Cost: c.Terms.Sum(), Terms: c.Terms, Reported: c.Load.Reported, ReportAgeMS: c.Load.ReportAge.Milliseconds(),
		Flows: c.Load.Flows, Busy: c.Load.Busy, Placed: c.Load.PlacedSinceReport,
		ServiceMS: c.Load.ServiceTime.Milliseconds(), Failures: c.Load.FailureShare,
	}
	if c.Load.AdmitKnown {
		h.AdmitPriority = &c.Load.AdmitPriority
	}
	return h
}

func addressOf(agent [4]byte) string { return netip.AddrFrom4(agent).String() }

// Explain says where a new flow would go. It changes nothing and sends nothing. The error
// is a *NoCatalogError, *UnknownRouteError or *UnknownZoneError.
func (e *Entry) Explain(now time.Duration, q ExplainQuery) (*Explanation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.config.Catalog()
	x, key, err := newExplanation(now, c, q, e.config.Zone, func(string) bool { return true })
	if err != nil {
		return nil, err
	}
	x.Role, x.Zone = "entry", q.Zone
	if x.Zone == "" {
		x.Zone = e.config.Zone
	}
	var list candidateList
	d := e.decidePlacement(now, c, key, x.Zone, 0, &list)
	x.setCandidates(list.candidates)
	x.Decision = string(d.outcome)
	switch d.outcome {
	case placementPlaced:
		x.Host = addressOf(d.host.Addr.Addr)
	case placementHeld:
		x.Host = addressOf(d.holder.agent)
	default:
		x.Decision, x.Reason = string(openingRefused), string(d.outcome)
	}
	x.Entry = &EntryExplanation{
		Asked: d.levelAsked, Refuses: d.outcome == placementOverloaded, Placed: string(d.level.Placed),
		Hosts: d.level.Hosts, Lowest: d.level.Lowest, OldestReportMS: d.level.OldestAge.Milliseconds(),
	}
	if d.level.Admitting != nil {
		x.Entry.Admitting = addressOf(d.level.Admitting.Addr.Addr)
	}
	if d.unresponsive != nil {
		x.Entry.Unresponsive = addressOf(d.unresponsive.agent)
	}
	return x, nil
}
