package dissemination_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/controlnet"
)

// maxConfirmationAge is the default of Config.MaxConfirmationAge, and margin
// the time to wait in addition until it has passed.
const (
	maxConfirmationAge = 6 * time.Second
	margin             = 2 * time.Second
)

func crossesZones(from, to *controlnet.Node) bool {
	return from.VM.Zone != to.VM.Zone
}

func TestPartitionedZonesServeOnlyThemselves(t *testing.T) {
	f := startedFleet(t, 11)
	f.Partitioned = crossesZones
	for _, zone := range f.Zones()[1:] {
		for _, n := range f.zone(zone.Name) {
			n.SetPlatformUnreachable(true)
		}
	}
	must.NoError(t, f.SetZoneOut(1, true))
	f.Advance(maxConfirmationAge + margin)
	for _, n := range f.Nodes() {
		hasPlatform := n.VM.Zone == f.Zones()[0].Name
		for i, zone := range f.Zones() {
			want := zone.Name == n.VM.Zone || hasPlatform && i != 1
			must.Eq(t, want, n.Replica.ZoneOpen(f.Now(), zone.Name), must.Sprintf("%s of %s into %s", n.VM.ID, n.VM.Zone, zone.Name))
		}
	}
	f.Partitioned = nil
	f.Advance(25 * time.Second)
	f.requireRevision(2)
}

func TestPlatformOutageKeepsZonesOpen(t *testing.T) {
	f := startedFleet(t, 12)
	f.Platform.SetDown(true)
	for range 12 {
		f.Advance(5 * time.Second)
		for _, n := range f.Nodes() {
			must.True(t, n.Replica.MayAct(f.Now()))
			for _, zone := range f.Zones() {
				must.True(t, n.Replica.ZoneOpen(f.Now(), zone.Name), must.Sprintf("%s into %s", n.VM.ID, zone.Name))
			}
		}
	}
}

func TestIsolatedNodeKeepsOnlyItsOwnZoneOpen(t *testing.T) {
	f := startedFleet(t, 13)
	isolated := entryOrFirst(f.zone(f.Zones()[0].Name))
	f.Partitioned = func(from, to *controlnet.Node) bool { return from == isolated || to == isolated }
	isolated.SetPlatformUnreachable(true)
	f.Advance(maxConfirmationAge + margin)
	must.True(t, isolated.Replica.ZoneOpen(f.Now(), f.Zones()[0].Name))
	must.False(t, isolated.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name))
	isolated.Replica.RecordZoneHeard(f.Zones()[1].Name, f.Now())
	must.True(t, isolated.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name))
}

// withStalePlatform returns a fleet at revision 2 whose platform has reverted
// to revision 1.
func withStalePlatform(t *testing.T) *fixture {
	t.Helper()
	f := startedFleet(t, 14)
	old := f.Platform.Snapshot()
	must.NoError(t, f.SetZoneOut(2, true))
	f.Advance(2 * time.Second)
	f.requireRevision(2)
	f.Platform.ServeSnapshot(old)
	return f
}

func TestStalePlatformDoesNotRevertRevision(t *testing.T) {
	f := withStalePlatform(t)
	restarted := make(map[*controlnet.Node]bool)
	for i, n := range f.Nodes() {
		if i%2 == 0 {
			n.Kill()
			n.Start(time.Second)
			restarted[n] = true
		}
	}
	for range 6000 {
		f.Advance(time.Millisecond)
		for n := range restarted {
			if n.Alive() && n.Replica.MayAct(f.Now()) {
				must.Eq(t, 2, n.Holder.Revision(), must.Sprintf("%s acts on a stale configuration", n.VM.ID))
			}
		}
	}
	f.Advance(10 * time.Second)
	f.requireRevision(2)
	stale := uint64(0)
	for _, n := range f.Nodes() {
		stale += n.Replica.Counts().Stale
	}
	must.Positive(t, stale)
}

func TestConflictingRevisionIsRejected(t *testing.T) {
	f := startedFleet(t, 15)
	first := f.Digests[1]
	f.Zones()[0].Out = true
	must.NoError(t, f.PublishRevision(1))
	f.Advance(5 * time.Second)
	conflicts := uint64(0)
	for _, n := range f.Nodes() {
		must.Eq(t, first, n.Holder.Config().Digest)
		conflicts += n.Replica.Counts().Conflicting
	}
	must.Positive(t, conflicts)
}

