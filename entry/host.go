package entry

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// retiredIncarnations bounds the earlier incarnations of a host whose
	// late reports are refused.
	retiredIncarnations = 4
	// reportQuiet is how long after a report an agent may coalesce the next
	// one, so that a packet sent in this time may have no report of its own.
	reportQuiet = time.Second
	// loadMaxAge is the age at which a reported load is no longer used.
	loadMaxAge = 5 * time.Second
	// coldWeight is the weight of a host whose capacity is not known.
	coldWeight = 0.2
	// weightSteps is the number of steps in which a weight is given, so that
	// entries with reports apart agree on most of them.
	weightSteps = 16
	// fullCapacity is the capacity of a host that admits its declared slots.
	fullCapacity = 1000
)

// hostCell is what traffic goroutines and control share of a host. It
// outlives views.
type hostCell struct {
	// placed counts packets of new flows placed on the host.
	placed atomic.Uint64
	// load is the tunnel.Load as last reported.
	load atomic.Uint32
}

// host is what control knows of one listed address.
type host struct {
	vm    fleet.VM
	seed  uint64
	cell  *hostCell
	state HostState
	// usable tells that packets may be sent to the address.
	usable bool
	// added tells that the host was listed after the entry's first list.
	added bool

	report     tunnel.Report
	reportedAt time.Time
	retired    [retiredIncarnations]uint16

	// placedSeen is the cell's count at the last scan.
	placedSeen uint64
	probedAt   time.Time
	// word is what peers hold against the host, or nothing.
	word string
	// waitingSince is when the earliest unanswered packet was sent, or zero.
	waitingSince time.Time
}

func (h *host) reported() bool {
	return !h.reportedAt.IsZero()
}

// accept takes a report or says why it is refused.
func (h *host) accept(now time.Time, service uint32, report tunnel.Report) ReportVerdict {
	switch {
	case service != h.vm.Service.Tag():
		return ReportWrongService
	case h.isRetired(report.Incarnation):
		return ReportOldIncarnation
	case h.reported() && report.Incarnation != h.report.Incarnation:
		h.retire()
	case h.reported() && report.Sequence <= h.report.Sequence:
		return ReportReplayed
	}
	h.report = report
	h.reportedAt = now
	h.waitingSince = time.Time{}
	h.cell.load.Store(uint32(report.Load()))
	return ReportAccepted
}

// retire forgets the report and refuses later ones of its incarnation.
func (h *host) retire() {
	if !h.reported() {
		return
	}
	copy(h.retired[1:], h.retired[:])
	h.retired[0] = h.report.Incarnation
	h.report = tunnel.Report{}
	h.reportedAt = time.Time{}
	h.waitingSince = time.Time{}
	h.cell.load.Store(uint32(tunnel.UnknownLoad))
}

func (h *host) isRetired(incarnation uint16) bool {
	for _, retired := range h.retired {
		if retired != 0 && retired == incarnation {
			return true
		}
	}
	return false
}

// observe notes whether new flows were placed on the host since the last
// call.
func (h *host) observe(now time.Time) {
	if h.reported() && now.Sub(h.reportedAt) > loadMaxAge {
		h.cell.load.Store(uint32(tunnel.UnknownLoad))
	}
	placed := h.cell.placed.Load()
	if placed == h.placedSeen {
		return
	}
	h.placedSeen = placed
	if h.reported() && now.Sub(h.reportedAt) < reportQuiet {
		return
	}
	h.await(now)
}

// await notes that a report is due.
func (h *host) await(now time.Time) {
	if h.waitingSince.IsZero() {
		h.waitingSince = now
	}
}

// silence returns how long the host has owed a report.
func (h *host) silence(now time.Time) time.Duration {
	if h.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(h.waitingSince)
}

// weight returns the host's share of new flows.
func (h *host) weight() float64 {
	if h.state.silent() {
		return coldWeight
	}
	if !h.reported() {
		if h.added {
			return coldWeight
		}
		return 1
	}
	steps := math.Ceil(float64(h.report.Capacity) * weightSteps / fullCapacity)
	return min(max(steps, 1), weightSteps) / weightSteps
}

// usableAddr reports whether packets may be sent to the address.
func usableAddr(networks []netip.Prefix, addr netip.AddrPort) bool {
	if !addr.Addr().Is4() || addr.Port() == 0 {
		return false
	}
	for _, network := range networks {
		if network.Contains(addr.Addr()) {
			return true
		}
	}
	return false
}
