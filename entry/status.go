package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

const (
	// statusInterval is the minimum time between two publications of the
	// status.
	statusInterval = time.Second
	// statusIntervalPerHost is the minimum interval per host, which bounds the
	// CPU share spent on building the status of a large fleet.
	statusIntervalPerHost = time.Millisecond
)

// Status is the summary of an entry for operators.
type Status struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Revision is the configuration revision in force, or 0 if there is none.
	Revision uint64 `json:"revision"`
	// ConfirmationAgeMS is the time since the revision was last confirmed, in
	// milliseconds.
	ConfirmationAgeMS int64 `json:"confirmation_age_ms"`
	// ZoneDeclared is whether the configuration in force declares Zone.
	ZoneDeclared bool `json:"zone_declared"`
	// Current is whether the entry's state is recent enough to forward packets
	// by.
	Current bool `json:"current"`
	// ZonesOut names the zones to which no packets are sent.
	ZonesOut []string `json:"zones_out"`
	// Hosts counts the hosts of all services by state.
	Hosts map[string]int `json:"hosts"`
	// Services holds the services that have hosts, in the order of their IDs.
	Services []ServiceStatus `json:"services"`
	// Packets counts callers' packets by verdict.
	Packets map[string]uint64 `json:"packets"`
	// Reports counts load reports by verdict.
	Reports map[string]uint64 `json:"reports"`
}

// ServiceStatus is one service in a Status.
type ServiceStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// Eligible is the number of hosts that receive new flows.
	Eligible int `json:"eligible"`
	// FailOpen is whether silent hosts receive new flows because too few hosts
	// answer.
	FailOpen bool `json:"list_believed"`
	// Flows is the sum of the flows in the last reports of all hosts.
	Flows uint64       `json:"flows"`
	Zones []ZoneStatus `json:"zones"`
}

// ZoneStatus counts the hosts of one service in one zone by state.
type ZoneStatus struct {
	Zone  string         `json:"zone"`
	Hosts map[string]int `json:"hosts"`
}

// StatusPublished is the effect that publishes a status.
type StatusPublished struct {
	Status *Status
}

// StatusPublisher is the controller that periodically publishes the status.
type StatusPublisher struct {
	publishedAt time.Time
}

// Step implements blackboard.Controller.
func (p *StatusPublisher) Step(now time.Time, board *Board) []blackboard.Effect {
	interval := max(statusInterval, time.Duration(len(board.hostsByAddr))*statusIntervalPerHost)
	if now.Sub(p.publishedAt) < interval {
		return nil
	}
	p.publishedAt = now
	return []blackboard.Effect{StatusPublished{Status: buildStatus(now, board)}}
}

func buildStatus(now time.Time, board *Board) *Status {
	status := &Status{
		ID:      board.Config.Self.ID,
		Zone:    board.Config.Self.Zone,
		Current: board.Node.Current(now),
		Hosts:   make(map[string]int),
	}
	config := board.Node.Holder.Config()
	if config == nil {
		return status
	}
	status.Revision = config.Revision()
	_, status.ZoneDeclared = config.Zone(board.Config.Self.Zone)
	status.ConfirmationAgeMS = board.Node.Holder.Age(now).Milliseconds()
	for _, zone := range config.Manifest.Zones {
		if board.closedZones[zone.Number] {
			status.ZonesOut = append(status.ZonesOut, zone.Name)
		}
	}
	for _, service := range config.Services() {
		hosts := board.hostsByService[service.ID]
		if len(hosts) > 0 {
			status.Services = append(status.Services, serviceStatus(service, hosts))
		}
	}
	for _, h := range board.hostsByAddr {
		status.Hosts[h.state.String()]++
	}
	return status
}

func serviceStatus(service fleet.Service, hosts []*host) ServiceStatus {
	status := ServiceStatus{
		Service:  service.ID.String(),
		Address:  service.Addr.String(),
		FailOpen: !enoughPresumedLive(hosts),
	}
	for _, h := range hosts {
		status.Flows += uint64(h.report.Flows)
		if h.state.presumedLive() || status.FailOpen && h.state.unresponsive() {
			status.Eligible++
		}
		status.zoneStatus(h.vm.Zone).Hosts[h.state.String()]++
	}
	slices.SortFunc(status.Zones, func(a, b ZoneStatus) int {
		return strings.Compare(a.Zone, b.Zone)
	})
	return status
}

func (s *ServiceStatus) zoneStatus(name string) *ZoneStatus {
	for i := range s.Zones {
		if s.Zones[i].Zone == name {
			return &s.Zones[i]
		}
	}
	s.Zones = append(s.Zones, ZoneStatus{Zone: name, Hosts: make(map[string]int)})
	return &s.Zones[len(s.Zones)-1]
}

// Status returns the last published status with the current counter values. It
// is safe for concurrent use.
func (e *Entry) Status() Status {
	status := Status{ID: e.config.Self.ID, Zone: e.config.Self.Zone, Hosts: map[string]int{}}
	if published := e.status.Load(); published != nil {
		status = *published
	}
	status.Packets = make(map[string]uint64, verdictCount)
	for v := range verdictCount {
		status.Packets[v.String()] = e.counters.Count(v)
	}
	status.Reports = make(map[string]uint64, reportVerdictCount)
	for v := range reportVerdictCount {
		status.Reports[v.String()] = e.counters.CountReports(v)
	}
	return status
}

// Ready returns nil if the network fabric should route to this entry, and
// otherwise a *NotReadyError. An entry is not ready while it is stopping,
// although it still forwards packets; before it has a configuration and hosts;
// and after it has been cut off from all zones long enough for its view to
// expire.
func (e *Entry) Ready() error {
	view := e.views.Load()
	switch {
	case e.stopping():
		return &NotReadyError{Cause: "stopping"}
	case view == nil:
		return &NotReadyError{Cause: "no_configuration"}
	case !view.hasHosts():
		return &NotReadyError{Cause: "no_hosts"}
	case e.viewDeadline.passed(time.Now()):
		return &NotReadyError{Cause: VerdictStaleView.String()}
	default:
		return nil
	}
}

// Collect implements metrics.Source.
func (e *Entry) Collect(emit func(metrics.Sample)) {
	e.counters.Collect(emit)
	e.control.Collect(emit)
	published := e.status.Load()
	if published == nil {
		return
	}
	emit(metrics.Sample{Name: "entry_revision", Value: int64(published.Revision), Gauge: true})
	emit(metrics.Sample{Name: "entry_confirmation_age_ms", Value: published.ConfirmationAgeMS, Gauge: true})
	for state := range hostStateCount {
		name := state.String()
		emit(metrics.Sample{Name: "entry_hosts", Cause: name, Value: int64(published.Hosts[name]), Gauge: true})
	}
}

// NotReadyError reports why the network fabric should not route to an entry.
type NotReadyError struct {
	// Cause is a short label for metrics.
	Cause string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("not ready: %s", e.Cause)
}