func TestInvalidConfigurationIsRejectedAsAWhole(t *testing.T) {
	f := startedFleet(t, 16)
	f.Zones()[1].Number = f.Zones()[0].Number
	must.NoError(t, f.Publish())
	f.Advance(3 * time.Second)
	for _, n := range f.Nodes() {
		must.Eq(t, 1, n.Holder.Revision())
	}
	f.Zones()[1].Number = 77
	must.NoError(t, f.Publish())
	f.Advance(3 * time.Second)
	f.requireRevision(3)
}

func TestResumedNodeDoesNotActOnStaleView(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 8 * time.Second, 40 * time.Second} {
		f := startedFleet(t, 17)
		for _, zone := range f.Zones() {
			f.zone(zone.Name)[0].Pause()
			entryOrFirst(f.zone(zone.Name)).Pause()
		}
		f.Advance(time.Second)
		must.NoError(t, f.SetZoneOut(1, true))
		f.Advance(pause)
		for _, n := range f.Nodes() {
			n.Resume()
		}
		for range 100 {
			for _, n := range f.Nodes() {
				acts := n.Replica.MayAct(f.Now()) && n.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name)
				must.False(t, acts, must.Sprintf("%s after %v", n.VM.ID, pause))
			}
			f.Advance(50 * time.Millisecond)
		}
		f.requireRevision(2)
	}
}

func TestAnswersDelayedByPauseConfirmNothing(t *testing.T) {
	f := newFixture(t, 24, smallSize(), 150*time.Millisecond, 50*time.Millisecond)
	f.Fleet.Start(time.Second)
	f.Advance(30 * time.Second)
	f.requireRevision(1)
	// With this delay about a third of the nodes are waiting for an answer when
	// they are paused.
	var paused []*controlnet.Node
	for i, n := range f.Nodes() {
		if i%2 == 0 {
			n.Pause()
			paused = append(paused, n)
		}
	}
	f.Advance(time.Second)
	must.NoError(t, f.SetZoneOut(1, true))
	replaced := f.Now()
	f.Advance(10 * time.Second)
	for _, n := range paused {
		n.Resume()
		old := n.Holder.Revision() == 1
		must.False(t, old && n.Holder.ConfirmedAt().After(replaced), must.Sprintf("%s", n.VM.ID))
		acts := n.Replica.MayAct(f.Now()) && n.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name)
		must.False(t, acts, must.Sprintf("%s", n.VM.ID))
	}
}

func TestIsolatedResumedNodeActsAfterResumeTimeout(t *testing.T) {
	f := startedFleet(t, 18)
	isolated := entryOrFirst(f.zone(f.Zones()[0].Name))
	isolated.Pause()
	f.Advance(5 * time.Second)
	f.Partitioned = func(from, to *controlnet.Node) bool { return from == isolated || to == isolated }
	isolated.SetPlatformUnreachable(true)
	isolated.Resume()
	f.Advance(9 * time.Second)
	must.False(t, isolated.Replica.MayAct(f.Now()))
	f.Advance(2 * time.Second)
	must.True(t, isolated.Replica.MayAct(f.Now()))
}

func TestStartingNodeUsesSeedsDuringPlatformOutage(t *testing.T) {
	f := startedFleet(t, 19)
	f.Platform.SetDown(true)
	seed := entryOrFirst(f.zone(f.Zones()[0].Name))
	late := f.zone(f.Zones()[0].Name)[4]
	must.NotEq(t, seed.VM.ID, late.VM.ID)
	late.Kill()
	late.Seeds = []fleet.VM{{Mesh: seed.VM.Mesh}}
	late.Start(0)
	f.Advance(6 * time.Second)
	must.Eq(t, 1, late.Holder.Revision())
	must.True(t, late.Replica.MayAct(f.Now()))
}

func TestEmptyListsNeitherFloodPlatformNorStopPropagation(t *testing.T) {
	f := startedFleet(t, 20)
	for _, zone := range f.Zones() {
		must.NoError(t, f.PublishList(fleet.VMList{Zone: zone.Name}))
	}
	f.Advance(5 * time.Second)
	from := f.Now()
	must.NoError(t, f.ChangeService(1))
	f.Advance(10 * time.Second)
	f.requireRevision(2)
	must.Less(t, 100, f.Platform.PeakReadsPerSecond(from))
	for _, n := range f.Nodes() {
		list, _ := n.Replica.List(n.VM.Zone)
		must.SliceLen(t, 14, list.VMs)
	}
	f.Advance(10 * time.Minute)
	list, _ := f.Nodes()[0].Replica.List(f.Nodes()[0].VM.Zone)
	must.SliceEmpty(t, list.VMs)
}

