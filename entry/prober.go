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
	probeRate  = 50
	probeBurst = 10
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
// told from loss, then all in turn.
type prober struct {
	limiter *rate.Limiter
	urgent  int
	turn    int
}

func newProber() *prober {
	return &prober{limiter: rate.NewLimiter(probeRate, probeBurst)}
}

func (p *prober) step(now time.Time, board *Board) []blackboard.Effect {
	var effects []blackboard.Effect
	effects = p.sweep(now, board, &p.urgent, effects, func(h *host) bool {
		owes := !h.waitingSince.IsZero() && !h.state.silent()
		return owes && now.Sub(h.probedAt) >= probeInterval
	})
	return p.sweep(now, board, &p.turn, effects, func(h *host) bool {
		return now.Sub(h.probedAt) >= h.probeAge() && now.Sub(h.reportedAt) >= probeInterval
	})
}

// sweep probes the hosts that are due, from the cursor on, while the rate
// allows.
func (p *prober) sweep(now time.Time, board *Board, cursor *int, effects []blackboard.Effect, due func(*host) bool) []blackboard.Effect {
	count := len(board.order)
	for i := range count {
		at := (*cursor + i) % count
		h := board.order[at]
		if h.state == HostZoneOut || h.state == HostUnusable || !due(h) {
			continue
		}
		if !p.limiter.AllowN(now, 1) {
			*cursor = at
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
