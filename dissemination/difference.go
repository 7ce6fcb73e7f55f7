package dissemination

import (
	"cmp"
	"slices"

	"github.com/turmericrock/turmericrock/fleet"
)

// DiffManifests returns the difference that makes to out of from. The head of
// a manifest is the manifest without its parts.
func DiffManifests(from, to fleet.Manifest) (*ManifestValue, error) {
	head := to
	head.Parts = nil
	data, err := fleet.Encode(head)
	if err != nil {
		return nil, err
	}
	value := &ManifestValue{Head: data}
	held := make(map[string]fleet.PartRef, len(from.Parts))
	for _, ref := range from.Parts {
		held[ref.Name] = ref
	}
	for _, ref := range to.Parts {
		if held[ref.Name] != ref {
			value.Set = append(value.Set, ref)
		}
		delete(held, ref.Name)
	}
	for _, ref := range from.Parts {
		if _, gone := held[ref.Name]; gone {
			value.Removed = append(value.Removed, ref.Name)
		}
	}
	return value, nil
}

// MergeManifest applies a difference to a manifest. Parts are kept in the
// order of their names.
func MergeManifest(from fleet.Manifest, value *ManifestValue) (fleet.Manifest, error) {
	to, err := fleet.DecodeManifest(value.Head)
	if err != nil {
		return to, err
	}
	set := make(map[string]fleet.PartRef, len(value.Set))
	for _, ref := range value.Set {
		set[ref.Name] = ref
	}
	for _, ref := range from.Parts {
		if changed, found := set[ref.Name]; found {
			ref = changed
			delete(set, ref.Name)
		}
		if !slices.Contains(value.Removed, ref.Name) {
			to.Parts = append(to.Parts, ref)
		}
	}
	if len(set) == 0 {
		return to, nil
	}
	for _, ref := range value.Set {
		if _, added := set[ref.Name]; added {
			to.Parts = append(to.Parts, ref)
		}
	}
	slices.SortFunc(to.Parts, func(a, b fleet.PartRef) int { return cmp.Compare(a.Name, b.Name) })
	return to, nil
}

// DiffLists returns the difference that makes to out of from.
func DiffLists(from, to fleet.VMList) ListValue {
	value := ListValue{Zone: to.Zone, Version: to.Version, Base: from.Version}
	held := make(map[string]fleet.VM, len(from.VMs))
	for _, vm := range from.VMs {
		held[vm.ID] = vm
	}
	for _, vm := range to.VMs {
		if held[vm.ID] != vm {
			value.Set = append(value.Set, vm)
		}
		delete(held, vm.ID)
	}
	for _, vm := range from.VMs {
		if _, gone := held[vm.ID]; gone {
			value.Removed = append(value.Removed, vm.ID)
		}
	}
	return value
}

// entries returns the number of entries that the value carries.
func (l ListValue) entries() int {
	return len(l.Set) + len(l.Removed)
}

// Merge applies a difference to a list, or takes a whole list. The error is a
// *DifferenceError.
func Merge(list fleet.VMList, value ListValue) (fleet.VMList, error) {
	merged := fleet.VMList{Zone: value.Zone, Version: value.Version}
	if value.Base == 0 {
		merged.VMs = value.Set
		return merged, nil
	}
	if value.Base != list.Version || value.Version < value.Base {
		return list, &DifferenceError{Kind: "vm list"}
	}
	drop := make(map[string]bool, len(value.Removed)+len(value.Set))
	for _, id := range value.Removed {
		drop[id] = true
	}
	for _, vm := range value.Set {
		drop[vm.ID] = true
	}
	merged.VMs = make([]fleet.VM, 0, len(list.VMs)+len(value.Set))
	for _, vm := range list.VMs {
		if !drop[vm.ID] {
			merged.VMs = append(merged.VMs, vm)
		}
	}
	merged.VMs = append(merged.VMs, value.Set...)
	if len(merged.VMs) == 0 {
		// As a decoded list without VMs has it.
		merged.VMs = nil
	}
	return merged, nil
}
