package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// lifecycleHarness runs the Lifecycle controller as the engine does.
type lifecycleHarness struct {
	now        time.Time
	board      *Board
	controller *Lifecycle
	zoneOut    bool
	withdrawn  bool
	revision   uint64
	view       *View
	effects    []blackboard.Effect
}

func newLifecycleHarness(t must.T) *lifecycleHarness {
	t.Helper()
	config := DefaultConfig()
	config.Self = fleet.VM{ID: "host-1", Zone: "zone-1", Role: fleet.RoleAgent, Service: testID, Addr: netip.MustParseAddrPort("127.0.0.1:7000")}
	ring, err := keyring.NewRing(*newTestView().Keys)
	must.NoError(t, err)
	h := &lifecycleHarness{now: time.Unix(1000, 0), board: NewBoard(config, ring), controller: &Lifecycle{}}
	h.publish(t)
	return h
}

// publish puts a configuration with the next revision in force.
func (h *lifecycleHarness) publish(t must.T) {
	t.Helper()
	h.revision++
	service := fleet.Service{
		ID: testID, Addr: netip.MustParseAddrPort("127.0.0.2:443"), Slots: 5, Connections: 10,
		Zones: []string{"zone-1"}, Drain: time.Minute, Warmup: 10 * time.Second,
	}
	if h.withdrawn {
		service.ID.Name = "orders"
	}
	part, err := fleet.Encode(fleet.Part{Services: []fleet.Service{service}})
	must.NoError(t, err)
	digest := fleet.Digest(part)
	config, err := fleet.Assemble(fleet.Manifest{
		Revision: h.revision,
		Zones:    []fleet.Zone{{Name: "zone-1", Region: "wales", Number: 1, Out: h.zoneOut}},
		Parts:    []fleet.PartRef{{Name: "all", Digest: digest, Size: len(part)}},
	}, map[string][]byte{digest: part}, false)
	must.NoError(t, err)
	h.board.Node.Holder.Offer(config, h.now)
}

// step applies the events, runs the controller once and records its effects.
func (h *lifecycleHarness) step(events ...blackboard.Event[*Board]) {
	h.board.Node.Holder.Confirm(h.revision, h.now)
	for _, event := range events {
		event.Apply(h.now, h.board)
	}
	h.effects = h.controller.Step(h.now, h.board)
	for _, effect := range h.effects {
		if changed, ok := effect.(ViewChanged); ok {
			h.view = changed.View
		}
	}
}

// hasEffect reports whether the last step returned an effect of type E.
func hasEffect[E any](h *lifecycleHarness) bool {
	for _, effect := range h.effects {
		if _, ok := effect.(E); ok {
			return true
		}
	}
	return false
}

func (h *lifecycleHarness) advance(d time.Duration) {
	h.now = h.now.Add(d)
}

func TestHostLifecycle(t *testing.T) {
	h := newLifecycleHarness(t)
	healthy := HealthChecked{Health: HealthOK}
	h.step()
	must.Eq(t, tunnel.HostDown, h.view.State)
	h.step(healthy)
	must.Eq(t, tunnel.HostCold, h.view.State)
	must.True(t, hasEffect[BackendRestarted](h))
	h.advance(10 * time.Second)
	h.step()
	must.Eq(t, tunnel.HostServing, h.view.State)
	must.True(t, hasEffect[StateChanged](h))
	// A single failed health check does not take the host down.
	h.step(HealthChecked{Health: HealthFailing})
	must.Eq(t, tunnel.HostServing, h.view.State)
	h.step(HealthChecked{Health: HealthFailing})
	must.Eq(t, tunnel.HostDown, h.view.State)
	h.step(healthy)
	must.True(t, hasEffect[BackendRestarted](h))
	// A restart detected from the traffic starts the warm-up again.
	h.advance(9 * time.Second)
	h.step(RestartDetected{})
	h.advance(9 * time.Second)
	h.step()
	must.Eq(t, tunnel.HostCold, h.view.State)
	must.False(t, hasEffect[BackendRestarted](h))
	h.advance(time.Second)
	h.step()
	must.Eq(t, tunnel.HostServing, h.view.State)
	h.step(RestartDetected{})
	must.Eq(t, tunnel.HostCold, h.view.State)
}

