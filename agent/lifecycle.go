package agent

import (
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/tunnel"
)

// ViewChanged is the effect that publishes a new view to the goroutines that
// handle traffic.
type ViewChanged struct {
	View *View
}

// BackendRestarted is the effect that resets the concurrency limit to that of a
// host whose backend server has just started.
type BackendRestarted struct{}

// FlowsClosed is the effect that closes all flows at once because operators have
// taken the zone out of service.
type FlowsClosed struct{}

// DrainStarted is the effect that sends GOAWAY on established flows. Requests in
// service may complete until Timeout has passed.
type DrainStarted struct {
	// Drain is the number of the drain.
	Drain   uint64
	Timeout time.Duration
}

// NewFlowsAllowed is the effect that stops the draining or closing of newly
// established flows, because the host is no longer leaving or its zone is back
// in service.
type NewFlowsAllowed struct{}

// StateChanged is the effect that reports the host's new state to entries.
type StateChanged struct{}

// ProcessEnded is the effect that makes Agent.Run return after a graceful
// shutdown.
type ProcessEnded struct{}

// Lifecycle is the controller that determines the host's state:
//
//	down     -> cold      the backend server is healthy
//	cold     -> serving   the warm-up period has passed
//	serving  -> cold      the traffic shows that the backend server restarted
//	any      -> down      the backend server is not healthy
//	any      -> leaving   the platform lists the VM as leaving, the backend
//	                      server drains, the service is no longer declared, or
//	                      a graceful shutdown was requested; a host that returns
//	                      to service is cold first
//	any      -> zone out  operators have taken the zone out of service
//	zone out -> cold      operators have returned the zone to service
type Lifecycle struct {
	draining    bool
	drainNumber uint64
	// lastService is the service as it was last declared. It still applies while
	// the host leaves because the service is no longer declared.
	lastService *fleet.Service
	validUntil  time.Time
}

// viewLifetime is how long a view is valid after the replicated fleet state was
// last known to be current. When a process resumes after a longer pause, its view has
// expired and it does not act on outdated state.
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
	// The view is published before the effects that act on flows, so that traffic
	// is handled by the new state from then on.
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

// endIfStopRequested returns the effect that ends the process when a graceful
// shutdown was requested. It is used where no flows need draining: there is no
// configuration with the service yet, or the zone is out of service.
func endIfStopRequested(board *Board) []blackboard.Effect {
	if !board.StopRequested {
		return nil
	}
	return []blackboard.Effect{ProcessEnded{}}
}

// listedAsLeaving reports whether the platform lists this VM as leaving. A VM
// that is missing from the list is not taken as leaving, since the list may be
// too old to contain it.
func listedAsLeaving(board *Board) bool {
	self := board.Config.Self
	for _, vm := range board.Node.VMLists[self.Zone].VMs {
		if vm.ID == self.ID && vm.Addr == self.Addr {
			return vm.State == fleet.VMLeaving
		}
	}
	return false
}
