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

// limit is the age up to which a confirmation vouches, and a margin for it
// to have passed.
const (
	limit  = 6 * time.Second
	margin = 2 * time.Second
)

func byZone(from, to *controlnet.Node) bool {
	return from.VM.Zone != to.VM.Zone
}

func TestEachPartOfASplitServesItsOwnZone(t *testing.T) {
	f := started(t, 11)
	f.Partitioned = byZone
	for _, zone := range f.Zones()[1:] {
		for _, n := range f.zone(zone.Name) {
			n.SetPlatformUnreachable(true)
		}
	}
	must.NoError(t, f.SetZoneOut(1, true))
	f.Advance(limit + margin)
	for _, n := range f.Nodes() {
		hasPlatform := n.VM.Zone == f.Zones()[0].Name
		for i, zone := range f.Zones() {
			want := zone.Name == n.VM.Zone || hasPlatform && i != 1
			must.Eq(t, want, n.Replica.ZoneOpen(f.Now(), zone.Name), must.Sprintf("%s of %s into %s", n.VM.ID, n.VM.Zone, zone.Name))
		}
	}
	f.Partitioned = nil
	f.Advance(25 * time.Second)
	f.allAt(2)
}

func TestPlatformDownForAllClosesNothing(t *testing.T) {
	f := started(t, 12)
	f.Platform.SetDown(true)
	for range 12 {
		f.Advance(5 * time.Second)
		for _, n := range f.Nodes() {
			must.True(t, n.Replica.Current(f.Now()))
			for _, zone := range f.Zones() {
				must.True(t, n.Replica.ZoneOpen(f.Now(), zone.Name), must.Sprintf("%s into %s", n.VM.ID, zone.Name))
			}
		}
	}
}

func TestNodeThatHearsNobodyKeepsItsOwnZoneOnly(t *testing.T) {
	f := started(t, 13)
	lone := entryOf(f.zone(f.Zones()[0].Name))
	f.Partitioned = func(from, to *controlnet.Node) bool { return from == lone || to == lone }
	lone.SetPlatformUnreachable(true)
	f.Advance(limit + margin)
	must.True(t, lone.Replica.ZoneOpen(f.Now(), f.Zones()[0].Name))
	must.False(t, lone.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name))
	lone.Replica.NoteZone(f.Zones()[1].Name, f.Now())
	must.True(t, lone.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name))
}

// withStalePlatform returns a fleet at the second revision whose platform has
// gone back to the first.
func withStalePlatform(t *testing.T) *fixture {
	t.Helper()
	f := started(t, 14)
	old := f.Platform.Snapshot()
	must.NoError(t, f.SetZoneOut(2, true))
	f.Advance(2 * time.Second)
	f.allAt(2)
	f.Platform.ServeSnapshot(old)
	return f
}

func TestStalePlatformBringsNothingBack(t *testing.T) {
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
			if n.Alive() && n.Replica.Current(f.Now()) {
				must.Eq(t, 2, n.Holder.Revision(), must.Sprintf("%s acts on a stale configuration", n.VM.ID))
			}
		}
	}
	f.Advance(10 * time.Second)
	f.allAt(2)
	stale := uint64(0)
	for _, n := range f.Nodes() {
		stale += n.Replica.Counts().Stale
	}
	must.Positive(t, stale)
}

func TestSameRevisionWithOtherContentIsKeptOut(t *testing.T) {
	f := started(t, 15)
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

func TestInvalidConfigurationIsRefusedWhole(t *testing.T) {
	f := started(t, 16)
	f.Zones()[1].Number = f.Zones()[0].Number
	must.NoError(t, f.Publish())
	f.Advance(3 * time.Second)
	for _, n := range f.Nodes() {
		must.Eq(t, 1, n.Holder.Revision())
	}
	f.Zones()[1].Number = 77
	must.NoError(t, f.Publish())
	f.Advance(3 * time.Second)
	f.allAt(3)
}

func TestWokenNodeDoesNotActOnItsOldView(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 8 * time.Second, 40 * time.Second} {
		f := started(t, 17)
		for _, zone := range f.Zones() {
			f.zone(zone.Name)[0].Pause()
			entryOf(f.zone(zone.Name)).Pause()
		}
		f.Advance(time.Second)
		must.NoError(t, f.SetZoneOut(1, true))
		f.Advance(pause)
		for _, n := range f.Nodes() {
			n.Resume()
		}
		for range 100 {
			for _, n := range f.Nodes() {
				acts := n.Replica.Current(f.Now()) && n.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name)
				must.False(t, acts, must.Sprintf("%s after %v", n.VM.ID, pause))
			}
			f.Advance(50 * time.Millisecond)
		}
		f.allAt(2)
	}
}

