package dissemination_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/controlnet"
)

// unpolledAgent returns an agent that no node polls.
func (f *fixture) unpolledAgent() *controlnet.Node {
	f.t.Helper()
	var last *controlnet.Node
	for _, n := range f.Nodes() {
		if n.VM.Role == fleet.RoleAgent && !n.Replica.Hello().FullCopy {
			last = n
		}
	}
	must.NotNil(f.t, last)
	return last
}

// requireLost checks that every running entry has the node recorded as lost,
// or not, according to lost.
func (f *fixture) requireLost(id string, lost bool) {
	f.t.Helper()
	for _, n := range f.Nodes() {
		if n.VM.Role != fleet.RoleEntry || !n.Alive() {
			continue
		}
		_, reported := n.Replica.LostAt(f.Now(), id)
		must.Eq(f.t, lost, reported, must.Sprintf("entry %s", n.VM.ID))
	}
}

func TestLostAgentIsReportedToEveryEntry(t *testing.T) {
	f := startedFleet(t, 21)
	agent := f.unpolledAgent()
	f.requireLost(agent.VM.ID, false)
	agent.Kill()
	f.Advance(2 * time.Second)
	f.requireLost(agent.VM.ID, true)
	agent.Start(0)
	f.Advance(10 * time.Second)
	f.requireLost(agent.VM.ID, false)
}

func TestPausedAgentIsReportedToEveryEntry(t *testing.T) {
	f := startedFleet(t, 22)
	agent := f.unpolledAgent()
	agent.Pause()
	f.Advance(6 * time.Second)
	f.requireLost(agent.VM.ID, true)
	agent.Resume()
	f.Advance(4 * time.Second)
	f.requireLost(agent.VM.ID, false)
}

func TestNoNodeIsReportedLostWithoutFailures(t *testing.T) {
	f := startedFleet(t, 23)
	f.Advance(2 * time.Minute)
	for _, n := range f.Nodes() {
		f.requireLost(n.VM.ID, false)
	}
}

func TestSilentZoneIsDetected(t *testing.T) {
	f := startedFleet(t, 24)
	zone := f.unpolledAgent().VM.Zone
	for _, n := range f.zone(zone) {
		n.Kill()
	}
	f.Advance(10 * time.Second)
	for _, n := range f.Nodes() {
		if n.VM.Role == fleet.RoleEntry && n.Alive() {
			must.True(t, n.Replica.ZoneSilent(f.Now(), zone), must.Sprintf("entry %s", n.VM.ID))
		}
	}
}

func TestPeerThatChangesParentsIsNotReportedLost(t *testing.T) {
	f := startedFleet(t, 25)
	zone := f.unpolledAgent().VM.Zone
	before := f.dials()
	list := f.Lists[zone]
	list.Version++
	const joined = 8
	for i := range joined {
		vm := fleet.VM{ID: fmt.Sprintf("joined-%d", i), Zone: zone, Role: fleet.RoleEntry, State: fleet.VMLive}
		ip := netip.AddrFrom4([4]byte{127, 200, 0, byte(i + 1)})
		vm.Addr = netip.AddrPortFrom(ip, 7300)
		vm.Mesh = netip.AddrPortFrom(ip, 7400)
		list.VMs = append(list.VMs, vm)
		f.Add(vm, 0).Start(0)
	}
	f.Lists[zone] = list
	must.NoError(t, f.PublishLists())
	f.Advance(30 * time.Second)
	for _, n := range f.Nodes() {
		must.Zero(t, n.Replica.Counts().PresenceUpdates, must.Sprintf("node %s", n.VM.ID))
	}
	// More links were opened than by the nodes that joined alone, so other nodes
	// changed parents, too.
	must.Greater(t, before+uint64(joined*dissemination.DefaultConfig().Parents), f.dials())
}

// dials returns the number of links opened so far by all nodes.
func (f *fixture) dials() uint64 {
	dials := uint64(0)
	for _, n := range f.Nodes() {
		dials += n.Replica.Counts().Dials
	}
	return dials
}
