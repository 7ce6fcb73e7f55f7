package entry

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// retiredIncarnations bounds the earlier incarnations of a host whose
	// late reports are refused.
	retiredIncarnations = 4
	// reportQuiet is how long after a report an agent may coalesce the next
	// one, so that a packet sent in this time may have no report of its own.
	reportQuiet = time.Second
	// LoadMaxAge is the age at which a reported load is no longer used.
	LoadMaxAge = 5 * time.Second
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
	// weight is the share of new flows relative to other hosts.
	weight float64
	// added tells that the host was listed after the entry's first list, or
	// that its zone was out, so that it may be cold.
	added bool
	// unlisted tells that the list dropped the host together with most of its
	// zone while it answered.
	unlisted bool

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
	case report.Incarnation != h.report.Incarnation:
		h.retire()
	case report.Sequence <= h.report.Sequence:
		return ReportReplayed
	}
	h.report = report
	h.reportedAt = now
	h.waitingSince = time.Time{}
	h.cell.load.Store(uint32(report.Load()))
	return ReportAccepted
}

// retire forgets the host and refuses later reports of its incarnation.
func (h *host) retire() {
	if h.report.Incarnation != 0 {
		copy(h.retired[1:], h.retired[:])
		h.retired[0] = h.report.Incarnation
	}
	h.report = tunnel.Report{}
	h.forget()
}

// forget makes the host one that has not reported yet. Older reports of its
// incarnation are still refused.
func (h *host) forget() {
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
	if h.loadKnown() && now.Sub(h.reportedAt) > LoadMaxAge {
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

func (h *host) loadKnown() bool {
	return h.cell.load.Load() != uint32(tunnel.UnknownLoad)
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

// reweigh works out the share of new flows of each host of a service and
// reports whether one changed. warmup returns the service's warm-up wish.
func reweigh(now time.Time, hosts []*host, warmup func(fleet.ServiceID) time.Duration) bool {
	mean := meanLoad(hosts)
	changed := false
	for _, h := range hosts {
		weight := h.share(now, warmup)
		if h.warm() {
			weight *= placement.CatchUpFactor(float64(h.cell.load.Load()), mean)
		}
		changed = changed || weight != h.weight
		h.weight = weight
	}
	return changed
}

// meanLoad returns the mean of the loads that are known.
func meanLoad(hosts []*host) float64 {
	total, known := 0.0, 0.0
	for _, h := range hosts {
		if h.state == HostLive && h.loadKnown() {
			total += float64(h.cell.load.Load())
			known++
		}
	}
	return total / max(known, 1)
}

// warm reports whether the host is known to admit its declared slots.
func (h *host) warm() bool {
	return h.loadKnown() && h.state == HostLive && h.report.State == tunnel.HostServing && h.report.Capacity >= fullCapacity
}

// share returns the host's share of new flows by its capacity.
func (h *host) share(now time.Time, warmup func(fleet.ServiceID) time.Duration) float64 {
	weight := 1.0
	switch {
	case h.state.silent():
		weight = coldWeight
	case h.reported() && h.report.State == tunnel.HostCold:
		capacity := RampedCapacity(h.report, now.Sub(h.reportedAt), warmup(h.vm.Service))
		weight = quantized(capacity)
	case h.reported():
		weight = quantized(float64(h.report.Capacity) / fullCapacity)
	case h.added:
		weight = coldWeight
	}
	return weight
}

// RampedCapacity returns the share of its declared slots that a cold host
// admits by now, given its report and the report's age. An old report would
// hold a host at its first capacity long after its warm-up.
func RampedCapacity(report tunnel.Report, age, warmup time.Duration) float64 {
	capacity := float64(report.Capacity) / fullCapacity
	if age <= LoadMaxAge {
		return capacity
	}
	if warmup <= 0 {
		return 1
	}
	return min(1, capacity+float64(age)/float64(warmup))
}

// quantized returns the capacity in weightSteps steps, and at least one.
func quantized(capacity float64) float64 {
	steps := math.Ceil(capacity * weightSteps)
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
