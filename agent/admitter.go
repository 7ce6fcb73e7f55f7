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
	// limitPollInterval is the interval at which a waiting request checks the
	// limit, which can rise without another request ending.
	limitPollInterval = 50 * time.Millisecond
	// queuePerSlot and minQueueSize determine the size of the queue of waiting
	// requests: queuePerSlot for each slot, plus minQueueSize.
	queuePerSlot = 2
	minQueueSize = 8
	// forwardShare and forwardBurst bound the flows that are forwarded to their
	// second choice because requests wait for slots here: a share of the new
	// flows, and a number at once.
	forwardShare = 0.5
	forwardBurst = 20
)

// admitter applies admission control to requests and flows. It is safe for
// concurrent use by the goroutines that handle traffic. The service's limits and
// the host's state reach it through the published view.
type admitter struct {
	currentView *atomic.Pointer[View]
	// onRestart is called when the outcomes of requests show a restart of the
	// backend server. It must not block.
	onRestart func()

	mu          sync.Mutex
	limiter     *admission.Limiter
	queue       *admission.Queue[*waiter]
	budget      *admission.RetryBudget
	appliedView *View
}

// waiter is a request that waits for a slot. Its channel receives one value:
// whether the request was admitted.
type waiter struct {
	admitted chan bool
}

func newAdmitter(currentView *atomic.Pointer[View], now time.Time, onRestart func()) *admitter {
	return &admitter{
		currentView: currentView,
		onRestart:   onRestart,
		limiter:     admission.NewLimiter(admission.Config{}, now),
		queue:       admission.NewQueue[*waiter](minQueueSize),
		budget:      admission.NewRetryBudget(forwardShare, forwardBurst),
	}
}

// awaitSlot waits for a slot and reports whether the request was admitted before
// ctx was done. Each admitted request must call releaseSlot.
func (a *admitter) awaitSlot(ctx context.Context, priority admission.Priority) bool {
	w, admitted := a.enqueue(priority)
	if w == nil {
		return admitted
	}
	ticker := time.NewTicker(limitPollInterval)
	defer ticker.Stop()
	for {
		select {
		case admitted := <-w.admitted:
			return admitted
		case <-ticker.C:
			a.poll()
		case <-ctx.Done():
			return a.leaveQueue(w)
		}
	}
}

// enqueue admits the request at once, or adds it to the queue and returns its
// waiter, or refuses it when the queue is full. With a nil waiter, the bool
// reports whether the request was admitted.
func (a *admitter) enqueue(priority admission.Priority) (*waiter, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	if a.queue.Len() == 0 && a.tryAcquire() {
		return nil, true
	}
	w := &waiter{admitted: make(chan bool, 1)}
	added, displaced, found := a.queue.Push(w, priority)
	if found {
		displaced.admitted <- false
	}
	if !added {
		return nil, false
	}
	a.admitQueued()
	return w, false
}

func (a *admitter) poll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	a.admitQueued()
}

// leaveQueue removes the waiter from the queue. When it has left the queue
// already, leaveQueue reports whether it was admitted; it then keeps its slot.
func (a *admitter) leaveQueue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Remove(w) {
		return false
	}
	return <-w.admitted
}

// admitQueued admits waiting requests while slots are free.
func (a *admitter) admitQueued() {
	for a.queue.Len() > 0 && a.tryAcquire() {
		w, _ := a.queue.Pop()
		w.admitted <- true
	}
}

func (a *admitter) tryAcquire() bool {
	now := time.Now()
	if !a.limiter.Begin(now) {
		return false
	}
	invariant.Check("in_service_within_limit", a.limiter.InService() <= a.limiter.Limit(now))
	return true
}

// releaseSlot frees the slot of a request and adjusts the limit by its result.
func (a *admitter) releaseSlot(result admission.Result) {
	a.applyResult(func(now time.Time) { a.limiter.End(now, result) })
}

// observe adjusts the limit by the result of a request that held no slot.
func (a *admitter) observe(result admission.Result) {
	a.applyResult(func(now time.Time) { a.limiter.Observe(now, result) })
}

