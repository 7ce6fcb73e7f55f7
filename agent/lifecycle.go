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
	// Drain is the number of the drain.
	Drain   uint64
	Timeout time.Duration
}

// FlowsResumed is the effect that lets new flows live, since the host serves
// again.
type NewFlowsAllowed struct{}

// StateChanged is the effect that tells entries of the host's new state.
type StateChanged struct{}

// ProcessEnded is the effect that ends the process after a graceful stop.
type ProcessEnded struct{}

// Lifecycle is the controller that decides the host's state:
//
//	down     -> cold      the backend server answers
//	cold     -> serving   the warm-up is over
//	serving  -> cold      the traffic shows that the backend server restarted
//	any      -> down      the backend server does not answer
//	any      -> leaving   the VM leaves, the backend server drains, the
//	                      service is withdrawn, or the process is told to
//	                      end; the way back goes through cold
//	any      -> zone out  operators have taken the zone out
//	zone out -> cold      operators have brought the zone back
type Lifecycle struct {
	draining    bool
	drainNumber uint64
	// service is as last declared. A service that is withdrawn is left.
	lastService *fleet.Service
	validUntil  time.Time
}

// viewLifetime is how long traffic may act on a view after control last found
// the facts current. A process that was paused wakes with its view expired.
const viewLifetime = 1500 * time.Millisecond

// Step implements blackboard.Controller.
func (l *Lifecycle) Step(now time.Time, board *Board) []blackboard.Effect {
	effects := board.Node.TakeEffects()
	config := board.Node.Holder.Config()
	if config == nil {
		return append(effects, endIfStopRequested(board)...)
	}
	service, found := config.Service(board.Config.Self.Service)
	if !found && l.lastService == nil {
		return append(effects, endIfStopRequested(board)...)
	}
	if !found {
		service = *l.lastService
	}
	l.lastService = &service
	next := l.nextState(now, board, config, service, !found)
	stateEffects := l.applyState(now, board, next)
	drainEffects := l.updateDrain(now, board, service)
	if board.Node.Current(now) {
		l.validUntil = now.Add(viewLifetime)
	}
	zone, _ := config.Zone(board.Config.Self.Zone)
	view := &View{
		Revision:    config.Revision(),
		Service:     service,
		ServiceTag:  service.ID.Tag(),
		State:       board.State,
		Since:       board.StateSince,
		ConfirmedAt: now.Add(-board.Node.Holder.Age(now)),
		ValidUntil:  l.validUntil,
		ZoneNumber:  zone.Number,
		Keys:        board.Keys.Load(),
	}
	// Traffic sees the new state before the effects that act on flows.
	effects = append(effects, ViewChanged{View: view})
	effects = append(effects, stateEffects...)
	return append(effects, drainEffects...)
}

func (l *Lifecycle) nextState(now time.Time, board *Board, config *fleet.Config, service fleet.Service, withdrawn bool) tunnel.HostState {
	switch {
	case config.ZoneOut(board.Config.Self.Zone):
		return tunnel.HostZoneOut
	case withdrawn:
		return tunnel.HostLeaving
	case board.StopRequested || board.Health == HealthDraining || listedAsLeaving(board):
		return tunnel.HostLeaving
	case board.Health != HealthOK:
		return tunnel.HostDown
	case !board.State.Accepting() || board.RestartDetected:
		return tunnel.HostCold
	case board.State == tunnel.HostCold && now.Sub(board.StateSince) < service.Warmup:
		return tunnel.HostCold
	default:
		return tunnel.HostServing
	}
}

func (l *Lifecycle) applyState(now time.Time, board *Board, next tunnel.HostState) []blackboard.Effect {
	restartDetected := board.RestartDetected
	board.RestartDetected = false
	if next == tunnel.HostCold && restartDetected {
		board.StateSince = now
	}
	if next == board.State {
		return nil
	}
	previous := board.State
	cause := "lifecycle"
	if restartDetected && next == tunnel.HostCold {
		cause = "restart_seen"
	}
	board.Node.Audit(now, "host_state", previous.String(), next.String(), cause, "self")
	board.State = next
	board.StateSince = now
	effects := []blackboard.Effect{StateChanged{}}
	if previous == tunnel.HostZoneOut {
		effects = append(effects, NewFlowsAllowed{})
	}
	switch {
	case next == tunnel.HostCold && !previous.Accepting():
		return append(effects, BackendRestarted{})
	case next == tunnel.HostZoneOut:
		return append(effects, FlowsClosed{})
	default:
		return effects
	}
}

func (l *Lifecycle) updateDrain(now time.Time, board *Board, service fleet.Service) []blackboard.Effect {
	if board.State != tunnel.HostLeaving {
		effects := endIfStopRequested(board)
		if l.draining {
			effects = append(effects, NewFlowsAllowed{})
		}
		l.draining = false
		return effects
	}
	if board.StopRequested && l.draining && board.CompletedDrain >= l.drainNumber {
		return []blackboard.Effect{ProcessEnded{}}
	}
	if l.draining || now.Sub(board.StateSince) < board.Config.LeaveGrace {
		return nil
	}
	l.draining = true
	l.drainNumber++
	return []blackboard.Effect{DrainStarted{Drain: l.drainNumber, Timeout: service.Drain}}
}

// endIdle ends a process that was told to and holds no flows: it has no
// configuration yet, or its zone is out.
func endIfStopRequested(board *Board) []blackboard.Effect {
	if !board.StopRequested {
		return nil
	}
	return []blackboard.Effect{ProcessEnded{}}
}

// listedLeaving reports whether the platform lists this VM as leaving. A VM
// that is not listed may be new to a list that lags.
func listedAsLeaving(board *Board) bool {
	self := board.Config.Self
	for _, vm := range board.Node.Lists[self.Zone].VMs {
		if vm.ID == self.ID && vm.Addr == self.Addr {
			return vm.State == fleet.VMLeaving
		}
	}
	return false
}
