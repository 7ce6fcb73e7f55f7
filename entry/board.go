package entry

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Board holds the facts that an entry's controllers read and write.
type Board struct {
	Config   Config
	Node     *node.Facts
	Keys     *keyring.Ring
	Counters *Counters

	// hosts holds the listed agents by address; it is bounded by the list.
	hosts map[netip.AddrPort]*host
	// hostsByAddr holds the same hosts in the hostsByAddr of their addresses.
	hostsByAddr []*host
	// hostsByService holds the same hosts by service, in the same order.
	hostsByService map[fleet.ServiceID][]*host
	// dirtyServices holds the services whose eligible hosts may have changed.
	dirtyServices map[fleet.ServiceID]struct{}
	// hostsChanged is set when hosts were added or removed.
	hostsChanged bool
	// closedZones holds the zone numbers into which no packet may go.
	closedZones [256]bool
	// zoneOutRevisions holds, by zone, the revision at which an agent there said that
	// the zone is out, while that is above the revision in force.
	zoneOutRevisions map[string]uint64
}

// NewBoard returns the board of an entry that has just started.
func NewBoard(config Config, keys *keyring.Ring) *Board {
	return &Board{
		Config:           config,
		Node:             node.NewFacts(config.Self),
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

// NodeUpdated applies an update of the shared facts.
type NodeUpdated struct {
	Update node.Update
}

// Apply implements blackboard.Event.
func (e NodeUpdated) Apply(now time.Time, board *Board) {
	e.Update.ApplyTo(now, board.Node)
}

// ReportReceived brings an agent's load report, authenticated and addressed
// to this entry.
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

// applyZoneReport believes an agent at once that says that its zone is out at a
// higher revision than the one in force here.
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

// zoneOpen reports whether packets may go into the zone.
func (b *Board) zoneOpen(now time.Time, zone string) bool {
	return b.zoneOutRevisions[zone] <= b.Node.Holder.Revision() && b.Node.ZoneOpen(now, zone)
}
