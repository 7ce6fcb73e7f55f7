package entry

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericrock/turmericrock/blackboard"
)

const (
	// probeRate bounds the probes of one entry, per second, whatever the
	// number of hosts.
	probeRate  = 20
	probeBurst = 10
	// overdueRateShare and silentShare are the shares of the rate for hosts that
	// owe a report and for those that only a report brings back.
	overdueRateShare      = 0.25
	unresponsiveRateShare = 0.25
	// probeInterval is the least time between two probes of a host, and the
	// age at which a report is renewed.
	probeInterval = 500 * time.Millisecond
	// goneProbeInterval is the same for a host that is gone.
	goneProbeInterval = 5 * time.Second
)

// Probe is the effect that asks an agent for a load report.
type Probe struct {
	Agent    netip.AddrPort
	Service  uint32
	Revision uint64
}

// prober asks hosts for reports: those that owe one first, so that silence is
// told from loss; then those that only a report brings back; then the others
// in turn, whose loads it renews.
type prober struct {
	overdue      probeSweep
	unresponsive probeSweep
	refresh      probeSweep
}

// probeSweep goes round the hosts at a rate of its own, so that a lost zone does
// not keep the rest from being probed.
type probeSweep struct {
	limiter *rate.Limiter
	// cursor is where it goes on.
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

// probeDue reports whether neither a probe nor a report is recent.
func (h *host) probeDue(now time.Time) bool {
	return now.Sub(h.probedAt) >= h.minProbeInterval() && now.Sub(h.reportedAt) >= probeInterval
}

// run probes the hosts that are due, from the cursor on, while the rate
// allows.
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

// minProbeInterval is the time between two probes of the host.
func (h *host) minProbeInterval() time.Duration {
	if h.state == HostGone {
		return goneProbeInterval
	}
	return probeInterval
}
