package agent

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Health is what the backend server's health endpoint last said.
type Health uint8

// Health answers.
const (
	HealthUnknown Health = iota
	HealthOK
	HealthDraining
	HealthFailing
)

// Board holds the facts that an agent's controllers read and write.
type Board struct {
	Config Config
	Node   *node.Facts
	Keys   *keyring.Ring
	Health Health
	// FailedLooks counts failing health answers in a row.
	ConsecutiveFailures int
	// Limit is the number of requests that the host admits at a time.
	Limit int
	// State is the host's state as the lifecycle controller decided it.
	State tunnel.HostState
	// StateSince is when State last changed.
	StateSince time.Time
	// StopRequested is set once the process was told to end.
	StopRequested bool
	// DrainDone is the number of the last drain that has ended.
	CompletedDrain uint64
	// RestartSeen is set when the traffic shows that the backend server has
	// restarted, until the lifecycle controller has acted on it.
	RestartDetected bool
}

// NewBoard returns the board of an agent that has just started.
func NewBoard(config Config, keys *keyring.Ring) *Board {
	return &Board{
		Config: config,
		Node:   node.NewFacts(config.Self),
		Keys:   keys,
		State:  tunnel.HostDown,
	}
}

// NodeUpdated applies an update of the shared facts.
type NodeUpdated struct {
	Update node.Update
}

// Apply implements blackboard.Event.
func (e NodeUpdated) Apply(now time.Time, board *Board) {
	e.Update.ApplyTo(now, board.Node)
}

// HealthSeen brings the backend server's health answer.
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

// failedLooks is the number of failing answers in a row that take a host
// down. One may be lost on a busy host.
const unhealthyThreshold = 2

// StopRequested tells that the process is to end gracefully.
type StopRequested struct{}

// Apply implements blackboard.Event.
func (StopRequested) Apply(_ time.Time, board *Board) {
	board.StopRequested = true
}

// DrainDone tells that the flows of a leaving host have ended.
type DrainCompleted struct {
	// Drain is the drain's number.
	Drain uint64
}

// Apply implements blackboard.Event.
func (e DrainCompleted) Apply(_ time.Time, board *Board) {
	board.CompletedDrain = max(board.CompletedDrain, e.Drain)
}

// RestartSeen tells that the traffic shows a restart of the backend server.
type RestartDetected struct{}

// Apply implements blackboard.Event.
func (RestartDetected) Apply(_ time.Time, board *Board) {
	board.RestartDetected = true
}

// View is the immutable snapshot that traffic goroutines read.
type View struct {
	Revision   uint64
	Service    fleet.Service
	ServiceTag uint32
	State      tunnel.HostState
	// Since is when State last changed.
	Since time.Time
	// ConfirmedAt is when Revision was last known to be current.
	ConfirmedAt time.Time
	// ValidUntil is when the view may no longer be acted on, unless control
	// has published another.
	ValidUntil time.Time
	ZoneNumber uint8
	Keys       *keyring.Keys
}

// Valid reports whether traffic may act on the view.
func (v *View) Valid(now time.Time) bool {
	return v != nil && now.Before(v.ValidUntil)
}
