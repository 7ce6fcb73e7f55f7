package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/internal/invariant"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// rampPoll is the time between two looks of a waiting request at a limit
	// that may have risen without another request ending.
	rampPoll = 50 * time.Millisecond
	// queuePerSlot and queueLeast size the queue of waiting requests.
	queuePerSlot = 2
	queueLeast   = 8
	// passShare and passBurst bound the flows passed on for load.
	passShare = 0.5
	passBurst = 20
)

// gate guards the limiter and the queue that traffic goroutines share.
// Control reaches it only through the published view.
type gate struct {
	views *atomic.Pointer[View]
	// onRestart is told of a restart seen from the traffic. It must not
	// block.
	onRestart func()

	mu      sync.Mutex
	limiter *admission.Limiter
	queue   *admission.Queue[*waiter]
	budget  *admission.RetryBudget
	view    *View
}

// waiter is a request that waits for a slot. Its channel takes one word.
type waiter struct {
	admitted chan bool
}

func newGate(views *atomic.Pointer[View], now time.Time, onRestart func()) *gate {
	return &gate{
		views:     views,
		onRestart: onRestart,
		limiter:   admission.NewLimiter(admission.Config{}, now),
		queue:     admission.NewQueue[*waiter](queueLeast),
		budget:    admission.NewRetryBudget(passShare, passBurst),
	}
}

// begin waits for a slot and reports whether it got one before ctx ended.
func (g *gate) begin(ctx context.Context, priority admission.Priority) bool {
	w, admitted := g.enqueue(priority)
	if w == nil {
		return admitted
	}
	ticker := time.NewTicker(rampPoll)
	defer ticker.Stop()
	for {
		select {
		case admitted := <-w.admitted:
			return admitted
		case <-ticker.C:
			g.poll()
		case <-ctx.Done():
			return g.giveUp(w)
		}
	}
}

// enqueue admits the request at once or returns its place in the queue.
func (g *gate) enqueue(priority admission.Priority) (*waiter, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if g.queue.Len() == 0 && g.tryBegin() {
		return nil, true
	}
	w := &waiter{admitted: make(chan bool, 1)}
	added, displaced, found := g.queue.Push(w, priority)
	if found {
		displaced.admitted <- false
	}
	if !added {
		return nil, false
	}
	g.dispatch()
	return w, false
}

func (g *gate) poll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	g.dispatch()
}

// giveUp takes the waiter out of the queue. One that was admitted meanwhile
// keeps its slot.
func (g *gate) giveUp(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(w) {
		return false
	}
	return <-w.admitted
}

// dispatch admits waiting requests while there are slots.
func (g *gate) dispatch() {
	for g.queue.Len() > 0 && g.tryBegin() {
		w, _ := g.queue.Pop()
		w.admitted <- true
	}
}

func (g *gate) tryBegin() bool {
	now := time.Now()
	if !g.limiter.Begin(now) {
		return false
	}
	invariant.Check("in_service_within_limit", g.limiter.InService() <= g.limiter.Limit(now))
	return true
}

// end frees the slot of a request and learns from its result.
func (g *gate) end(result admission.Result) {
	g.learn(func(now time.Time) { g.limiter.End(now, result) })
}

// observe learns from a request that held no slot.
func (g *gate) observe(result admission.Result) {
	g.learn(func(now time.Time) { g.limiter.Observe(now, result) })
}

func (g *gate) learn(apply func(now time.Time)) {
	g.mu.Lock()
	before := g.limiter.DetectedRestarts()
	apply(time.Now())
	g.dispatch()
	restarted := g.limiter.DetectedRestarts() != before
	g.mu.Unlock()
	if restarted {
		g.onRestart()
	}
}

// openFlow admits a flow and reports whether it did.
func (g *gate) openFlow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if !g.accepting(time.Now()) || !g.limiter.OpenFlow() {
		return false
	}
	invariant.Check("flow_only_while_accepting", g.view.State.Accepting())
	invariant.Check("flows_within_connections", g.limiter.Flows() <= g.view.Service.Connections)
	return true
}

func (g *gate) closeFlow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.CloseFlow()
}

// decideFlow decides on a new flow. Only a first choice that knows a second
// one passes it on: always when it takes no flows, when the second has the
// lesser load, and within the budget when requests wait for slots here.
func (g *gate) decideFlow(maySpare bool, second tunnel.Load) flowDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if maySpare {
		g.budget.Deposit()
	}
	now := time.Now()
	takes := g.accepting(now) && g.limiter.HasFlowCapacity() && !g.limiter.Paused(now)
	switch {
	case !takes && maySpare:
		return flowPassed
	case !takes:
		return flowRefused
	case maySpare && g.spares(now, second):
		return flowPassed
	default:
		return flowTaken
	}
}

// spares reports whether a flow is better off at the second choice.
func (g *gate) spares(now time.Time, second tunnel.Load) bool {
	if second != tunnel.UnknownLoad {
		own := g.load(now).Load()
		if placement.PreferSecond(uint64(own), uint64(second)) {
			return true
		}
	}
	return g.queue.Len() > 0 && g.budget.TryWithdraw()
}

func (g *gate) restarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
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
	report = g.load(time.Now())
	report.Incarnation = incarnation
	report.State = g.view.State
	report.Revision = g.view.Revision
	return report
}

// limit returns the number of requests admitted at a time.
func (g *gate) limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g.limiter.Limit(time.Now())
}

// load returns the report's figures of the load.
func (g *gate) load(now time.Time) tunnel.Report {
	limit := g.limiter.Limit(now)
	return tunnel.Report{
		Flows:     uint32(g.limiter.Flows()),
		InService: uint32(g.limiter.InService()),
		Limit:     uint32(limit),
		Capacity:  uint16(capacityUnit * limit / max(1, g.view.Service.Slots)),
	}
}

// capacityUnit is the capacity of a host that admits all of its slots.
const capacityUnit = 1000

// fill sets the figures that the limiter holds.
func (g *gate) fill(status *Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	status.Flows = g.limiter.Flows()
	status.InService = g.limiter.InService()
	status.Queued = g.queue.Len()
	status.Limit = g.limiter.Limit(time.Now())
	status.RestartsSeen = g.limiter.DetectedRestarts()
}

func (g *gate) accepting(now time.Time) bool {
	return g.view.Valid(now) && g.view.State.Accepting()
}

func (g *gate) refresh() {
	view := g.views.Load()
	if view == g.view || view == nil {
		return
	}
	if g.view != nil {
		invariant.Check("revision_never_falls", view.Revision >= g.view.Revision)
	}
	g.view = view
	g.limiter.Configure(time.Now(), admission.Config{
		Slots:       view.Service.Slots,
		Connections: view.Service.Connections,
		Warmup:      view.Service.Warmup,
		ColdShare:   admission.DefaultColdShare,
	})
	g.queue.Resize(queuePerSlot*view.Service.Slots + queueLeast)
}
