package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/admission"
	"github.com/turmericrock/turmericrock/internal/invariant"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/tunnel"
)

// newTestAdmitter returns an admitter with 2 slots and room for 10 flows, and its
// view.
func newTestAdmitter(t *testing.T, restarts *atomic.Int64) (*admitter, *atomic.Pointer[View]) {
	t.Helper()
	invariant.SetHandler(func(name string) { t.Error("violated: " + name) })
	t.Cleanup(func() { invariant.SetHandler(nil) })
	currentView := &atomic.Pointer[View]{}
	view := newTestView()
	view.Service.Slots = 2
	view.Service.Connections = 10
	currentView.Store(view)
	return newAdmitter(currentView, time.Now(), func() { restarts.Add(1) }), currentView
}

func TestAdmitterPrefersFlowsAlreadyServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newTestAdmitter(t, &atomic.Int64{})
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		order := make(chan admission.Priority, 2)
		for _, priority := range []admission.Priority{admission.NewFlow, admission.ExistingFlow} {
			go func() {
				if a.awaitSlot(t.Context(), priority) {
					order <- priority
				}
			}()
			synctest.Wait()
		}
		a.releaseSlot(admission.Result{Outcome: admission.Succeeded, AdmittedAt: time.Now()})
		must.Eq(t, admission.ExistingFlow, <-order)
		a.releaseSlot(admission.Result{Outcome: admission.Succeeded, AdmittedAt: time.Now()})
		must.Eq(t, admission.NewFlow, <-order)
	})
}

func TestAdmitterTimesOutAndBoundsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newTestAdmitter(t, &atomic.Int64{})
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.False(t, a.awaitSlot(ctx, admission.NewFlow))
		must.Eq(t, 0, a.queue.Len())
		// When the queue is full, another request is refused at once.
		queuedCtx, cancelQueued := context.WithCancel(t.Context())
		for range queuePerSlot*2 + minQueueSize {
			go a.awaitSlot(queuedCtx, admission.NewFlow)
		}
		synctest.Wait()
		began := time.Now()
		must.False(t, a.awaitSlot(t.Context(), admission.NewFlow))
		must.Eq(t, began, time.Now())
		cancelQueued()
		synctest.Wait()
		must.Eq(t, 0, a.queue.Len())
	})
}

// TestAdmitterAdmitsWhenLimitRises checks that a waiting request is admitted when
// the pause in admission after a refused connection ends, although no other
// request releases a slot.
func TestAdmitterAdmitsWhenLimitRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restarts := &atomic.Int64{}
		a, _ := newTestAdmitter(t, restarts)
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		a.releaseSlot(admission.Result{Outcome: admission.ConnectionRefused, AdmittedAt: time.Now()})
		must.Eq(t, flowForwarded, a.decideFlow(true, tunnel.UnknownLoad))
		must.Eq(t, flowRefused, a.decideFlow(false, tunnel.UnknownLoad))
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		must.Eq(t, flowAccepted, a.decideFlow(true, tunnel.UnknownLoad))
		a.releaseSlot(admission.Result{Outcome: admission.Succeeded, AdmittedAt: time.Now()})
		must.Eq(t, 1, restarts.Load())
	})
}

func TestFlowDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newTestAdmitter(t, &atomic.Int64{})
		for range 10 {
			must.Eq(t, flowAccepted, a.decideFlow(true, tunnel.UnknownLoad))
			must.True(t, a.openFlow())
		}
		must.False(t, a.openFlow())
		must.Eq(t, flowForwarded, a.decideFlow(true, tunnel.UnknownLoad))
		must.Eq(t, flowRefused, a.decideFlow(false, tunnel.UnknownLoad))
		a.closeFlow()
		must.Eq(t, flowAccepted, a.decideFlow(true, 100))
		must.Eq(t, flowForwarded, a.decideFlow(true, 1))
		must.Eq(t, flowAccepted, a.decideFlow(false, 1))
		// The budget bounds the flows forwarded because requests wait.
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		must.True(t, a.awaitSlot(t.Context(), admission.NewFlow))
		go a.awaitSlot(t.Context(), admission.NewFlow)
		synctest.Wait()
		forwarded := 0
		for range 1000 {
			if a.decideFlow(true, tunnel.UnknownLoad) == flowForwarded {
				forwarded++
			}
		}
		must.Between(t, 500, forwarded, 520)
		a.releaseSlot(admission.Result{})
		// No flow is accepted with an expired view. Sleep uses synctest's fake clock.
		time.Sleep(2 * time.Hour)
		must.False(t, a.openFlow())
		must.Eq(t, flowRefused, a.decideFlow(false, tunnel.UnknownLoad))
	})
}

func TestInvariantsAreChecked(t *testing.T) {
	a, currentView := newTestAdmitter(t, &atomic.Int64{})
	must.True(t, a.openFlow())
	var violated string
	invariant.SetHandler(func(name string) { violated = name })
	older := *currentView.Load()
	older.Revision--
	currentView.Store(&older)
	a.closeFlow()
	must.True(t, a.openFlow())
	must.Eq(t, "revision_never_falls", violated)
}

func TestStatusAndMetrics(t *testing.T) {
	a, _ := newTestAgent(t, "http://127.0.0.1:9", nil)
	must.NoError(t, a.Ready())
	must.True(t, a.admitter.openFlow())
	a.counters.add(CauseNoSlot)
	status := a.Status()
	must.Eq(t, "serving", status.State)
	must.Eq(t, 1, status.Flows)
	must.Eq(t, 4, status.Slots)
	must.Eq(t, map[string]int64{"no_slot": 1}, status.Refusals)
	samples := make(map[metrics.Sample]bool)
	a.Collect(func(s metrics.Sample) { samples[s] = true })
	must.True(t, samples[metrics.Sample{Name: "agent_flows", Value: 1, Gauge: true}])
	must.True(t, samples[metrics.Sample{Name: "agent_refused", Cause: "no_slot", Value: 1}])
	view := newTestView()
	view.State = tunnel.HostLeaving
	a.currentView.Store(view)
	must.ErrorContains(t, a.Ready(), "leaving")
	view = newTestView()
	view.ValidUntil = time.Now().Add(-time.Second)
	a.currentView.Store(view)
	must.ErrorContains(t, a.Ready(), "not confirmed")
}
