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

// lifecycleBench drives the controller as the engine does.
type lifecycleBench struct {
	now        time.Time
	board      *Board
	controller *Lifecycle
	zoneOut    bool
	withdrawn  bool
	revision   uint64
	view       *View
	effects    []blackboard.Effect
}

func newLifecycleBench(t must.T) *lifecycleBench {
	t.Helper()
	config := DefaultConfig()
	config.Self = fleet.VM{ID: "host-1", Zone: "zone-1", Role: fleet.RoleAgent, Service: testID, Addr: netip.MustParseAddrPort("127.0.0.1:7000")}
	ring, err := keyring.NewRing(*testView().Keys)
	must.NoError(t, err)
	b := &lifecycleBench{now: time.Unix(1000, 0), board: NewBoard(config, ring), controller: &Lifecycle{}}
	b.publish(t)
	return b
}

// publish puts the next revision in force.
func (b *lifecycleBench) publish(t must.T) {
	t.Helper()
	b.revision++
	service := fleet.Service{
		ID: testID, Addr: netip.MustParseAddrPort("127.0.0.2:443"), Slots: 5, Connections: 10,
		Zones: []string{"zone-1"}, Drain: time.Minute, Warmup: 10 * time.Second,
	}
	if b.withdrawn {
		service.ID.Name = "orders"
	}
	part, err := fleet.Encode(fleet.Part{Services: []fleet.Service{service}})
	must.NoError(t, err)
	digest := fleet.Digest(part)
	config, err := fleet.Assemble(fleet.Manifest{
		Revision: b.revision,
		Zones:    []fleet.Zone{{Name: "zone-1", Region: "wales", Number: 1, Out: b.zoneOut}},
		Parts:    []fleet.PartRef{{Name: "all", Digest: digest, Size: len(part)}},
	}, map[string][]byte{digest: part}, false)
	must.NoError(t, err)
	b.board.Node.Holder.Offer(config, b.now)
}

// step runs the controller once and keeps its effects.
func (b *lifecycleBench) step(events ...blackboard.Event[*Board]) {
	b.board.Node.Holder.Confirm(b.revision, b.now)
	for _, event := range events {
		event.Apply(b.now, b.board)
	}
	b.effects = b.controller.Step(b.now, b.board)
	for _, effect := range b.effects {
		if changed, ok := effect.(ViewChanged); ok {
			b.view = changed.View
		}
	}
}

// effect reports whether the last step had an effect of the type.
func effect[E any](b *lifecycleBench) bool {
	for _, effect := range b.effects {
		if _, ok := effect.(E); ok {
			return true
		}
	}
	return false
}

func (b *lifecycleBench) wait(d time.Duration) {
	b.now = b.now.Add(d)
}

func TestLifecycleOfAHost(t *testing.T) {
	b := newLifecycleBench(t)
	good := HealthSeen{Health: HealthGood}
	b.step()
	must.Eq(t, tunnel.HostDown, b.view.State)
	b.step(good)
	must.Eq(t, tunnel.HostCold, b.view.State)
	must.True(t, effect[BackendRestarted](b))
	b.wait(10 * time.Second)
	b.step()
	must.Eq(t, tunnel.HostServing, b.view.State)
	must.True(t, effect[StateChanged](b))
	// One failing look is forgiven.
	b.step(HealthSeen{Health: HealthFailing})
	must.Eq(t, tunnel.HostServing, b.view.State)
	b.step(HealthSeen{Health: HealthFailing})
	must.Eq(t, tunnel.HostDown, b.view.State)
	b.step(good)
	must.True(t, effect[BackendRestarted](b))
	// A restart seen from the traffic starts the warm-up again.
	b.wait(9 * time.Second)
	b.step(RestartSeen{})
	b.wait(9 * time.Second)
	b.step()
	must.Eq(t, tunnel.HostCold, b.view.State)
	must.False(t, effect[BackendRestarted](b))
	b.wait(time.Second)
	b.step()
	must.Eq(t, tunnel.HostServing, b.view.State)
	b.step(RestartSeen{})
	must.Eq(t, tunnel.HostCold, b.view.State)
}

