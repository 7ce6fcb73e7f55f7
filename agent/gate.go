package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/tunnel"
)

// gate guards the limiter that traffic goroutines share. Control reaches it
// only through the published view.
type gate struct {
	views *atomic.Pointer[View]

	mu      sync.Mutex
	limiter *admission.Limiter
	view    *View
	freed   chan struct{}
}

func newGate(views *atomic.Pointer[View], now time.Time) *gate {
	return &gate{
		views:   views,
		limiter: admission.NewLimiter(admission.Config{}, now),
		freed:   make(chan struct{}),
	}
}

// begin waits for a slot and reports whether it got one before ctx ended.
func (g *gate) begin(ctx context.Context) bool {
	for {
		admitted, freed := g.tryBegin()
		if admitted {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-freed:
		case <-time.After(rampPoll):
			// The limit may have risen without a request ending.
		}
	}
}

const rampPoll = 50 * time.Millisecond

func (g *gate) tryBegin() (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.limiter.Begin(time.Now()), g.freed
}

func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.End()
	close(g.freed)
	g.freed = make(chan struct{})
}

// openFlow admits a flow and reports whether it did.
func (g *gate) openFlow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.accepting() && g.limiter.OpenFlow()
}

func (g *gate) closeFlow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.CloseFlow()
}

// roomForFlow reports whether a new flow would be admitted.
func (g *gate) roomForFlow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.accepting() && g.limiter.Flows() < g.view.Service.Connections
}

func (g *gate) restarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Restarted(now)
}

// report returns the load as entries are told it.
func (g *gate) report(incarnation uint16) tunnel.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	report := tunnel.Report{Incarnation: incarnation, State: tunnel.HostDown}
	if g.view == nil {
		return report
	}
	limit := g.limiter.Limit(time.Now())
	report.State = g.view.State
	report.Revision = g.view.Revision
	report.Flows = uint32(g.limiter.Flows())
	report.InService = uint32(g.limiter.InService())
	report.Limit = uint32(limit)
	report.Capacity = uint16(1000 * limit / max(1, g.view.Service.Slots))
	return report
}

func (g *gate) accepting() bool {
	return g.view != nil && g.view.State.Accepting()
}

func (g *gate) refresh() {
	view := g.views.Load()
	if view == g.view || view == nil {
		return
	}
	g.view = view
	g.limiter.Configure(admission.Config{
		Slots:       view.Service.Slots,
		Connections: view.Service.Connections,
		Warmup:      view.Service.Warmup,
		ColdShare:   admission.DefaultColdShare,
	})
}

// fill sets the figures that the limiter holds.
func (g *gate) fill(status *Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	status.Flows = g.limiter.Flows()
	status.InService = g.limiter.InService()
	status.Limit = g.limiter.Limit(time.Now())
}
