package dissemination

import (
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

// Builder decodes and assembles configurations and lists. Simulations of large
// fleets use one that shares the results between nodes.
type Builder interface {
	// Assemble builds a configuration as fleet.Assemble does.
	Assemble(manifest fleet.Manifest, parts map[string][]byte, partial bool) (*fleet.Config, error)
	// MergeList applies a whole list or a difference to a list.
	MergeList(list fleet.VMList, update ListUpdate) (fleet.VMList, error)
	// Order returns the total order of the VMs of a list.
	Order(list fleet.VMList) *Order
	// Manifest decodes a manifest.
	Manifest(data []byte) (fleet.Manifest, error)
	// VMList decodes the platform's VM list of a zone.
	VMList(value platform.Value) (fleet.VMList, error)
}

// DefaultBuilder implements Builder with package fleet and the functions of
// this package.
type DefaultBuilder struct{}

// Assemble implements Builder.
func (DefaultBuilder) Assemble(manifest fleet.Manifest, parts map[string][]byte, partial bool) (*fleet.Config, error) {
	return fleet.Assemble(manifest, parts, partial)
}

// MergeList implements Builder.
func (DefaultBuilder) MergeList(list fleet.VMList, update ListUpdate) (fleet.VMList, error) {
	return MergeList(list, update)
}

// Order implements Builder.
func (DefaultBuilder) Order(list fleet.VMList) *Order {
	return NewOrder(list)
}

// Manifest implements Builder.
func (DefaultBuilder) Manifest(data []byte) (fleet.Manifest, error) {
	return fleet.DecodeManifest(data)
}

// VMList implements Builder.
func (DefaultBuilder) VMList(value platform.Value) (fleet.VMList, error) {
	list, err := fleet.DecodeVMList(value.Data)
	list.Version = value.Version
	return list, err
}
