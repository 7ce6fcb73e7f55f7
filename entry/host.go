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
	// maxRetiredIncarnations is the number of earlier incarnations kept for
	// each host to reject their late reports.
	maxRetiredIncarnations = 4
	// reportCoalesceWindow is the time after a report in which an agent may
	// omit further reports, so that a packet sent within it need not be
	// followed by a report of its own.
	reportCoalesceWindow = time.Second
	// LoadMaxAge is the age beyond which a reported load is ignored.
	LoadMaxAge = 5 * time.Second
	// coldWeight is the weight of a host whose capacity is unknown.
	coldWeight = 0.2
	// weightSteps is the number of steps to which weights are quantized, so
	// that entries that hold different reports of a host mostly use the same
	// weight.
	weightSteps = 16
	// fullCapacity is the tunnel.Report.Capacity of a host that admits all its
	// declared slots.
	fullCapacity = 1000
)

// sharedHost is the state of a host that forwarding goroutines and the control
// goroutine share. It persists across views.
type sharedHost struct {
	// newFlowPackets counts packets of new flows sent to the host as first
	// choice.
	newFlowPackets atomic.Uint64
	// load is the last reported tunnel.Load.
	load atomic.Uint32
}

// host is the control goroutine's state of one listed address.
type host struct {
	vm     fleet.VM
	seed   uint64
	shared *sharedHost
	state  HostState
	// usable is whether packets may be sent to the address.
	usable bool
	// weight is the host's weight in rendezvous hashing of new flows, relative
	// to that of other hosts.
	weight float64
	// mayBeCold is whether the host may be cold: it was listed after the first
	// VM lists were applied, was replaced, or its zone was out of service.
	mayBeCold bool
	// unlisted is whether the host was kept although a list dropped it,
	// because the list dropped most of its zone at once while the host still
	// answered.
	unlisted bool

	report              tunnel.Report
	reportedAt          time.Time
	retiredIncarnations [maxRetiredIncarnations]uint16

	// newFlowPacketsSeen is the value of shared.newFlowPackets at the last
	// scan.
	newFlowPacketsSeen uint64
	probedAt           time.Time
	// peerEvidence is the cause for which peers consider the host lost, or
	// empty.
	peerEvidence string
	// reportDueSince is when the earliest packet without a subsequent report
	// was sent, or zero if no report is due.
	reportDueSince time.Time
}

func (h *host) reported() bool {
	return !h.reportedAt.IsZero()
}

// acceptReport stores a report, or returns the verdict with which it is
// rejected.
func (h *host) acceptReport(now time.Time, service uint32, report tunnel.Report) ReportVerdict {
	switch {
	case service != h.vm.Service.Tag():
		return ReportWrongService
	case h.isRetired(report.Incarnation):
		return ReportOldIncarnation
	case report.Incarnation != h.report.Incarnation:
		h.retireIncarnation()
	case report.Sequence <= h.report.Sequence:
		return ReportReplayed
	}
	h.report = report
	h.reportedAt = now
	h.reportDueSince = time.Time{}
	h.shared.load.Store(uint32(report.Load()))
	return ReportAccepted
}

// retireIncarnation clears the state reported by the current incarnation and
// rejects its later reports.
func (h *host) retireIncarnation() {
	if h.report.Incarnation != 0 {
		copy(h.retiredIncarnations[1:], h.retiredIncarnations[:])
		h.retiredIncarnations[0] = h.report.Incarnation
	}
	h.report = tunnel.Report{}
	h.resetReport()
}

// resetReport marks the host as not having reported. It keeps the last
// sequence number, so that replayed reports of the incarnation are still
// rejected.
func (h *host) resetReport() {
	h.reportedAt = time.Time{}
	h.reportDueSince = time.Time{}
	h.shared.load.Store(uint32(tunnel.UnknownLoad))
}