func TestColdStartAfterDrain(t *testing.T) {
	h := newLifecycleHarness(t)
	h.step(HealthChecked{Health: HealthOK})
	h.step(HealthChecked{Health: HealthDraining})
	must.Eq(t, tunnel.HostLeaving, h.view.State)
	must.False(t, hasEffect[DrainStarted](h))
	h.advance(h.board.Config.LeaveGrace)
	h.step()
	must.True(t, hasEffect[DrainStarted](h))
	h.step(HealthChecked{Health: HealthOK})
	must.Eq(t, tunnel.HostCold, h.view.State)
	must.True(t, hasEffect[BackendRestarted](h))
	must.True(t, hasEffect[NewFlowsAllowed](h))
	// The completion of the first drain does not complete the second one.
	h.step(StopRequested{})
	h.advance(h.board.Config.LeaveGrace)
	h.step(DrainCompleted{Drain: 1})
	must.True(t, hasEffect[DrainStarted](h))
	h.step()
	must.False(t, hasEffect[ProcessEnded](h))
	h.step(DrainCompleted{Drain: 2})
	must.True(t, hasEffect[ProcessEnded](h))
}

func TestWithdrawnServiceIsDrained(t *testing.T) {
	h := newLifecycleHarness(t)
	h.step(HealthChecked{Health: HealthOK})
	h.withdrawn = true
	h.publish(t)
	h.step()
	must.Eq(t, tunnel.HostLeaving, h.view.State)
	must.Eq(t, testID, h.view.Service.ID)
	h.step(StopRequested{})
	h.advance(h.board.Config.LeaveGrace)
	h.step()
	must.True(t, hasEffect[DrainStarted](h))
	h.step(DrainCompleted{Drain: 1})
	must.True(t, hasEffect[ProcessEnded](h))
}

// TestLifecycleInvariants applies random events to the controller and checks its
// invariants after each step.
func TestLifecycleInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newLifecycleHarness(t)
		var revision uint64
		healthy := func(health Health) func(*rapid.T) {
			return func(*rapid.T) { harness.step(HealthChecked{Health: health}) }
		}
		stopped := false
		coldSince := harness.now
		previous := tunnel.HostDown
		t.Repeat(map[string]func(*rapid.T){
			"good":     healthy(HealthOK),
			"draining": healthy(HealthDraining),
			"failing":  healthy(HealthFailing),
			"restart":  func(*rapid.T) { harness.step(RestartDetected{}) },
			"drained":  func(*rapid.T) { harness.step(DrainCompleted{Drain: harness.controller.drainNumber}) },
			"stop": func(*rapid.T) {
				stopped = true
				harness.step(StopRequested{})
			},
			"zone": func(t *rapid.T) {
				harness.zoneOut = !harness.zoneOut
				harness.publish(t)
				harness.step()
			},
			"wait": func(t *rapid.T) {
				harness.advance(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
				harness.step()
			},
			"": func(t *rapid.T) {
				if harness.view == nil {
					return
				}
				state := harness.view.State
				must.GreaterEq(t, revision, harness.view.Revision)
				revision = harness.view.Revision
				must.Eq(t, harness.zoneOut, state == tunnel.HostZoneOut)
				if stopped || harness.board.Health == HealthDraining {
					must.False(t, state.Accepting())
				}
				if state == tunnel.HostCold && previous != tunnel.HostCold {
					coldSince = harness.now
				}
				if state == tunnel.HostServing {
					must.GreaterEq(t, 10*time.Second, harness.now.Sub(coldSince))
					must.True(t, previous == tunnel.HostCold || previous == tunnel.HostServing)
				}
				if state == tunnel.HostZoneOut && previous != tunnel.HostZoneOut {
					must.True(t, hasEffect[FlowsClosed](harness))
				}
				if hasEffect[ProcessEnded](harness) {
					must.True(t, stopped)
				}
				previous = state
			},
		})
	})
}

// TestPausedProcessDoesNotActOnExpiredView checks that the view expires when the
// controller does not run.
func TestPausedProcessDoesNotActOnExpiredView(t *testing.T) {
	h := newLifecycleHarness(t)
	h.step(HealthChecked{Health: HealthOK})
	must.True(t, h.view.Valid(h.now))
	h.advance(viewLifetime)
	must.False(t, h.view.Valid(h.now))
}
