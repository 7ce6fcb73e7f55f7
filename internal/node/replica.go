package node

import (
	"strconv"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

// Happened brings an event of the links or of a read of the platform.
type Happened struct {
	Event dissemination.Event
}

// ApplyTo implements Update.
func (u Happened) ApplyTo(now time.Time, facts *Facts) {
	facts.replica.Handle(now, u.Event)
	facts.takeActions(now)
}

// Stepper is the controller that runs a process's replica. It comes before
// those that act on the facts.
type Stepper[B any] struct {
	// Facts returns the facts on the board.
	Facts func(board B) *Facts
}

// Step implements blackboard.Controller.
func (s Stepper[B]) Step(now time.Time, board B) []blackboard.Effect {
	facts := s.Facts(board)
	facts.replica.Step(now)
	facts.takeActions(now)
	facts.auditViolations(now)
	facts.snapshot(now)
	return facts.TakeEffects()
}

// Replica returns the process's replica.
func (f *Facts) Replica() *dissemination.Replica {
	return f.replica
}

// takeActions takes what the replica changed into the facts. What is left is
// for a Control to carry out.
func (f *Facts) takeActions(now time.Time) {
	for _, action := range f.replica.TakeActions() {
		switch action := action.(type) {
		case dissemination.ConfigEvaluated:
			f.auditConfig(now, action.Before, action.Config, action.Verdict, action.Source)
		case dissemination.ConfigRejected:
			f.Audit(now, "configuration", revisionOf(f.Holder.Config()), strconv.FormatUint(action.Revision, 10),
				"refused: "+action.Err.Error(), action.Source)
		case dissemination.ListChanged:
			f.setList(now, action.Before, action.List, action.Source)
		case dissemination.PeerChanged:
			f.Audit(now, "peer/"+action.Peer, action.Before.String(), action.Status.String(), "links", "self")
		case dissemination.PauseEnded:
			f.Audit(now, "process", "paused", "running", "gap of "+action.Duration.String(), "self")
		default:
			f.effects = append(f.effects, action)
		}
	}
}

func (f *Facts) auditViolations(now time.Time) {
	count := invariant.Violations()
	if count == f.violations {
		return
	}
	f.Audit(now, "invariant_violations", strconv.FormatInt(f.violations, 10), strconv.FormatInt(count, 10), "invariant", "self")
	f.violations = count
}

// ZoneOpen reports whether packets may go into the availability zone, as far
// as the process can know.
func (f *Facts) ZoneOpen(now time.Time, zone string) bool {
	return f.replica.ZoneOpen(now, zone)
}

// Current reports whether the facts may be acted on. They may not after the
// process was paused, until the configuration in force is confirmed again.
func (f *Facts) Current(now time.Time) bool {
	return f.replica.MayAct(now)
}
