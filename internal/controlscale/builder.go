package controlscale

import (
	"strconv"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

// sharedBuilder builds each value once for all replicas, since thousands of
// them share one memory here. What one replica spends on building is measured
// apart.
type sharedBuilder struct {
	inner     dissemination.DefaultBuilder
	configs   map[string]*fleet.Config
	manifests map[string]fleet.Manifest
	lists     map[string]fleet.VMList
	orders    map[*fleet.VM]*dissemination.Order
}

func newSharedBuilder() *sharedBuilder {
	return &sharedBuilder{
		configs:   make(map[string]*fleet.Config),
		manifests: make(map[string]fleet.Manifest),
		lists:     make(map[string]fleet.VMList),
		orders:    make(map[*fleet.VM]*dissemination.Order),
	}
}

// Assemble implements dissemination.Builder.
func (b *sharedBuilder) Assemble(manifest fleet.Manifest, parts map[string][]byte, partial bool) (*fleet.Config, error) {
	key := strconv.FormatUint(manifest.Revision, 10)
	for _, ref := range manifest.Parts {
		if _, held := parts[ref.Digest]; partial && held {
			key += " " + ref.Name
		}
	}
	if config, found := b.configs[key]; found {
		return config, nil
	}
	config, err := b.inner.Assemble(manifest, parts, partial)
	if err == nil {
		b.configs[key] = config
	}
	return config, err
}

// MergeList implements dissemination.Builder.
func (b *sharedBuilder) MergeList(list fleet.VMList, value dissemination.ListUpdate) (fleet.VMList, error) {
	if value.Base != 0 && value.Base != list.Version {
		return b.inner.MergeList(list, value)
	}
	return b.list(value.Zone, value.Version, func() (fleet.VMList, error) { return b.inner.MergeList(list, value) })
}

// Order implements dissemination.Builder.
func (b *sharedBuilder) Order(list fleet.VMList) *dissemination.Order {
	if len(list.VMs) == 0 {
		return b.inner.Order(list)
	}
	if order, found := b.orders[&list.VMs[0]]; found && order.Len() == len(list.VMs) {
		return order
	}
	order := b.inner.Order(list)
	b.orders[&list.VMs[0]] = order
	return order
}

// Manifest implements dissemination.Builder.
func (b *sharedBuilder) Manifest(data []byte) (fleet.Manifest, error) {
	digest := fleet.Digest(data)
	if manifest, found := b.manifests[digest]; found {
		return manifest, nil
	}
	manifest, err := b.inner.Manifest(data)
	if err == nil {
		b.manifests[digest] = manifest
	}
	return manifest, err
}

// VMList implements dissemination.Builder.
func (b *sharedBuilder) VMList(value platform.Value) (fleet.VMList, error) {
	return b.list(value.Key, value.Version, func() (fleet.VMList, error) { return b.inner.VMList(value) })
}

func (b *sharedBuilder) list(key string, version uint64, build func() (fleet.VMList, error)) (fleet.VMList, error) {
	zone := key
	if len(platform.KeyVMs("")) < len(key) && key[:len(platform.KeyVMs(""))] == platform.KeyVMs("") {
		zone = key[len(platform.KeyVMs("")):]
	}
	name := zone + " " + strconv.FormatUint(version, 10)
	if list, found := b.lists[name]; found {
		return list, nil
	}
	list, err := build()
	if err == nil {
		b.lists[name] = list
	}
	return list, err
}
