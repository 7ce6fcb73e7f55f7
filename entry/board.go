package entry

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Board is the blackboard of an entry: the shared state that its controllers
// read and write on the control goroutine.
type Board struct {
	Config   Config
	Node     *node.FleetState
	Keys     *keyring.Ring
	Counters *Counters

	// hosts holds the listed agents by address. The VM lists bound its size.
	hosts map[netip.AddrPort]*host
	// hostsByAddr holds the same hosts, sorted by address.
	hostsByAddr []*host
	// hostsByService holds the same hosts grouped by service, each group
	// sorted by address.
	hostsByService map[fleet.ServiceID][]*host
	// dirtyServices holds the services whose set of eligible hosts or weights
	// may have changed since the last view.
	dirtyServices map[fleet.ServiceID]struct{}
	// hostsChanged is set when hosts were added or removed since the last
	// view.
	hostsChanged bool
	// closedZones is indexed by zone number and is true for each zone to which
	// no packet may be sent.
	closedZones [256]bool
	// zoneOutRevisions holds, by zone name, the configuration revision at
	// which an agent in the zone reported it out of service. An entry counts
	// only while it is higher than the revision in force.
	zoneOutRevisions map[string]uint64
}

// NewBoard returns the initial board of an entry.
func NewBoard(config Config, keys *keyring.Ring) *Board {
	return &Board{
		Config:           config,
		Node:             node.NewFleetState(config.Self),
		Keys:             keys,
		Counters:         &Counters{},
		hosts:            make(map[netip.AddrPort]*host),
		hostsByService:   make(map[fleet.ServiceID][]*host),
		dirtyServices:    make(map[fleet.ServiceID]struct{}),
		closedZones:      allZonesClosed(),
		zoneOutRevisions: make(map[string]uint64),
	}
}

func allZonesClosed() [256]bool {
	var closed [256]bool
	for i := range closed {
		closed[i] = true
	}
	return closed
}

// NodeUpdated is the event that applies an update to the replicated fleet state.
type NodeUpdated struct {
	Update node.Update
}

// Apply implements blackboard.Event.
func (e NodeUpdated) Apply(now time.Time, board *Board) {
	e.Update.ApplyTo(now, board.Node)
}

// ReportReceived is the event that delivers an agent's load report, already
// authenticated and checked to be addressed to this entry.
type ReportReceived struct {
	Agent netip.AddrPort
	// Service is the tag of the service that the agent serves.
	Service uint32
	Report  tunnel.Report
}

// Apply implements blackboard.Event.
func (e ReportReceived) Apply(now time.Time, board *Board) {
	board.Counters.countReport(board.applyReport(now, e))
}

func (b *Board) applyReport(now time.Time, e ReportReceived) ReportVerdict {
	h := b.hosts[e.Agent]
	if h == nil {
		return ReportUnlisted
	}
	verdict := h.acceptReport(now, e.Service, e.Report)
	if verdict != ReportAccepted {
		return verdict
	}
	b.applyZoneReport(h.vm.Zone, e.Report)
	return verdict
}

// applyZoneReport closes the zone at once when an agent in it reports the zone
// out of service at a higher revision than the one in force at this entry, and
// reopens it when an agent reports otherwise at a yet higher revision.
func (b *Board) applyZoneReport(zone string, report tunnel.Report) {
	outRevision := b.zoneOutRevisions[zone]
	switch {
	case report.Revision <= max(outRevision, b.Node.Holder.Revision()):
	case report.State == tunnel.HostZoneOut:
		b.zoneOutRevisions[zone] = report.Revision
	default:
		delete(b.zoneOutRevisions, zone)
	}
}

// zoneOpen reports whether packets may be sent to the zone.
func (b *Board) zoneOpen(now time.Time, zone string) bool {
	return b.zoneOutRevisions[zone] <= b.Node.Holder.Revision() && b.Node.ZoneOpen(now, zone)
}