func TestAnswersHeldUpByAPauseConfirmNothing(t *testing.T) {
	f := newFixture(t, 24, smallSize(), 150*time.Millisecond, 50*time.Millisecond)
	f.Fleet.Start(time.Second)
	f.Advance(30 * time.Second)
	f.allAt(1)
	// With this delay about every third of the nodes waits for an answer.
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
		acts := n.Replica.Current(f.Now()) && n.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name)
		must.False(t, acts, must.Sprintf("%s", n.VM.ID))
	}
}

func TestWokenNodeThatReachesNobodyActsAfterTheFallback(t *testing.T) {
	f := started(t, 18)
	lone := entryOf(f.zone(f.Zones()[0].Name))
	lone.Pause()
	f.Advance(5 * time.Second)
	f.Partitioned = func(from, to *controlnet.Node) bool { return from == lone || to == lone }
	lone.SetPlatformUnreachable(true)
	lone.Resume()
	f.Advance(9 * time.Second)
	must.False(t, lone.Replica.Current(f.Now()))
	f.Advance(2 * time.Second)
	must.True(t, lone.Replica.Current(f.Now()))
}

func TestStartingNodeLearnsFromSeedsWhileThePlatformIsDown(t *testing.T) {
	f := started(t, 19)
	f.Platform.SetDown(true)
	seed := entryOf(f.zone(f.Zones()[0].Name))
	late := f.zone(f.Zones()[0].Name)[4]
	must.NotEq(t, seed.VM.ID, late.VM.ID)
	late.Kill()
	late.Seeds = []fleet.VM{{Mesh: seed.VM.Mesh}}
	late.Start(0)
	f.Advance(6 * time.Second)
	must.Eq(t, 1, late.Holder.Revision())
	must.True(t, late.Replica.Current(f.Now()))
}

func TestWrongListsNeitherFloodNorStopTheSpread(t *testing.T) {
	f := started(t, 20)
	for _, zone := range f.Zones() {
		must.NoError(t, f.PublishList(fleet.VMList{Zone: zone.Name}))
	}
	f.Advance(5 * time.Second)
	from := f.Now()
	must.NoError(t, f.ChangeService(1))
	f.Advance(10 * time.Second)
	f.allAt(2)
	must.Less(t, 100, f.Platform.PeakReadsPerSecond(from))
	for _, n := range f.Nodes() {
		list, _ := n.Replica.List(n.VM.Zone)
		must.SliceLen(t, 14, list.VMs)
	}
	f.Advance(10 * time.Minute)
	list, _ := f.Nodes()[0].Replica.List(f.Nodes()[0].VM.Zone)
	must.SliceEmpty(t, list.VMs)
}

func TestReadsAreBoundedWhenNobodyHearsAnybody(t *testing.T) {
	f := started(t, 21)
	f.Partitioned = func(*controlnet.Node, *controlnet.Node) bool { return true }
	f.Advance(20 * time.Second)
	from := f.Now()
	must.NoError(t, f.ChangeService(1))
	f.Advance(20 * time.Second)
	for _, n := range f.Nodes() {
		must.Eq(t, 2, n.Holder.Revision())
	}
	config := dissemination.DefaultConfig()
	watching := (config.Watchers + config.Spares) * len(f.Zones())
	// Each watcher or spare watches two keys, and every other node reads
	// once in the 2 s that the fixture's limits give.
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
	f := started(t, 22)
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
	f.allAt(2)
	for n, dials := range before {
		must.LessEq(t, 30, n.Replica.Counts().Dials-dials, must.Sprintf("%s", n.VM.ID))
	}
}

func TestPeersAreToldApart(t *testing.T) {
	f := started(t, 23)
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
	given := uint64(0)
	for _, n := range f.zone(zone) {
		given += n.Replica.Counts().Silent
	}
	must.Positive(t, given)
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

func TestANodeWhoseZoneHasNoListGetsTheConfiguration(t *testing.T) {
	f := started(t, 31)
	vm := fleet.VM{ID: "alone", Zone: "zone-new", Role: fleet.RoleAgent, State: fleet.VMLive}
	vm.Addr = netip.MustParseAddrPort("127.201.0.1:7300")
	vm.Mesh = netip.MustParseAddrPort("127.201.0.1:7400")
	n := f.Add(vm, 0)
	n.Start(0)
	f.Advance(30 * time.Second)
	must.Eq(t, 1, n.Holder.Revision())
	must.True(t, n.Replica.Current(f.Now()))
}