func TestDrainThatEndsIsFollowedByAColdStart(t *testing.T) {
	b := newLifecycleBench(t)
	b.step(HealthSeen{Health: HealthGood})
	b.step(HealthSeen{Health: HealthDraining})
	must.Eq(t, tunnel.HostLeaving, b.view.State)
	must.False(t, effect[DrainStarted](b))
	b.wait(b.board.Config.LeaveGrace)
	b.step()
	must.True(t, effect[DrainStarted](b))
	b.step(HealthSeen{Health: HealthGood})
	must.Eq(t, tunnel.HostCold, b.view.State)
	must.True(t, effect[BackendRestarted](b))
	must.True(t, effect[FlowsResumed](b))
	// The end of the first drain does not end the second one.
	b.step(StopRequested{})
	b.wait(b.board.Config.LeaveGrace)
	b.step(DrainDone{Drain: 1})
	must.True(t, effect[DrainStarted](b))
	b.step()
	must.False(t, effect[ProcessEnded](b))
	b.step(DrainDone{Drain: 2})
	must.True(t, effect[ProcessEnded](b))
}

func TestWithdrawnServiceIsLeft(t *testing.T) {
	b := newLifecycleBench(t)
	b.step(HealthSeen{Health: HealthGood})
	b.withdrawn = true
	b.publish(t)
	b.step()
	must.Eq(t, tunnel.HostLeaving, b.view.State)
	must.Eq(t, testID, b.view.Service.ID)
	b.step(StopRequested{})
	b.wait(b.board.Config.LeaveGrace)
	b.step()
	must.True(t, effect[DrainStarted](b))
	b.step(DrainDone{Drain: 1})
	must.True(t, effect[ProcessEnded](b))
}

// TestLifecycleInvariants drives the controller at random and checks at each
// step what must always hold.
func TestLifecycleInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newLifecycleBench(t)
		var revision uint64
		healthy := func(h Health) func(*rapid.T) {
			return func(*rapid.T) { b.step(HealthSeen{Health: h}) }
		}
		stopped := false
		coldSince := b.now
		before := tunnel.HostDown
		t.Repeat(map[string]func(*rapid.T){
			"good":     healthy(HealthGood),
			"draining": healthy(HealthDraining),
			"failing":  healthy(HealthFailing),
			"restart":  func(*rapid.T) { b.step(RestartSeen{}) },
			"drained":  func(*rapid.T) { b.step(DrainDone{Drain: b.controller.drain}) },
			"stop": func(*rapid.T) {
				stopped = true
				b.step(StopRequested{})
			},
			"zone": func(t *rapid.T) {
				b.zoneOut = !b.zoneOut
				b.publish(t)
				b.step()
			},
			"wait": func(t *rapid.T) {
				b.wait(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
				b.step()
			},
			"": func(t *rapid.T) {
				if b.view == nil {
					return
				}
				state := b.view.State
				must.GreaterEq(t, revision, b.view.Revision)
				revision = b.view.Revision
				must.Eq(t, b.zoneOut, state == tunnel.HostZoneOut)
				if stopped || b.board.Health == HealthDraining {
					must.False(t, state.Accepting())
				}
				if state == tunnel.HostCold && before != tunnel.HostCold {
					coldSince = b.now
				}
				if state == tunnel.HostServing {
					must.GreaterEq(t, 10*time.Second, b.now.Sub(coldSince))
					must.True(t, before == tunnel.HostCold || before == tunnel.HostServing)
				}
				if state == tunnel.HostZoneOut && before != tunnel.HostZoneOut {
					must.True(t, effect[FlowsClosed](b))
				}
				if effect[ProcessEnded](b) {
					must.True(t, stopped)
				}
				before = state
			},
		})
	})
}

// TestPausedProcessDoesNotActOnItsOldView lets the view expire while control
// does not run.
func TestPausedProcessDoesNotActOnItsOldView(t *testing.T) {
	b := newLifecycleBench(t)
	b.step(HealthSeen{Health: HealthGood})
	must.True(t, b.view.Valid(b.now))
	b.wait(viewLifetime)
	must.False(t, b.view.Valid(b.now))
}
