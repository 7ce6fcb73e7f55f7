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
	// owingShare and silentShare are the shares of the rate for hosts that
	// owe a report and for those that only a report brings back.
	owingShare  = 0.25
	silentShare = 0.25
	// probeInterval is the least time between two probes of a host, and the
	// age at which a report is renewed.
	probeInterval = 500 * time.Millisecond
	// probeGone is the same for a host that is gone.
	probeGone = 5 * time.Second
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
	owing  sweep
	silent sweep
	renew  sweep
}

// sweep goes round the hosts at a rate of its own, so that a lost zone does
// not keep the rest from being probed.
type sweep struct {
	limiter *rate.Limiter
	// cursor is where it goes on.
	cursor int
}

func newSweep(share float64) sweep {
	return sweep{limiter: rate.NewLimiter(rate.Limit(share*probeRate), max(1, int(share*probeBurst)))}
}

func newProber() *prober {
	return &prober{
		owing:  newSweep(owingShare),
		silent: newSweep(silentShare),
		renew:  newSweep(1 - owingShare - silentShare),
	}
}

func (p *prober) step(now time.Time, board *Board) []blackboard.Effect {
	var effects []blackboard.Effect
	effects = p.owing.run(now, board, effects, func(h *host) bool {
		owes := !h.waitingSince.IsZero() && !h.state.silent()
		return owes && now.Sub(h.probedAt) >= probeInterval
	})
	effects = p.silent.run(now, board, effects, func(h *host) bool {
		return (h.state.silent() || !h.reported()) && h.probeDue(now)
	})
	return p.renew.run(now, board, effects, func(h *host) bool {
		return h.probeDue(now)
	})
}

// probeDue reports whether neither a probe nor a report is recent.
func (h *host) probeDue(now time.Time) bool {
	return now.Sub(h.probedAt) >= h.probeAge() && now.Sub(h.reportedAt) >= probeInterval
}

// run probes the hosts that are due, from the cursor on, while the rate
// allows.
func (s *sweep) run(now time.Time, board *Board, effects []blackboard.Effect, due func(*host) bool) []blackboard.Effect {
	count := len(board.order)
	for i := range count {
		at := (s.cursor + i) % count
		h := board.order[at]
		if h.state == HostZoneOut || h.state == HostUnusable || !due(h) {
			continue
		}
		if !s.limiter.AllowN(now, 1) {
			s.cursor = at
			return effects
		}
		h.probedAt = now
		h.await(now)
		effects = append(effects, Probe{
			Agent:    h.vm.Addr,
			Service:  h.vm.Service.Tag(),
			Revision: board.Node.Holder.Revision(),
		})
	}
	return effects
}

// probeAge is the time between two probes of the host.
func (h *host) probeAge() time.Duration {
	if h.state == HostGone {
		return probeGone
	}
	return probeInterval
}
