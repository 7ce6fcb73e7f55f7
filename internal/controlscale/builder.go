package controlscale

import (
	"strconv"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

// cachingBuilder builds each value once and shares it among all replicas, so
// that thousands of them fit into the memory of one process. The cost of
// building for a single replica is measured by other benchmarks.
type cachingBuilder struct {
	delegate  dissemination.DefaultBuilder
	configs   map[string]*fleet.Config
	manifests map[string]fleet.Manifest
	lists     map[string]fleet.VMList
	orders    map[*fleet.VM]*dissemination.Order
}

func newCachingBuilder() *cachingBuilder {
	return &cachingBuilder{
		configs:   make(map[string]*fleet.Config),
		manifests: make(map[string]fleet.Manifest),
		lists:     make(map[string]fleet.VMList),
		orders:    make(map[*fleet.VM]*dissemination.Order),
	}
}

// Assemble implements dissemination.Builder.
func (b *cachingBuilder) Assemble(manifest fleet.Manifest, parts map[string][]byte, partial bool) (*fleet.Config, error) {
	key := strconv.FormatUint(manifest.Revision, 10)
	for _, ref := range manifest.Parts {
		if _, held := parts[ref.Digest]; partial && held {
			key += " " + ref.Name
		}
	}
	if config, found := b.configs[key]; found {
		return config, nil
	}
	config, err := b.delegate.Assemble(manifest, parts, partial)
	if err == nil {
		b.configs[key] = config
	}
	return config, err
}

// MergeList implements dissemination.Builder.
func (b *cachingBuilder) MergeList(list fleet.VMList, value dissemination.ListUpdate) (fleet.VMList, error) {
	if value.Base != 0 && value.Base != list.Version {
		return b.delegate.MergeList(list, value)
	}
	return b.cachedList(value.Zone, value.Version, func() (fleet.VMList, error) { return b.delegate.MergeList(list, value) })
}

// Order implements dissemination.Builder.
func (b *cachingBuilder) Order(list fleet.VMList) *dissemination.Order {
	if len(list.VMs) == 0 {
		return b.delegate.Order(list)
	}
	if order, found := b.orders[&list.VMs[0]]; found && order.Len() == len(list.VMs) {
		return order
	}
	order := b.delegate.Order(list)
	b.orders[&list.VMs[0]] = order
	return order
}

// Manifest implements dissemination.Builder.
func (b *cachingBuilder) Manifest(data []byte) (fleet.Manifest, error) {
	digest := fleet.Digest(data)
	if manifest, found := b.manifests[digest]; found {
		return manifest, nil
	}
	manifest, err := b.delegate.Manifest(data)
	if err == nil {
		b.manifests[digest] = manifest
	}
	return manifest, err
}

// VMList implements dissemination.Builder.
func (b *cachingBuilder) VMList(value platform.Value) (fleet.VMList, error) {
	return b.cachedList(value.Key, value.Version, func() (fleet.VMList, error) { return b.delegate.VMList(value) })
}

func (b *cachingBuilder) cachedList(key string, version uint64, build func() (fleet.VMList, error)) (fleet.VMList, error) {
	zone := key
	if len(platform.KeyVMs("")) < len(key) && key[:len(platform.KeyVMs(""))] == platform.KeyVMs("") {
		zone = key[len(platform.KeyVMs("")):]
	}
	cacheKey := zone + " " + strconv.FormatUint(version, 10)
	if list, found := b.lists[cacheKey]; found {
		return list, nil
	}
	list, err := build()
	if err == nil {
		b.lists[cacheKey] = list
	}
	return list, err
}
