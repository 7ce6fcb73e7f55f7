package dissemination_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
)

func drawList(t *rapid.T, version uint64) fleet.VMList {
	list := fleet.VMList{Zone: "maes-1", Version: version}
	for i := range 8 {
		if !rapid.Bool().Draw(t, "listed") {
			continue
		}
		vm := fleet.VM{ID: fmt.Sprintf("vm-%d", i), Zone: "maes-1", Role: fleet.RoleAgent, State: fleet.VMLive}
		vm.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7300)
		if rapid.Bool().Draw(t, "leaving") {
			vm.State = fleet.VMLeaving
		}
		list.VMs = append(list.VMs, vm)
	}
	return list
}

func sorted(vms []fleet.VM) []fleet.VM {
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

func TestListDifferenceRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawList(t, 1), drawList(t, 2)
		merged, err := dissemination.MergeList(from, dissemination.DiffLists(from, to))
		must.NoError(t, err)
		must.Eq(t, to.Version, merged.Version)
		must.Eq(t, sorted(to.VMs), sorted(merged.VMs))
		mismatched := from
		mismatched.Version = 7
		_, err = dissemination.MergeList(mismatched, dissemination.DiffLists(from, to))
		must.Error(t, err)
	})
}

func TestListDifferenceRemovingAllVMs(t *testing.T) {
	from := fleet.VMList{Zone: "maes-1", Version: 1, VMs: []fleet.VM{{ID: "host-1"}}}
	to := fleet.VMList{Zone: "maes-1", Version: 2}
	merged, err := dissemination.MergeList(from, dissemination.DiffLists(from, to))
	must.NoError(t, err)
	must.Eq(t, to, merged)
}

func drawManifest(t *rapid.T, revision uint64) fleet.Manifest {
	manifest := fleet.Manifest{Revision: revision, Zones: []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}}}
	for i := range 6 {
		if rapid.Bool().Draw(t, "part") {
			digest := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "digest"))
			manifest.Parts = append(manifest.Parts, fleet.PartRef{Name: fleet.PartName(fleet.ServiceID{Name: fmt.Sprint(i)}, 64), Digest: digest})
		}
	}
	slices.SortFunc(manifest.Parts, func(a, b fleet.PartRef) int { return cmp.Compare(a.Name, b.Name) })
	return manifest
}

func TestManifestDifferenceRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawManifest(t, 1), drawManifest(t, 2)
		update, err := dissemination.DiffManifests(from, to)
		must.NoError(t, err)
		merged, err := dissemination.MergeManifest(from, update)
		must.NoError(t, err)
		must.Eq(t, to, merged)
	})
}
