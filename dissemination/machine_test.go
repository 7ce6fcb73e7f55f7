package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/controlnet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// failureModel subjects a small fleet to random failures and checks invariants
// after every action.
type failureModel struct {
	*fixture
	// highestRevision is the highest revision seen on each node since its last
	// start.
	highestRevision  map[*controlnet.Node]uint64
	groups           int
	platformSnapshot controlnet.Snapshot
	startedAt        time.Time
}

func newFailureModel(t *testing.T, rt *rapid.T) *failureModel {
	size := fleetgen.Size{Regions: 2, Zones: 3, Entries: 6, Hosts: 18, Services: 6, Parts: 2}
	f := newFixture(t, rapid.Uint64().Draw(rt, "seed"), size, intraRegionDelay, 100*time.Millisecond)
	f.Fleet.Start(time.Second)
	f.Advance(15 * time.Second)
	f.requireRevision(1)
	return &failureModel{fixture: f, highestRevision: make(map[*controlnet.Node]uint64), platformSnapshot: f.Platform.Snapshot(), startedAt: f.Now()}
}

func (m *failureModel) anyNode(rt *rapid.T) *controlnet.Node {
	return rapid.SampledFrom(m.Nodes()).Draw(rt, "node")
}

func (m *failureModel) split(groups int) {
	m.groups = groups
	m.Partitioned = func(from, to *controlnet.Node) bool { return m.group(from) != m.group(to) }
}

// group returns the partition of a node. Runs of three consecutive nodes are
// assigned to the partitions in turn.
func (m *failureModel) group(n *controlnet.Node) int {
	for i, other := range m.Nodes() {
		if other == n {
			return (i / 3) % max(1, m.groups)
		}
	}
	return 0
}

func (m *failureModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"zone": func(rt *rapid.T) {
			zone := rapid.IntRange(0, 2).Draw(rt, "zone")
			out := rapid.Bool().Draw(rt, "out")
			must.NoError(rt, m.SetZoneOut(zone, out))
		},
		"service": func(*rapid.T) { must.NoError(m.t, m.ChangeService(1)) },
		"split":   func(rt *rapid.T) { m.split(rapid.IntRange(1, 3).Draw(rt, "groups")) },
		"platform down": func(rt *rapid.T) {
			m.Platform.SetDown(rapid.Bool().Draw(rt, "down"))
		},
		"platform stale": func(rt *rapid.T) {
			if rapid.Bool().Draw(rt, "stale") {
				m.Platform.ServeSnapshot(m.platformSnapshot)
			} else {
				m.platformSnapshot = m.Platform.Snapshot()
				m.Platform.ServeSnapshot(nil)
			}
		},
		"platform cut": func(rt *rapid.T) { m.anyNode(rt).SetPlatformUnreachable(rapid.Bool().Draw(rt, "cut")) },
		"pause":        func(rt *rapid.T) { m.anyNode(rt).Pause() },
		"resume":       func(rt *rapid.T) { m.anyNode(rt).Resume() },
		"restart": func(rt *rapid.T) {
			n := m.anyNode(rt)
			m.restart(n, rapid.Bool().Draw(rt, "later"))
		},
		"restart half": func(*rapid.T) {
			for i, n := range m.Nodes() {
				if i%2 == 0 {
					m.restart(n, false)
				}
			}
		},
		"empty list": func(rt *rapid.T) {
			zone := rapid.SampledFrom(m.Zones()).Draw(rt, "zone")
			must.NoError(rt, m.PublishList(fleet.VMList{Zone: zone.Name}))
		},
		"advance": func(rt *rapid.T) {
			m.Advance(time.Duration(rapid.IntRange(10, 4000).Draw(rt, "ms")) * time.Millisecond)
		},
		"": m.check,
	}
}

func (m *failureModel) restart(n *controlnet.Node, later bool) {
	n.Kill()
	delete(m.highestRevision, n)
	wait := time.Duration(0)
	if later {
		wait = 5 * time.Second
	}
	n.Start(wait)
}

// check asserts the invariants that hold in any state of the fleet.
func (m *failureModel) check(rt *rapid.T) {
	for _, n := range m.Nodes() {
		if !n.Alive() {
			continue
		}
		m.checkNode(rt, n)
	}
	config := dissemination.DefaultConfig()
	watching := (config.Watchers + config.StandbyWatchers) * 3
	must.LessEq(rt, watching*8+len(m.Nodes()), m.Platform.PeakReadsPerSecond(m.startedAt))
}

func (m *failureModel) checkNode(rt *rapid.T, n *controlnet.Node) {
	revision := n.Holder.Revision()
	must.GreaterEq(rt, m.highestRevision[n], revision, must.Sprintf("%s went back", n.VM.ID))
	m.highestRevision[n] = revision
	config := n.Holder.Config()
	if config == nil {
		must.False(rt, n.Replica.MayAct(m.Now()))
		return
	}
	must.Eq(rt, m.Digests[revision], config.Digest)
	for _, zone := range config.Manifest.Zones {
		if zone.Out {
			must.False(rt, n.Replica.ZoneOpen(m.Now(), zone.Name))
		}
	}
}

// healAndCheck ends all failures and checks that every node reaches the latest
// revision.
func (m *failureModel) healAndCheck() {
	m.Partitioned = nil
	m.Platform.SetDown(false)
	m.Platform.ServeSnapshot(nil)
	must.NoError(m.t, m.PublishLists())
	for _, n := range m.Nodes() {
		n.SetPlatformUnreachable(false)
		n.Resume()
	}
	m.Advance(40 * time.Second)
	for _, n := range m.Nodes() {
		must.True(m.t, n.Alive())
	}
	m.requireRevision(m.Revision())
	for _, n := range m.Nodes() {
		for _, zone := range m.Zones() {
			must.Eq(m.t, !zone.Out, n.Replica.ZoneOpen(m.Now(), zone.Name))
		}
	}
}

func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newFailureModel(t, rt)
		rt.Repeat(m.actions())
		m.healAndCheck()
	})
}
