package entry

import (
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// scanInterval is the minimum time between two scans of all hosts.
	scanInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two scans above which the process is
	// assumed to have been paused. Reports missed during a pause do not count
	// as silence.
	pauseThreshold = time.Second
	// zoneReportMaxAge is the age up to which a host's report overrides the
	// silence of its whole zone.
	zoneReportMaxAge = 2 * time.Second
	// goneAfter is how long a host may be silent before it is probed only at
	// goneProbeInterval.
	goneAfter = 30 * time.Second
)

// Membership is the controller that determines the state of each listed host
// by the rules documented on HostState.
type Membership struct {
	listVersions        map[string]uint64
	initialListsApplied bool
	scannedAt           time.Time
	changes             *changeBatcher
	prober              *prober
}

// NewMembership returns a controller that has not applied any VM list.
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
		// Probes are packets too: they must not be sent to a zone that an
		// outdated view considers open.
		return nil
	}
	return m.prober.step(now, board)
}

// updateWeights recomputes the weights of all hosts and marks the services
// whose weights changed.
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

// updateZones sets board.closedZones and returns the names of the open zones.
// Zones that the configuration does not declare are closed.
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

// findSilentZones returns the names of the zones from which nothing is
// received any more while other zones are heard from.
func findSilentZones(now time.Time, board *Board, config *fleet.Config) map[string]bool {
	silent := make(map[string]bool)
	for _, zone := range config.Manifest.Zones {
		if board.Node.ZoneSilent(now, zone.Name) {
			silent[zone.Name] = true
		}
	}
	return silent
}

// findPeerEvidence returns the cause for which peers consider the host lost,
// or an empty string. A later report of the host overrides it.
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

// updateState moves the host to the state that the evidence implies and
// records the change.
func (m *Membership) updateState(now time.Time, board *Board, h *host, zoneOpen bool) {
	newState, cause := h.nextState(now, board.Config.SuspectAfter, zoneOpen)
	if newState == h.state {
		return
	}
	m.recordChange(h, h.state.String(), newState.String(), cause)
	h.state = newState
	board.dirtyServices[h.vm.Service] = struct{}{}
	if newState == HostZoneOut {
		// The host will be cold when the zone returns, whatever it last
		// reported.
		h.resetReport()
		h.mayBeCold = true
	}
}

// nextState returns the state that the evidence implies, in the order of
// precedence documented on HostState, and its cause.
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
