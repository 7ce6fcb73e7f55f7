package agent

import (
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/tunnel"
)

// ViewChanged is the effect that publishes a new view to traffic goroutines.
type ViewChanged struct {
	View *View
}

// BackendRestarted is the effect that makes the host cold.
type BackendRestarted struct{}

// FlowsClosed is the effect that closes all flows at once, since operators
// have taken the zone out.
type FlowsClosed struct{}

// DrainStarted is the effect that sends GOAWAY on established flows and lets
// what is in service end within Within.
type DrainStarted struct {
	Within time.Duration
}

// ProcessEnded is the effect that ends the process after a graceful stop.
type ProcessEnded struct{}

// Lifecycle is the controller that decides the host's state:
//
//	down     -> cold      the backend server answers
//	cold     -> serving   the warm-up is over
//	any      -> down      the backend server does not answer
//	any      -> leaving   the VM leaves, the backend server drains, or the
//	                      process is told to end; there is no way back but
//	                      for a drain that the backend server ends
//	any      -> zone out  operators have taken the zone out
//	zone out -> cold      operators have brought the zone back
type Lifecycle struct {
	draining   bool
	validUntil time.Time
}

// viewLifetime is how long traffic may act on a view after control last found
// the facts current. A process that was paused wakes with its view expired.
const viewLifetime = 1500 * time.Millisecond

// Step implements blackboard.Controller.
func (l *Lifecycle) Step(now time.Time, board *Board) []blackboard.Effect {
	effects := board.Node.TakeEffects()
	config := board.Node.Holder.Config()
	if config == nil {
		return append(effects, endIdle(board)...)
	}
	service, found := config.Service(board.Config.Self.Service)
	if !found {
		return effects
	}
	next := l.next(now, board, config, service)
	effects = append(effects, l.enter(now, board, next)...)
	effects = append(effects, l.drain(now, board, service)...)
	if board.Node.Current(now) {
		l.validUntil = now.Add(viewLifetime)
	}
	zone, _ := config.Zone(board.Config.Self.Zone)
	view := &View{
		Revision:    config.Revision(),
		Service:     service,
		Tag:         service.ID.Tag(),
		State:       board.State,
		Since:       board.StateSince,
		ConfirmedAt: now.Add(-board.Node.Holder.Age(now)),
		ValidUntil:  l.validUntil,
		Zone:        zone.Number,
		Keys:        board.Keys.Load(),
	}
	return append(effects, ViewChanged{View: view})
}

func (l *Lifecycle) next(now time.Time, board *Board, config *fleet.Config, service fleet.Service) tunnel.HostState {
	switch {
	case config.ZoneOut(board.Config.Self.Zone):
		return tunnel.HostZoneOut
	case board.StopRequested || board.Health == HealthDraining || listedLeaving(board):
		return tunnel.HostLeaving
	case board.Health != HealthGood:
		return tunnel.HostDown
	case board.State == tunnel.HostServing:
		return tunnel.HostServing
	case board.State == tunnel.HostCold && now.Sub(board.StateSince) >= service.Warmup:
		return tunnel.HostServing
	default:
		return tunnel.HostCold
	}
}

func (l *Lifecycle) enter(now time.Time, board *Board, next tunnel.HostState) []blackboard.Effect {
	if next == board.State {
		return nil
	}
	board.Node.Audit(now, "host_state", board.State.String(), next.String(), "lifecycle", "self")
	board.State = next
	board.StateSince = now
	switch next {
	case tunnel.HostCold:
		return []blackboard.Effect{BackendRestarted{}}
	case tunnel.HostZoneOut:
		return []blackboard.Effect{FlowsClosed{}}
	default:
		return nil
	}
}

func (l *Lifecycle) drain(now time.Time, board *Board, service fleet.Service) []blackboard.Effect {
	if board.State != tunnel.HostLeaving {
		l.draining = false
		board.DrainDone = false
		return endIdle(board)
	}
	if board.StopRequested && board.DrainDone {
		return []blackboard.Effect{ProcessEnded{}}
	}
	if l.draining || now.Sub(board.StateSince) < board.Config.LeaveGrace {
		return nil
	}
	l.draining = true
	return []blackboard.Effect{DrainStarted{Within: service.Drain}}
}

// endIdle ends a process that was told to and holds no flows: it has no
// configuration yet, or its zone is out.
func endIdle(board *Board) []blackboard.Effect {
	if !board.StopRequested {
		return nil
	}
	return []blackboard.Effect{ProcessEnded{}}
}

// listedLeaving reports whether the platform lists this VM as leaving. A VM
// that is not listed may be new to a list that lags.
func listedLeaving(board *Board) bool {
	self := board.Config.Self
	for _, vm := range board.Node.Lists[self.Zone].VMs {
		if vm.ID == self.ID && vm.Addr == self.Addr {
			return vm.State == fleet.VMLeaving
		}
	}
	return false
}
