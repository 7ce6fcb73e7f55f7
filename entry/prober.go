package entry

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericrock/turmericrock/blackboard"
)

const (
	// probeRate is the maximum number of probes that an entry sends per
	// second, for any number of hosts. probeBurst is the burst size.
	probeRate  = 20
	probeBurst = 10
	// overdueRateShare and unresponsiveRateShare are the shares of probeRate
	// reserved for hosts whose report is overdue and for hosts that return
	// only with a report.
	overdueRateShare      = 0.25
	unresponsiveRateShare = 0.25
	// probeInterval is the minimum time between two probes of a host, and the
	// report age from which a host is probed for a new one.
	probeInterval = 500 * time.Millisecond
	// goneProbeInterval is the minimum time between two probes of a host in
	// state HostGone.
	goneProbeInterval = 5 * time.Second
)

// Probe is the effect that requests a load report from an agent.
type Probe struct {
	Agent    netip.AddrPort
	Service  uint32
	Revision uint64
}

// prober requests reports from hosts in three classes: hosts whose report is
// overdue, to tell a silent host from a lost datagram; hosts that are
// unresponsive or have not reported, which only a report makes live; and all
// hosts in turn, to refresh their loads.
type prober struct {
	overdue      probeSweep
	unresponsive probeSweep
	refresh      probeSweep
}

// probeSweep probes hosts round-robin with a rate limit of its own, so that
// the loss of a zone does not keep other hosts from being probed.
type probeSweep struct {
	limiter *rate.Limiter
	// cursor is the index of the host at which the next run starts.
	cursor int
}

func newProbeSweep(share float64) probeSweep {
	return probeSweep{limiter: rate.NewLimiter(rate.Limit(share*probeRate), max(1, int(share*probeBurst)))}
}

func newProber() *prober {
	return &prober{
		overdue:      newProbeSweep(overdueRateShare),
		unresponsive: newProbeSweep(unresponsiveRateShare),
		refresh:      newProbeSweep(1 - overdueRateShare - unresponsiveRateShare),
	}
}

func (p *prober) step(now time.Time, board *Board) []blackboard.Effect {
	var effects []blackboard.Effect
	effects = p.overdue.run(now, board, effects, func(h *host) bool {
		isOverdue := !h.reportDueSince.IsZero() && !h.state.unresponsive()
		return isOverdue && now.Sub(h.probedAt) >= probeInterval
	})
	effects = p.unresponsive.run(now, board, effects, func(h *host) bool {
		return (h.state.unresponsive() || !h.reported()) && h.probeDue(now)
	})
	return p.refresh.run(now, board, effects, func(h *host) bool {
		return h.probeDue(now)
	})
}

// probeDue reports whether the host was neither probed nor heard from
// recently.
func (h *host) probeDue(now time.Time) bool {
	return now.Sub(h.probedAt) >= h.minProbeInterval() && now.Sub(h.reportedAt) >= probeInterval
}

// run appends to effects a probe for each due host, starting at the cursor,
// until the rate limit is reached.
func (s *probeSweep) run(now time.Time, board *Board, effects []blackboard.Effect, due func(*host) bool) []blackboard.Effect {
	count := len(board.hostsByAddr)
	for i := range count {
		position := (s.cursor + i) % count
		h := board.hostsByAddr[position]
		if h.state == HostZoneOut || h.state == HostUnusable || !due(h) {
			continue
		}
		if !s.limiter.AllowN(now, 1) {
			s.cursor = position
			return effects
		}
		h.probedAt = now
		h.expectReport(now)
		effects = append(effects, Probe{
			Agent:    h.vm.Addr,
			Service:  h.vm.Service.Tag(),
			Revision: board.Node.Holder.Revision(),
		})
	}
	return effects
}

// minProbeInterval returns the minimum time between two probes of the host in
// its current state.
func (h *host) minProbeInterval() time.Duration {
	if h.state == HostGone {
		return goneProbeInterval
	}
	return probeInterval
}
