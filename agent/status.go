package agent

import (
	"time"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Status is the state of an agent as shown to operators.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// ZoneDeclared reports whether the configuration in force declares Zone.
	ZoneDeclared bool   `json:"zone_declared"`
	Incarnation  uint16 `json:"incarnation"`
	// State is the host's state, and Since when it last changed.
	State string    `json:"state"`
	Since time.Time `json:"since"`
	// Revision is the configuration revision in force.
	Revision uint64 `json:"revision"`
	// ConfirmationAge is the time in milliseconds since the revision was last
	// known to be current.
	ConfirmationAge int64 `json:"confirmation_age_ms"`
	Flows           int   `json:"flows"`
	Connections     int   `json:"connections"`
	InService       int   `json:"in_service"`
	Queued          int   `json:"queued"`
	// Limit is the number of concurrent requests that are admitted, at most
	// Slots.
	Limit int `json:"limit"`
	Slots int `json:"slots"`
	// RestartsDetected is the number of restarts of the backend server that the
	// traffic has shown.
	RestartsDetected uint64 `json:"restarts_seen"`
	// Refusals is the number of refused, dropped or failed requests, flows and
	// datagrams by cause.
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

// Ready returns nil when the agent accepts new flows, and a *NotReadyError with
// the reason otherwise.
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