func (h *host) isRetired(incarnation uint16) bool {
	for _, retired := range h.retiredIncarnations {
		if retired != 0 && retired == incarnation {
			return true
		}
	}
	return false
}

// observeNewFlows marks a report as due if new flows were placed on the host
// since the last call, unless the last report is younger than
// reportCoalesceWindow. It also invalidates a load older than LoadMaxAge.
func (h *host) observeNewFlows(now time.Time) {
	if h.loadKnown() && now.Sub(h.reportedAt) > LoadMaxAge {
		h.shared.load.Store(uint32(tunnel.UnknownLoad))
	}
	newFlowPackets := h.shared.newFlowPackets.Load()
	if newFlowPackets == h.newFlowPacketsSeen {
		return
	}
	h.newFlowPacketsSeen = newFlowPackets
	if h.reported() && now.Sub(h.reportedAt) < reportCoalesceWindow {
		return
	}
	h.expectReport(now)
}

func (h *host) loadKnown() bool {
	return h.shared.load.Load() != uint32(tunnel.UnknownLoad)
}

// expectReport marks a report as due from now, unless one is due already.
func (h *host) expectReport(now time.Time) {
	if h.reportDueSince.IsZero() {
		h.reportDueSince = now
	}
}

// silence returns how long a report has been due, or 0 if none is.
func (h *host) silence(now time.Time) time.Duration {
	if h.reportDueSince.IsZero() {
		return 0
	}
	return now.Sub(h.reportDueSince)
}

// updateServiceWeights recomputes the weights of the hosts of one service and
// reports whether any changed. warmup returns the warm-up time configured for
// a service.
func updateServiceWeights(now time.Time, hosts []*host, warmup func(fleet.ServiceID) time.Duration) bool {
	mean := meanLoad(hosts)
	changed := false
	for _, h := range hosts {
		weight := h.baseWeight(now, warmup)
		if h.fullyWarm() {
			weight *= placement.CatchUpFactor(float64(h.shared.load.Load()), mean)
		}
		changed = changed || weight != h.weight
		h.weight = weight
	}
	return changed
}

// meanLoad returns the mean of the known loads of live hosts, or 0 if none is
// known.
func meanLoad(hosts []*host) float64 {
	total, count := 0.0, 0.0
	for _, h := range hosts {
		if h.state == HostLive && h.loadKnown() {
			total += float64(h.shared.load.Load())
			count++
		}
	}
	return total / max(count, 1)
}

// fullyWarm reports whether the host is known to admit all its declared slots.
func (h *host) fullyWarm() bool {
	return h.loadKnown() && h.state == HostLive && h.report.State == tunnel.HostServing && h.report.Capacity >= fullCapacity
}

// baseWeight returns the host's weight by its state and capacity, regardless
// of its load.
func (h *host) baseWeight(now time.Time, warmup func(fleet.ServiceID) time.Duration) float64 {
	weight := 1.0
	switch {
	case h.state.unresponsive():
		weight = coldWeight
	case h.reported() && h.report.State == tunnel.HostCold:
		capacity := RampedCapacity(h.report, now.Sub(h.reportedAt), warmup(h.vm.Service))
		weight = quantized(capacity)
	case h.reported():
		weight = quantized(float64(h.report.Capacity) / fullCapacity)
	case h.mayBeCold:
		weight = coldWeight
	}
	return weight
}

// RampedCapacity returns the share of its declared slots, from 0 to 1, that a
// cold host admits now, extrapolated from its last report and the report's
// age. Without the extrapolation, an old report would keep a host at its
// initial capacity long after its warm-up.
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

// quantized rounds the capacity up to a multiple of 1/weightSteps, between
// 1/weightSteps and 1.
func quantized(capacity float64) float64 {
	steps := math.Ceil(capacity * weightSteps)
	return min(max(steps, 1), weightSteps) / weightSteps
}

// usableAddr reports whether packets may be sent to the address: IPv4, with a
// port, and within one of the networks.
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
