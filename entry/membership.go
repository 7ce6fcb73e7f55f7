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
	// pauseGap is the time between two scans above which the process was
	// paused, and what it did not hear tells nothing.
	pauseGap = time.Second
	// zoneReportAge is the age from which a report does not count against the
	// silence of the host's whole zone.
	zoneReportAge = 2 * time.Second
	// goneAfter is how long a silent host may be listed before it is probed
	// seldom.
	goneAfter = 30 * time.Second
)

// Membership is the controller that decides the state of each listed host. It
// decides by HostState's table.
type Membership struct {
	versions map[string]uint64
	listed   bool
	scanned  time.Time
	changes  *changes
	prober   *prober
}

// NewMembership returns a controller that knows of no host.
func NewMembership() *Membership {
	return &Membership{
		versions: make(map[string]uint64),
		changes:  newChanges(),
		prober:   newProber(),
	}
}

// Step implements blackboard.Controller.
func (m *Membership) Step(now time.Time, board *Board) []blackboard.Effect {
	config := board.Node.Holder.Config()
	if config == nil {
		return nil
	}
	if m.listsChanged(board) {
		m.sync(board)
	}
	if now.Sub(m.scanned) < scanInterval {
		return nil
	}
	paused := !m.scanned.IsZero() && now.Sub(m.scanned) > pauseGap
	m.scanned = now
	openZones := closeZones(now, board, config)
	silentZones := findSilentZones(now, board, config)
	for _, h := range board.order {
		if paused {
			h.waitingSince = time.Time{}
		}
		h.observe(now)
		h.word = peersWord(now, board, h, silentZones[h.vm.Zone])
		m.decide(now, board, h, openZones[h.vm.Zone])
	}
	m.dropUnlisted(board)
	weigh(now, board, config)
	m.changes.flush(now, board.Node)
	if !board.Node.Current(now) {
		// A probe is a packet too: it may not go into a zone by an old view.
		return nil
	}
	return m.prober.step(now, board)
}

// weigh works out the hosts' shares of new flows.
func weigh(now time.Time, board *Board, config *fleet.Config) {
	warmup := func(id fleet.ServiceID) time.Duration {
		service, _ := config.Service(id)
		return service.Warmup
	}
	for id, hosts := range board.byService {
		if reweigh(now, hosts, warmup) {
			board.dirty[id] = struct{}{}
		}
	}
}

// closeZones sets the zone numbers that are closed and returns which zones
// are open by name. What is not declared is closed.
func closeZones(now time.Time, board *Board, config *fleet.Config) map[string]bool {
	closed := allClosed()
	openZones := make(map[string]bool, len(config.Manifest.Zones))
	for _, zone := range config.Manifest.Zones {
		if board.zoneOpen(now, zone.Name) {
			openZones[zone.Name] = true
			closed[zone.Number] = false
		}
	}
	board.closed = closed
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

// peersWord returns what peers hold against the host, or nothing. A report
// that came later counts more than their word.
func peersWord(now time.Time, board *Board, h *host, zoneSilent bool) string {
	lostAt, lost := board.Node.Lost(now, h.vm.ID)
	switch {
	case lost && lostAt.After(h.reportedAt):
		return "lost by peers"
	case zoneSilent && now.Sub(h.reportedAt) > zoneReportAge:
		return "zone silent"
	default:
		return ""
	}
}

// decide moves the host to the state that the evidence gives.
func (m *Membership) decide(now time.Time, board *Board, h *host, zoneOpen bool) {
	next, cause := h.next(now, board.Config.SuspectAfter, zoneOpen)
	if next == h.state {
		return
	}
	m.note(h, h.state.String(), next.String(), cause)
	h.state = next
	board.dirty[h.vm.Service] = struct{}{}
	if next == HostZoneOut {
		// When the zone is back its hosts are cold, whatever they last said.
		h.forget()
		h.added = true
	}
}

// next returns the state by the evidence, in the order of HostState's table.
func (h *host) next(now time.Time, suspectAfter time.Duration, zoneOpen bool) (HostState, string) {
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
	case h.word != "":
		return HostSuspect, h.word
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

func (m *Membership) note(h *host, from, to, cause string) {
	m.changes.add(change{zone: h.vm.Zone, from: from, to: to, cause: cause}, h.vm.Addr)
}
