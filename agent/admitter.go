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
	limitPollInterval = 50 * time.Millisecond
	// queuePerSlot and queueLeast size the queue of waiting requests.
	queuePerSlot = 2
	minQueueSize = 8
	// passShare and passBurst bound the flows passed on for load.
	forwardShare = 0.5
	forwardBurst = 20
)

// gate guards the limiter and the queue that traffic goroutines share.
// Control reaches it only through the published view.
type admitter struct {
	currentView *atomic.Pointer[View]
	// onRestart is told of a restart seen from the traffic. It must not
	// block.
	onRestart func()

	mu          sync.Mutex
	limiter     *admission.Limiter
	queue       *admission.Queue[*waiter]
	budget      *admission.Budget
	appliedView *View
}

// waiter is a request that waits for a slot. Its channel takes one word.
type waiter struct {
	admitted chan bool
}

func newAdmitter(currentView *atomic.Pointer[View], now time.Time, onRestart func()) *admitter {
	return &admitter{
		currentView: currentView,
		onRestart:   onRestart,
		limiter:     admission.NewLimiter(admission.Config{}, now),
		queue:       admission.NewQueue[*waiter](minQueueSize),
		budget:      admission.NewBudget(forwardShare, forwardBurst),
	}
}

// begin waits for a slot and reports whether it got one before ctx ended.
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

// enqueue admits the request at once or returns its place in the queue.
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

// giveUp takes the waiter out of the queue. One that was admitted meanwhile
// keeps its slot.
func (a *admitter) leaveQueue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Remove(w) {
		return false
	}
	return <-w.admitted
}

// dispatch admits waiting requests while there are slots.
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

// end frees the slot of a request and learns from its result.
func (a *admitter) releaseSlot(result admission.Result) {
	a.applyResult(func(now time.Time) { a.limiter.End(now, result) })
}

// observe learns from a request that held no slot.
func (a *admitter) observe(result admission.Result) {
	a.applyResult(func(now time.Time) { a.limiter.Observe(now, result) })
}

func (a *admitter) applyResult(apply func(now time.Time)) {
	a.mu.Lock()
	before := a.limiter.Restarts()
	apply(time.Now())
	a.admitQueued()
	restarted := a.limiter.Restarts() != before
	a.mu.Unlock()
	if restarted {
		a.onRestart()
	}
}

// openFlow admits a flow and reports whether it did.
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

// decideFlow decides on a new flow. Only a first choice that knows a second
// one passes it on: always when it takes no flows, when the second has the
// lesser load, and within the budget when requests wait for slots here.
func (a *admitter) decideFlow(canForward bool, secondLoad tunnel.Load) flowDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	if canForward {
		a.budget.Earn()
	}
	now := time.Now()
	accepts := a.accepting(now) && a.limiter.RoomForFlow() && !a.limiter.Held(now)
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

// spares reports whether a flow is better off at the second choice.
func (a *admitter) prefersSecond(now time.Time, secondLoad tunnel.Load) bool {
	if secondLoad != tunnel.UnknownLoad {
		own := a.loadReport(now).Load()
		if placement.PreferSecond(uint64(own), uint64(secondLoad)) {
			return true
		}
	}
	return a.queue.Len() > 0 && a.budget.Spend()
}

func (a *admitter) handleRestart(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	a.limiter.Restarted(now)
}

// report returns the load as entries are told it.
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

// limit returns the number of requests admitted at a time.
func (a *admitter) limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	return a.limiter.Limit(time.Now())
}

// load returns the report's figures of the load.
func (a *admitter) loadReport(now time.Time) tunnel.Report {
	limit := a.limiter.Limit(now)
	return tunnel.Report{
		Flows:     uint32(a.limiter.Flows()),
		InService: uint32(a.limiter.InService()),
		Limit:     uint32(limit),
		Capacity:  uint16(fullCapacity * limit / max(1, a.appliedView.Service.Slots)),
	}
}

// capacityUnit is the capacity of a host that admits all of its slots.
const fullCapacity = 1000

// fill sets the figures that the limiter holds.
func (a *admitter) fillStatus(status *Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshView()
	status.Flows = a.limiter.Flows()
	status.InService = a.limiter.InService()
	status.Queued = a.queue.Len()
	status.Limit = a.limiter.Limit(time.Now())
	status.RestartsDetected = a.limiter.Restarts()
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
		Slots:       view.Service.Slots,
		Connections: view.Service.Connections,
		Warmup:      view.Service.Warmup,
		ColdShare:   admission.DefaultColdShare,
	})
	a.queue.Resize(queuePerSlot*view.Service.Slots + minQueueSize)
}
