package controlnet

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/platform"
)

// Fleet publishes the configurations and VM lists of a generated fleet to the
// fake platform.
type Fleet struct {
	net      *Network
	zones    []fleet.Zone
	services []fleet.Service
	parts    int
	revision uint64
	// Digests holds the manifest digest of each published revision.
	Digests map[uint64]string
	Lists   map[string]fleet.VMList
}

// NewFleet generates a fleet of the given size and publishes its first
// configuration and its VM lists. It does not start the fleet's nodes.
func NewFleet(net *Network, size fleetgen.Size) (*Fleet, error) {
	generated, err := fleetgen.Generate(size, 1)
	if err != nil {
		return nil, err
	}
	config, err := generated.Config()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		net:      net,
		zones:    slices.Clone(generated.Manifest.Zones),
		services: slices.Clone(config.Services()),
		parts:    max(1, size.Parts),
		Digests:  make(map[uint64]string),
		Lists:    generated.Lists,
	}
	if err := f.Publish(); err != nil {
		return nil, err
	}
	return f, f.PublishLists()
}

// Revision returns the last revision published by Publish.
func (f *Fleet) Revision() uint64 {
	return f.revision
}

// Publish publishes the declarations under the next revision.
func (f *Fleet) Publish() error {
	f.revision++
	return f.PublishRevision(f.revision)
}

// PublishRevision publishes the declarations under the given revision, which
// may be lower than the last one.
func (f *Fleet) PublishRevision(revision uint64) error {
	manifest := fleet.Manifest{Revision: revision, Zones: slices.Clone(f.zones)}
	servicesByPart := make(map[string][]fleet.Service)
	for _, service := range f.services {
		name := fleet.PartName(service.ID, f.parts)
		servicesByPart[name] = append(servicesByPart[name], service)
	}
	for name, services := range servicesByPart {
		data, err := fleet.Encode(fleet.Part{Services: services})
		if err != nil {
			return err
		}
		digest := fleet.Digest(data)
		manifest.Parts = append(manifest.Parts, fleet.PartRef{Name: name, Digest: digest, Size: len(data)})
		if _, err := f.net.Platform.lookup(platform.KeyPart(digest)); err != nil {
			f.net.Platform.Put(platform.KeyPart(digest), data)
		}
	}
	slices.SortFunc(manifest.Parts, func(a, b fleet.PartRef) int { return cmp.Compare(a.Name, b.Name) })
	manifestData, err := fleet.Encode(manifest)
	if err != nil {
		return err
	}
	f.Digests[revision] = fleet.Digest(manifestData)
	f.net.Platform.Put(platform.KeyManifest, manifestData)
	return nil
}

// SetZoneOut takes the zone with the given index out of service, or puts it
// back into service, and publishes the change.
func (f *Fleet) SetZoneOut(zone int, out bool) error {
	f.zones[zone].Out = out
	return f.Publish()
}

// ChangeService changes the slot count of the service with the given index and
// publishes the change.
func (f *Fleet) ChangeService(i int) error {
	f.services[i].Slots++
	return f.Publish()
}

// Zones returns the current zone declarations.
func (f *Fleet) Zones() []fleet.Zone {
	return f.zones
}

// PublishLists publishes the current VM list of every zone.
func (f *Fleet) PublishLists() error {
	for _, zone := range f.zones {
		if err := f.PublishList(f.Lists[zone.Name]); err != nil {
			return err
		}
	}
	return nil
}

// PublishList publishes a VM list without validating it, so that tests can
// publish wrong lists.
func (f *Fleet) PublishList(list fleet.VMList) error {
	data, err := fleet.Encode(list)
	if err != nil {
		return err
	}
	f.net.Platform.Put(platform.KeyVMs(list.Zone), data)
	return nil
}

// Start starts every listed node after a random delay of up to spread.
func (f *Fleet) Start(spread time.Duration) {
	for _, zone := range f.zones {
		for _, vm := range f.Lists[zone.Name].VMs {
			f.net.Add(vm, spread)
		}
	}
}
