package dissemination

import (
	"cmp"
	"slices"

	"github.com/turmericrock/turmericrock/fleet"
)

// DiffManifests returns the difference from one manifest to another.
func DiffManifests(from, to fleet.Manifest) (*ManifestUpdate, error) {
	withoutParts := to
	withoutParts.Parts = nil
	data, err := fleet.Encode(withoutParts)
	if err != nil {
		return nil, err
	}
	update := &ManifestUpdate{WithoutParts: data}
	unmatched := make(map[string]fleet.PartRef, len(from.Parts))
	for _, ref := range from.Parts {
		unmatched[ref.Name] = ref
	}
	for _, ref := range to.Parts {
		if unmatched[ref.Name] != ref {
			update.Upserted = append(update.Upserted, ref)
		}
		delete(unmatched, ref.Name)
	}
	for _, ref := range from.Parts {
		if _, removed := unmatched[ref.Name]; removed {
			update.Removed = append(update.Removed, ref.Name)
		}
	}
	return update, nil
}

// MergeManifest applies a difference to a manifest. The parts of the result
// are sorted by name if the difference adds any.
func MergeManifest(from fleet.Manifest, update *ManifestUpdate) (fleet.Manifest, error) {
	to, err := fleet.DecodeManifest(update.WithoutParts)
	if err != nil {
		return to, err
	}
	upserted := make(map[string]fleet.PartRef, len(update.Upserted))
	for _, ref := range update.Upserted {
		upserted[ref.Name] = ref
	}
	for _, ref := range from.Parts {
		if changed, found := upserted[ref.Name]; found {
			ref = changed
			delete(upserted, ref.Name)
		}
		if !slices.Contains(update.Removed, ref.Name) {
			to.Parts = append(to.Parts, ref)
		}
	}
	if len(upserted) == 0 {
		return to, nil
	}
	for _, ref := range update.Upserted {
		if _, added := upserted[ref.Name]; added {
			to.Parts = append(to.Parts, ref)
		}
	}
	slices.SortFunc(to.Parts, func(a, b fleet.PartRef) int { return cmp.Compare(a.Name, b.Name) })
	return to, nil
}

// DiffLists returns the difference from one list to another of the same zone.
func DiffLists(from, to fleet.VMList) ListUpdate {
	update := ListUpdate{Zone: to.Zone, Version: to.Version, Base: from.Version}
	unmatched := make(map[string]fleet.VM, len(from.VMs))
	for _, vm := range from.VMs {
		unmatched[vm.ID] = vm
	}
	for _, vm := range to.VMs {
		if unmatched[vm.ID] != vm {
			update.Upserted = append(update.Upserted, vm)
		}
		delete(unmatched, vm.ID)
	}
	for _, vm := range from.VMs {
		if _, removed := unmatched[vm.ID]; removed {
			update.Removed = append(update.Removed, vm.ID)
		}
	}
	return update
}

// entries returns the number of VMs that the update adds, changes or removes.
func (l ListUpdate) entries() int {
	return len(l.Upserted) + len(l.Removed)
}

// MergeList applies a difference to a list, or returns the new list if the
// update is whole. It returns a *DifferenceError if list is not the base of
// the difference.
func MergeList(list fleet.VMList, update ListUpdate) (fleet.VMList, error) {
	merged := fleet.VMList{Zone: update.Zone, Version: update.Version}
	if update.Base == 0 {
		merged.VMs = update.Upserted
		return merged, nil
	}
	if update.Base != list.Version || update.Version < update.Base {
		return list, &DifferenceError{Kind: "vm list"}
	}
	superseded := make(map[string]bool, len(update.Removed)+len(update.Upserted))
	for _, id := range update.Removed {
		superseded[id] = true
	}
	for _, vm := range update.Upserted {
		superseded[vm.ID] = true
	}
	merged.VMs = make([]fleet.VM, 0, len(list.VMs)+len(update.Upserted))
	for _, vm := range list.VMs {
		if !superseded[vm.ID] {
			merged.VMs = append(merged.VMs, vm)
		}
	}
	merged.VMs = append(merged.VMs, update.Upserted...)
	if len(merged.VMs) == 0 {
		// An empty list decodes to nil, and the result must be equal to it.
		merged.VMs = nil
	}
	return merged, nil
}
