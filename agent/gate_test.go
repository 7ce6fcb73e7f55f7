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

// newTestGate returns a gate with two slots and ten flows.
func newTestGate(t *testing.T, restarts *atomic.Int64) (*gate, *atomic.Pointer[View]) {
	t.Helper()
	invariant.SetHandler(func(name string) { t.Error("violated: " + name) })
	t.Cleanup(func() { invariant.SetHandler(nil) })
	views := &atomic.Pointer[View]{}
	view := testView()
	view.Service.Slots = 2
	view.Service.Connections = 10
	views.Store(view)
	return newGate(views, time.Now(), func() { restarts.Add(1) }), views
}

func TestGateServesBegunWorkFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGate(t, &atomic.Int64{})
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		order := make(chan admission.Priority, 2)
		for _, priority := range []admission.Priority{admission.NewFlow, admission.ExistingFlow} {
			go func() {
				if g.begin(t.Context(), priority) {
					order <- priority
				}
			}()
			synctest.Wait()
		}
		g.end(admission.Result{Outcome: admission.Succeeded, Began: time.Now()})
		must.Eq(t, admission.ExistingFlow, <-order)
		g.end(admission.Result{Outcome: admission.Succeeded, Began: time.Now()})
		must.Eq(t, admission.NewFlow, <-order)
	})
}

func TestGateGivesUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGate(t, &atomic.Int64{})
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.False(t, g.begin(ctx, admission.NewFlow))
		must.Eq(t, 0, g.queue.Len())
		// The queue is bounded: one more is refused at once.
		full, stop := context.WithCancel(t.Context())
		for range queuePerSlot*2 + queueLeast {
			go g.begin(full, admission.NewFlow)
		}
		synctest.Wait()
		began := time.Now()
		must.False(t, g.begin(t.Context(), admission.NewFlow))
		must.Eq(t, began, time.Now())
		stop()
		synctest.Wait()
		must.Eq(t, 0, g.queue.Len())
	})
}

// TestGateAdmitsWhenTheLimitRises frees no slot: the hold after a refusal
// ends by itself.
func TestGateAdmitsWhenTheLimitRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restarts := &atomic.Int64{}
		g, _ := newTestGate(t, restarts)
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		g.end(admission.Result{Outcome: admission.ConnectionRefused, Began: time.Now()})
		must.Eq(t, flowPassed, g.decideFlow(true, tunnel.UnknownLoad))
		must.Eq(t, flowRefused, g.decideFlow(false, tunnel.UnknownLoad))
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		must.Eq(t, flowTaken, g.decideFlow(true, tunnel.UnknownLoad))
		g.end(admission.Result{Outcome: admission.Succeeded, Began: time.Now()})
		must.Eq(t, 1, restarts.Load())
	})
}

func TestFlowDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGate(t, &atomic.Int64{})
		for range 10 {
			must.Eq(t, flowTaken, g.decideFlow(true, tunnel.UnknownLoad))
			must.True(t, g.openFlow())
		}
		must.False(t, g.openFlow())
		must.Eq(t, flowPassed, g.decideFlow(true, tunnel.UnknownLoad))
		must.Eq(t, flowRefused, g.decideFlow(false, tunnel.UnknownLoad))
		g.closeFlow()
		must.Eq(t, flowTaken, g.decideFlow(true, 100))
		must.Eq(t, flowPassed, g.decideFlow(true, 1))
		must.Eq(t, flowTaken, g.decideFlow(false, 1))
		// Passing on for requests that wait is bounded.
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		must.True(t, g.begin(t.Context(), admission.NewFlow))
		go g.begin(t.Context(), admission.NewFlow)
		synctest.Wait()
		passed := 0
		for range 1000 {
			if g.decideFlow(true, tunnel.UnknownLoad) == flowPassed {
				passed++
			}
		}
		must.Between(t, 500, passed, 520)
		g.end(admission.Result{})
		// An expired view takes nothing. The sleep is on synctest's clock.
		time.Sleep(2 * time.Hour)
		must.False(t, g.openFlow())
		must.Eq(t, flowRefused, g.decideFlow(false, tunnel.UnknownLoad))
	})
}

func TestInvariantsAreChecked(t *testing.T) {
	g, views := newTestGate(t, &atomic.Int64{})
	must.True(t, g.openFlow())
	var violated string
	invariant.SetHandler(func(name string) { violated = name })
	older := *views.Load()
	older.Revision--
	views.Store(&older)
	g.closeFlow()
	must.True(t, g.openFlow())
	must.Eq(t, "revision_never_falls", violated)
}

func TestStatusAndMetrics(t *testing.T) {
	a, _ := testAgent(t, "http://127.0.0.1:9", nil)
	must.NoError(t, a.Ready())
	must.True(t, a.gate.openFlow())
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
	view := testView()
	view.State = tunnel.HostLeaving
	a.views.Store(view)
	must.ErrorContains(t, a.Ready(), "leaving")
	view = testView()
	view.ValidUntil = time.Now().Add(-time.Second)
	a.views.Store(view)
	must.ErrorContains(t, a.Ready(), "not confirmed")
}
