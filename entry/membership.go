package entry

import (
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// scanInterval is the time between two looks at all hosts.
	scanInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two scans above which the process was
	// paused, and what it did not hear tells nothing.
	pauseThreshold = time.Second
	// zoneReportMaxAge is the age from which a report does not count against the
	// silence of the host's whole zone.
	zoneReportMaxAge = 2 * time.Second
	// goneAfter is how long a silent host may be listed before it is probed
	// seldom.
	goneAfter = 30 * time.Second
)

// Membership is the controller that decides the state of each listed host. It
// decides by HostState's table.
type Membership struct {
	listVersions        map[string]uint64
	initialListsApplied bool
	scannedAt           time.Time
	changes             *changeBatcher
	prober              *prober
}

// NewMembership returns a controller that knows of no host.
func NewMembership() *Membership {
	return &Membership{
		listVersions: make(map[string]uint64),
		changes:      newChangeBatcher(),
		prober:       newProber(),
	}
}

// Step implements blackboard.Controller.
func (m *Membership) Step(now time.Time, board *Board) []blackboard.Effect {
	config := board.Node.Holder.Config()
	if config == nil {
		return nil
	}
	if m.listsChanged(board) {
		m.applyLists(board)
	}
	if now.Sub(m.scannedAt) < scanInterval {
		return nil
	}
	paused := !m.scannedAt.IsZero() && now.Sub(m.scannedAt) > pauseThreshold
	m.scannedAt = now
	openZones := updateZones(now, board, config)
	silentZones := findSilentZones(now, board, config)
	for _, h := range board.hostsByAddr {
		if paused {
			h.reportDueSince = time.Time{}
		}
		h.observeNewFlows(now)
		h.peerEvidence = findPeerEvidence(now, board, h, silentZones[h.vm.Zone])
		m.updateState(now, board, h, openZones[h.vm.Zone])
	}
	m.removeUnlisted(board)
	updateWeights(now, board, config)
	m.changes.flush(now, board.Node)
	if !board.Node.Current(now) {
		// A probe is a packet too: it may not go into a zone by an old view.
		return nil
	}
	return m.prober.step(now, board)
}

// updateWeights works out the hosts' shares of new flows.
func updateWeights(now time.Time, board *Board, config *fleet.Config) {
	warmup := func(id fleet.ServiceID) time.Duration {
		service, _ := config.Service(id)
		return service.Warmup
	}
	for id, hosts := range board.hostsByService {
		if updateServiceWeights(now, hosts, warmup) {
			board.dirtyServices[id] = struct{}{}
		}
	}
}

// updateZones sets the zone numbers that are closed and returns which zones
// are open by name. What is not declared is closed.
func updateZones(now time.Time, board *Board, config *fleet.Config) map[string]bool {
	closed := allZonesClosed()
	openZones := make(map[string]bool, len(config.Manifest.Zones))
	for _, zone := range config.Manifest.Zones {
		if board.zoneOpen(now, zone.Name) {
			openZones[zone.Name] = true
			closed[zone.Number] = false
		}
	}
	board.closedZones = closed
	return openZones
}

// findSilentZones returns the zones of which nothing is heard any more.
func findSilentZones(now time.Time, board *Board, config *fleet.Config) map[string]bool {
	silent := make(map[string]bool)
	for _, zone := range config.Manifest.Zones {
		if board.Node.ZoneSilent(now, zone.Name) {
			silent[zone.Name] = true
		}
	}
	return silent
}

// findPeerEvidence returns what peers hold against the host, or nothing. A report
// that came later counts more than their word.
func findPeerEvidence(now time.Time, board *Board, h *host, zoneSilent bool) string {
	linkLostAt, lost := board.Node.Lost(now, h.vm.ID)
	switch {
	case lost && linkLostAt.After(h.reportedAt):
		return "lost by peers"
	case zoneSilent && now.Sub(h.reportedAt) > zoneReportMaxAge:
		return "zone silent"
	default:
		return ""
	}
}

// updateState moves the host to the state that the evidence gives.
func (m *Membership) updateState(now time.Time, board *Board, h *host, zoneOpen bool) {
	newState, cause := h.nextState(now, board.Config.SuspectAfter, zoneOpen)
	if newState == h.state {
		return
	}
	m.recordChange(h, h.state.String(), newState.String(), cause)
	h.state = newState
	board.dirtyServices[h.vm.Service] = struct{}{}
	if newState == HostZoneOut {
		// When the zone is back its hosts are cold, whatever they last said.
		h.resetReport()
		h.mayBeCold = true
	}
}

// nextState returns the state by the evidence, in the order of HostState's table.
func (h *host) nextState(now time.Time, suspectAfter time.Duration, zoneOpen bool) (HostState, string) {
	silence := h.silence(now)
	switch {
	case !h.usable:
		return HostUnusable, "address"
	case !zoneOpen:
		return HostZoneOut, "zone"
	case h.vm.State == fleet.VMLeaving:
		return HostLeaving, "listed leaving"
	case silence >= goneAfter:
		return HostGone, "silent"
	case silence >= suspectAfter:
		return HostSuspect, "silent"
	case h.peerEvidence != "":
		return HostSuspect, h.peerEvidence
	case !h.reported():
		return HostUnreported, "no report"
	case h.report.State == tunnel.HostLeaving:
		return HostLeaving, "reported"
	case !h.report.State.Accepting():
		return HostDown, "reported"
	default:
		return HostLive, "reported"
	}
}

func (m *Membership) recordChange(h *host, from, to, cause string) {
	m.changes.add(hostChange{zone: h.vm.Zone, from: from, to: to, cause: cause}, h.vm.Addr)
}
