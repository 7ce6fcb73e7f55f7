package agent

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Health is the result of the last check of the backend server's health
// endpoint.
type Health uint8

// Health values.
const (
	HealthUnknown Health = iota
	HealthOK
	HealthDraining
	HealthFailing
)

// Board is the shared state that an agent's controllers read and write. Once the
// engine runs, only its goroutine accesses the board.
type Board struct {
	Config Config
	Node   *node.FleetState
	Keys   *keyring.Ring
	Health Health
	// ConsecutiveFailures is the number of health checks that have failed in a
	// row.
	ConsecutiveFailures int
	// Limit is the number of concurrent requests that the host admits.
	Limit int
	// State is the host's state, set by the Lifecycle controller.
	State tunnel.HostState
	// StateSince is when State last changed.
	StateSince time.Time
	// StopRequested is set once a graceful shutdown has been requested.
	StopRequested bool
	// CompletedDrain is the number of the last drain that has completed.
	CompletedDrain uint64
	// RestartDetected is set when the traffic shows that the backend server has
	// restarted, and cleared by the Lifecycle controller's next step.
	RestartDetected bool
}

// NewBoard returns the initial board of an agent, with the host down.
func NewBoard(config Config, keys *keyring.Ring) *Board {
	return &Board{
		Config: config,
		Node:   node.NewFleetState(config.Self),
		Keys:   keys,
		State:  tunnel.HostDown,
	}
}

// NodeUpdated is the event that applies an update to the replicated fleet state.
type NodeUpdated struct {
	Update node.Update
}

// Apply implements blackboard.Event.
func (e NodeUpdated) Apply(now time.Time, board *Board) {
	e.Update.ApplyTo(now, board.Node)
}

// HealthChecked is the event of a completed health check of the backend server.
type HealthChecked struct {
	Health Health
}

// Apply implements blackboard.Event.
func (e HealthChecked) Apply(_ time.Time, board *Board) {
	if e.Health != HealthFailing {
		board.ConsecutiveFailures = 0
		board.Health = e.Health
		return
	}
	board.ConsecutiveFailures++
	if board.ConsecutiveFailures >= unhealthyThreshold {
		board.Health = HealthFailing
	}
}

// unhealthyThreshold is the number of consecutive failed health checks after
// which the host goes down. It is above 1 because a single check may be lost on
// a busy host.
const unhealthyThreshold = 2

// StopRequested is the event of a request for a graceful shutdown.
type StopRequested struct{}

// Apply implements blackboard.Event.
func (StopRequested) Apply(_ time.Time, board *Board) {
	board.StopRequested = true
}

// DrainCompleted is the event of a completed drain: the flows of the leaving
// host have ended.
type DrainCompleted struct {
	// Drain is the number of the drain.
	Drain uint64
}

// Apply implements blackboard.Event.
func (e DrainCompleted) Apply(_ time.Time, board *Board) {
	board.CompletedDrain = max(board.CompletedDrain, e.Drain)
}

// RestartDetected is the event of a restart of the backend server that the
// outcomes of requests show.
type RestartDetected struct{}

// Apply implements blackboard.Event.
func (RestartDetected) Apply(_ time.Time, board *Board) {
	board.RestartDetected = true
}

// View is an immutable snapshot of the control state for the goroutines that
// handle traffic.
type View struct {
	Revision   uint64
	Service    fleet.Service
	ServiceTag uint32
	State      tunnel.HostState
	// Since is when State last changed.
	Since time.Time
	// ConfirmedAt is when Revision was last known to be current.
	ConfirmedAt time.Time
	// ValidUntil is when the view expires. Requests and new flows are refused from
	// then on, until a newer view is published.
	ValidUntil time.Time
	ZoneNumber uint8
	Keys       *keyring.Keys
}

// Valid reports whether traffic may act on the view.
func (v *View) Valid(now time.Time) bool {
	return v != nil && now.Before(v.ValidUntil)
}