func TestReadsAreBoundedWhenAllNodesAreIsolated(t *testing.T) {
	f := startedFleet(t, 21)
	f.Partitioned = func(*controlnet.Node, *controlnet.Node) bool { return true }
	f.Advance(20 * time.Second)
	from := f.Now()
	must.NoError(t, f.ChangeService(1))
	f.Advance(20 * time.Second)
	for _, n := range f.Nodes() {
		must.Eq(t, 2, n.Holder.Revision())
	}
	config := dissemination.DefaultConfig()
	watching := (config.Watchers + config.StandbyWatchers) * len(f.Zones())
	// Each watcher or standby watcher watches two keys, and every other node
	// sends one own read per 2 s, the period that follows from the fixture's
	// FleetLimit and OwnReads.
	bound := watching*3 + len(f.Nodes())
	must.LessEq(t, bound, f.Platform.PeakReadsPerSecond(from))
	f.Platform.SetDown(true)
	from = f.Now()
	f.Advance(30 * time.Second)
	must.LessEq(t, bound, f.Platform.PeakReadsPerSecond(from))
	f.Platform.SetDown(false)
	from = f.Now()
	f.Advance(5 * time.Second)
	must.LessEq(t, bound, f.Platform.PeakReadsPerSecond(from))
}

func TestLostWatchersAreReplaced(t *testing.T) {
	f := startedFleet(t, 22)
	zone := f.Zones()[0].Name
	order := dissemination.NewOrder(f.Lists[zone])
	lost := make(map[string]bool)
	for i := range 5 {
		lost[order.At(i).ID] = true
	}
	before := make(map[*controlnet.Node]uint64)
	for _, n := range f.zone(zone) {
		if lost[n.VM.ID] {
			n.Kill()
			continue
		}
		before[n] = n.Replica.Counts().Dials
	}
	f.Advance(time.Second)
	must.NoError(t, f.ChangeService(2))
	f.Advance(10 * time.Second)
	f.requireRevision(2)
	for n, dials := range before {
		must.LessEq(t, 30, n.Replica.Counts().Dials-dials, must.Sprintf("%s", n.VM.ID))
	}
}

func TestPeerFailureStatusesAreDistinguished(t *testing.T) {
	f := startedFleet(t, 23)
	zone := f.Zones()[0].Name
	order := dissemination.NewOrder(f.Lists[zone])
	gone, silent, replaced := f.node(order.At(0).ID), f.node(order.At(1).ID), f.node(order.At(2).ID)
	gone.Kill()
	silent.Pause()
	other := replaced.VM
	other.ID = "replacement"
	replaced.Kill()
	f.Add(other, 0)
	f.Advance(5 * time.Second)
	pollTimeouts := uint64(0)
	for _, n := range f.zone(zone) {
		pollTimeouts += n.Replica.Counts().PollTimeouts
	}
	must.Positive(t, pollTimeouts)
	f.Advance(7 * time.Second)
	seen := make(map[string]map[dissemination.Status]bool)
	for _, n := range f.zone(zone) {
		for _, p := range n.Replica.Peers() {
			if seen[p.ID] == nil {
				seen[p.ID] = make(map[dissemination.Status]bool)
			}
			seen[p.ID][p.Status] = true
		}
	}
	must.True(t, seen[gone.VM.ID][dissemination.StatusGone])
	must.True(t, seen[silent.VM.ID][dissemination.StatusSilent] || seen[silent.VM.ID][dissemination.StatusDead])
	must.True(t, seen[replaced.VM.ID][dissemination.StatusReplaced])
}

func TestNodeInZoneWithoutListGetsConfiguration(t *testing.T) {
	f := startedFleet(t, 31)
	vm := fleet.VM{ID: "alone", Zone: "zone-new", Role: fleet.RoleAgent, State: fleet.VMLive}
	vm.Addr = netip.MustParseAddrPort("127.201.0.1:7300")
	vm.Mesh = netip.MustParseAddrPort("127.201.0.1:7400")
	n := f.Add(vm, 0)
	n.Start(0)
	f.Advance(30 * time.Second)
	must.Eq(t, 1, n.Holder.Revision())
	must.True(t, n.Replica.MayAct(f.Now()))
}