func (a *admitter) applyResult(apply func(now time.Time)) {
	a.mu.Lock()
	before := a.limiter.DetectedRestarts()
	apply(time.Now())
	a.admitQueued()
	restarted := a.limiter.DetectedRestarts() != before
	a.mu.Unlock()
	if restarted {
		a.onRestart()
	}
}

// openFlow reports whether a flow is admitted. Each admitted flow must call
// closeFlow.
func (a *admitter) openFlow() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	if !a.accepting(time.Now()) || !a.limiter.OpenFlow() {
		return false
	}
	invariant.Check("flow_only_while_accepting", a.appliedView.State.Accepting())
	invariant.Check("flows_within_connections", a.limiter.Flows() <= a.appliedView.Service.Connections)
	return true
}

func (a *admitter) closeFlow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.CloseFlow()
}

// decideFlow decides whether to accept, forward or refuse a new flow. canForward
// is set on the flow's first-choice host when there is a second choice. Such a
// host forwards the flow when it accepts no flows itself, when placement prefers
// the second choice by its load, or, within a budget, when requests wait for
// slots here.
func (a *admitter) decideFlow(canForward bool, secondLoad tunnel.Load) flowDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	if canForward {
		a.budget.Deposit()
	}
	now := time.Now()
	accepts := a.accepting(now) && a.limiter.HasFlowCapacity() && !a.limiter.Paused(now)
	switch {
	case !accepts && canForward:
		return flowForwarded
	case !accepts:
		return flowRefused
	case canForward && a.prefersSecond(now, secondLoad):
		return flowForwarded
	default:
		return flowAccepted
	}
}

// prefersSecond reports whether the second choice should serve a new flow. The
// loads are compared only when that of the second choice is known.
func (a *admitter) prefersSecond(now time.Time, secondLoad tunnel.Load) bool {
	if secondLoad != tunnel.UnknownLoad {
		own := a.loadReport(now).Load()
		if placement.PreferSecond(uint64(own), uint64(secondLoad)) {
			return true
		}
	}
	return a.queue.Len() > 0 && a.budget.TryWithdraw()
}

func (a *admitter) handleRestart(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	a.limiter.Restarted(now)
}

// report returns the load report for entries, without its sequence number.
func (a *admitter) report(incarnation uint16) tunnel.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	report := tunnel.Report{Incarnation: incarnation, State: tunnel.HostDown}
	if a.appliedView == nil {
		return report
	}
	report = a.loadReport(time.Now())
	report.Incarnation = incarnation
	report.State = a.appliedView.State
	report.Revision = a.appliedView.Revision
	return report
}

// limit returns the number of concurrent requests that are admitted.
func (a *admitter) limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	return a.limiter.Limit(time.Now())
}

// loadReport returns a report with the load fields set.
func (a *admitter) loadReport(now time.Time) tunnel.Report {
	limit := a.limiter.Limit(now)
	return tunnel.Report{
		Flows:     uint32(a.limiter.Flows()),
		InService: uint32(a.limiter.InService()),
		Limit:     uint32(limit),
		Capacity:  uint16(fullCapacity * limit / max(1, a.appliedView.Service.Slots)),
	}
}

// fullCapacity is the reported capacity of a host whose limit equals its slots.
const fullCapacity = 1000

// fillStatus sets the fields of status that come from the limiter and the queue.
func (a *admitter) fillStatus(status *Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	status.Flows = a.limiter.Flows()
	status.InService = a.limiter.InService()
	status.Queued = a.queue.Len()
	status.Limit = a.limiter.Limit(time.Now())
	status.RestartsDetected = a.limiter.DetectedRestarts()
}

func (a *admitter) accepting(now time.Time) bool {
	return a.appliedView.Valid(now) && a.appliedView.State.Accepting()
}

func (a *admitter) refreshView() {
	view := a.currentView.Load()
	if view == a.appliedView || view == nil {
		return
	}
	if a.appliedView != nil {
		invariant.Check("revision_never_falls", view.Revision >= a.appliedView.Revision)
	}
	a.appliedView = view
	a.limiter.Configure(time.Now(), admission.Config{
		Slots:     view.Service.Slots,
		MaxFlows:  view.Service.Connections,
		Warmup:    view.Service.Warmup,
		ColdShare: admission.DefaultColdShare,
	})
	a.queue.Resize(queuePerSlot*view.Service.Slots + minQueueSize)
}
