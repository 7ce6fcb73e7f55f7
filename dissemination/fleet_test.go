package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/controlnet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

func smallSize() fleetgen.Size {
	return fleetgen.Size{Regions: 2, Zones: 3, Entries: 6, Hosts: 36, Services: 12, Parts: 4}
}

// intraRegionDelay is the one-way delay between zones of a region.
const intraRegionDelay = 500 * time.Microsecond

// fixture is a simulated fleet and its network.
type fixture struct {
	t *testing.T
	*controlnet.Network
	*controlnet.Fleet
}

func newFixture(t *testing.T, seed uint64, size fleetgen.Size, delay, step time.Duration) *fixture {
	t.Helper()
	failOnViolation(t)
	control := dissemination.DefaultConfig()
	control.FleetLimit = 2 * size.Nodes()
	control.OwnReads = size.Nodes()
	net := controlnet.New(controlnet.Config{
		Seed:           seed,
		Delay:          delay,
		StepInterval:   step,
		Control:        control,
		Builder:        dissemination.DefaultBuilder{},
		EncodeMessages: true,
	})
	f, err := controlnet.NewFleet(net, size)
	must.NoError(t, err)
	return &fixture{t: t, Network: net, Fleet: f}
}

func failOnViolation(t *testing.T) {
	t.Helper()
	invariant.SetHandler(func(name string) { panic("invariant violated: " + name) })
	t.Cleanup(func() { invariant.SetHandler(nil) })
}

// startedFleet returns a small fleet in which every node runs and is current
// at revision 1.
func startedFleet(t *testing.T, seed uint64) *fixture {
	t.Helper()
	f := newFixture(t, seed, smallSize(), intraRegionDelay, 50*time.Millisecond)
	f.Fleet.Start(time.Second)
	f.Advance(20 * time.Second)
	f.requireRevision(1)
	return f
}

// requireRevision checks that every running node that is not paused has the
// revision in force and is current.
func (f *fixture) requireRevision(revision uint64) {
	f.t.Helper()
	for _, n := range f.Nodes() {
		if !n.Alive() || n.Paused() {
			continue
		}
		must.Eq(f.t, revision, n.Holder.Revision(), must.Sprintf("node %s", n.VM.ID))
		must.Eq(f.t, f.Digests[revision], n.Holder.Config().Digest)
		must.True(f.t, n.Replica.MayAct(f.Now()), must.Sprintf("node %s is not current", n.VM.ID))
	}
}

// zone returns the running nodes of a zone.
func (f *fixture) zone(name string) []*controlnet.Node {
	var nodes []*controlnet.Node
	for _, n := range f.Nodes() {
		if n.VM.Zone == name && n.Alive() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// node returns the node with the ID.
func (f *fixture) node(id string) *controlnet.Node {
	f.t.Helper()
	for _, n := range f.Nodes() {
		if n.VM.ID == id {
			return n
		}
	}
	f.t.Fatalf("no node %s", id)
	return nil
}

// oldestAge returns the age of the oldest confirmation of a running node.
func (f *fixture) oldestAge() time.Duration {
	oldest := time.Duration(0)
	for _, n := range f.Nodes() {
		if n.Alive() {
			oldest = max(oldest, n.Holder.Age(f.Now()))
		}
	}
	return oldest
}

func entryOrFirst(nodes []*controlnet.Node) *controlnet.Node {
	for _, n := range nodes {
		if n.VM.Role == fleet.RoleEntry {
			return n
		}
	}
	return nodes[0]
}
