package dissemination

import (
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

// Builder makes configurations and lists from what was received.
type Builder interface {
	// Assemble is fleet.Assemble.
	Assemble(manifest fleet.Manifest, parts map[string][]byte, partial bool) (*fleet.Config, error)
	// MergeList applies a difference to a list.
	MergeList(list fleet.VMList, update ListUpdate) (fleet.VMList, error)
	// Order returns the order of a list.
	Order(list fleet.VMList) *Order
	// Manifest decodes a manifest.
	Manifest(data []byte) (fleet.Manifest, error)
	// VMList decodes the platform's list of a zone.
	VMList(value platform.Value) (fleet.VMList, error)
}

// DefaultBuilder builds with package fleet.
type DefaultBuilder struct{}

// Assemble implements Builder.
func (DefaultBuilder) Assemble(manifest fleet.Manifest, parts map[string][]byte, partial bool) (*fleet.Config, error) {
	return fleet.Assemble(manifest, parts, partial)
}

// Merge implements Builder.
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
