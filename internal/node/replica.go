package node

import (
	"strconv"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

// ReplicaEvent is the update that passes an event of a link or a completed platform
// read to the replica.
type ReplicaEvent struct {
	Event dissemination.Event
}

// ApplyTo implements Update.
func (u ReplicaEvent) ApplyTo(now time.Time, state *FleetState) {
	state.replica.Handle(now, u.Event)
	state.applyActions(now)
}

// ReplicaController is the blackboard controller that runs a process's replica. It
// must be registered before the controllers that act on the state.
type ReplicaController[B any] struct {
	// State returns the fleet state on the board.
	State func(board B) *FleetState
}

// Step implements blackboard.Controller.
func (c ReplicaController[B]) Step(now time.Time, board B) []blackboard.Effect {
	state := c.State(board)
	state.replica.Step(now)
	state.applyActions(now)
	state.auditViolations(now)
	state.snapshot(now)
	return state.TakeEffects()
}

// Replica returns the process's replica.
func (s *FleetState) Replica() *dissemination.Replica {
	return s.replica
}

// applyActions applies the replica's decisions to the state. The remaining actions
// become effects for a ControlPlane to execute.
func (s *FleetState) applyActions(now time.Time) {
	for _, action := range s.replica.TakeActions() {
		switch action := action.(type) {
		case dissemination.ConfigEvaluated:
			s.auditConfig(now, action.Before, action.Config, action.Verdict, action.Source)
		case dissemination.ConfigRejected:
			s.Audit(now, "configuration", revisionOf(s.Holder.Config()), strconv.FormatUint(action.Revision, 10),
				"refused: "+action.Err.Error(), action.Source)
		case dissemination.ListChanged:
			s.setList(now, action.Before, action.List, action.Source)
		case dissemination.PeerChanged:
			s.Audit(now, "peer/"+action.Peer, action.Before.String(), action.Status.String(), "links", "self")
		case dissemination.PauseEnded:
			s.Audit(now, "process", "paused", "running", "gap of "+action.Duration.String(), "self")
		default:
			s.effects = append(s.effects, action)
		}
	}
}

func (s *FleetState) auditViolations(now time.Time) {
	count := invariant.Violations()
	if count == s.auditedViolations {
		return
	}
	s.Audit(now, "invariant_violations", strconv.FormatInt(s.auditedViolations, 10), strconv.FormatInt(count, 10), "invariant", "self")
	s.auditedViolations = count
}

// ZoneOpen reports whether packets may be sent to the availability zone, as far as
// the process can tell.
func (s *FleetState) ZoneOpen(now time.Time, zone string) bool {
	return s.replica.ZoneOpen(now, zone)
}

// Current reports whether the process may act on the state. After the process was
// paused, it returns false until the configuration in force is confirmed again.
func (s *FleetState) Current(now time.Time) bool {
	return s.replica.MayAct(now)
}
