package agent

import (
	"time"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Status is what operators see of an agent.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// ZoneDeclared tells whether the configuration in force declares Zone.
	ZoneDeclared bool   `json:"zone_declared"`
	Incarnation  uint16 `json:"incarnation"`
	// State is the host's state, and Since when it last changed.
	State string    `json:"state"`
	Since time.Time `json:"since"`
	// Revision is the configuration revision in force.
	Revision uint64 `json:"revision"`
	// ConfirmationAge is how long ago the revision was known to be current,
	// in milliseconds.
	ConfirmationAge int64 `json:"confirmation_age_ms"`
	Flows           int   `json:"flows"`
	Connections     int   `json:"connections"`
	InService       int   `json:"in_service"`
	Queued          int   `json:"queued"`
	// Limit is the number of requests admitted at a time, of Slots.
	Limit int `json:"limit"`
	Slots int `json:"slots"`
	// RestartsSeen counts restarts of the backend server seen from traffic.
	RestartsDetected uint64 `json:"restarts_seen"`
	// Refusals counts refused requests, flows and datagrams by cause.
	Refusals map[string]int64 `json:"refusals"`
}

// Status returns the agent's state. It is safe for concurrent use.
func (a *Agent) Status() Status {
	status := Status{
		ID:          a.config.Self.ID,
		Service:     a.config.Self.Service.String(),
		Zone:        a.config.Self.Zone,
		Incarnation: a.incarnation,
		State:       "starting",
		Refusals:    a.counters.refusals(),
	}
	view := a.currentView.Load()
	if view == nil {
		return status
	}
	now := time.Now()
	status.State = view.State.String()
	status.Since = view.Since
	status.Revision = view.Revision
	status.ZoneDeclared = view.ZoneNumber != 0
	status.ConfirmationAge = now.Sub(view.ConfirmedAt).Milliseconds()
	status.Connections = view.Service.Connections
	status.Slots = view.Service.Slots
	a.admitter.fillStatus(&status)
	return status
}

// Ready reports why the agent takes no new flows, or nil. The error is a
// *NotReadyError.
func (a *Agent) Ready() error {
	view := a.currentView.Load()
	switch {
	case view == nil:
		return &NotReadyError{Reason: "no configuration"}
	case !view.Valid(time.Now()):
		return &NotReadyError{Reason: "view not confirmed"}
	case !view.State.Accepting():
		return &NotReadyError{Reason: view.State.String()}
	default:
		return nil
	}
}

// Collect implements metrics.Source.
func (a *Agent) Collect(emit func(metrics.Sample)) {
	a.counters.collect(emit)
	a.control.Collect(emit)
	status := a.Status()
	emit(metrics.Sample{Name: "agent_revision", Value: int64(status.Revision), Gauge: true})
	emit(metrics.Sample{Name: "agent_flows", Value: int64(status.Flows), Gauge: true})
	emit(metrics.Sample{Name: "agent_in_service", Value: int64(status.InService), Gauge: true})
	emit(metrics.Sample{Name: "agent_queued", Value: int64(status.Queued), Gauge: true})
	emit(metrics.Sample{Name: "agent_limit", Value: int64(status.Limit), Gauge: true})
	emit(metrics.Sample{Name: "agent_slots", Value: int64(status.Slots), Gauge: true})
}
