// Package fleetgen generates declarations and VM lists of any size, for
// measurements and tests.
package fleetgen

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// Size is the size of a fleet.
type Size struct {
	Regions  int
	Zones    int
	Entries  int
	Hosts    int
	Services int
	// Parts is the number of parts into which the configuration is split.
	Parts int
}

// DesignSize returns the fleet size that the system is designed for.
func DesignSize() Size {
	return Size{Regions: 2, Zones: 7, Entries: 930, Hosts: 5000, Services: 1600, Parts: 64}
}

// Scaled returns the size with entries, hosts and services multiplied by
// factor, each at least 1. Zones and regions stay the same.
func (s Size) Scaled(factor float64) Size {
	scaled := s
	scaled.Entries = max(1, int(float64(s.Entries)*factor))
	scaled.Hosts = max(1, int(float64(s.Hosts)*factor))
	scaled.Services = max(1, int(float64(s.Services)*factor))
	return scaled
}

// Nodes returns the number of entry and agent processes.
func (s Size) Nodes() int {
	return s.Entries + s.Hosts
}

// Fleet is a generated fleet.
type Fleet struct {
	Manifest fleet.Manifest
	// Parts holds the encoded parts by digest.
	Parts map[string][]byte
	// Lists holds the VM lists by zone.
	Lists map[string]fleet.VMList
}

const (
	meshPort    = 7400
	tunnelPort  = 7300
	servicePort = 443
)

// Second octets of generated loopback addresses.
const (
	serviceOctet = 210
	entryOctet   = 211
	hostOctet    = 212
)

// Generate generates a fleet of the given size. Equal arguments yield equal
// fleets.
func Generate(size Size, revision uint64) (*Fleet, error) {
	services := generateServices(size)
	parts, refs, err := splitParts(services, size.Parts)
	if err != nil {
		return nil, err
	}
	return &Fleet{
		Manifest: fleet.Manifest{Revision: revision, Zones: generateZones(size), Parts: refs},
		Parts:    parts,
		Lists:    generateLists(size, services),
	}, nil
}

// Config assembles the configuration from the manifest and its parts.
func (f *Fleet) Config() (*fleet.Config, error) {
	return fleet.Assemble(f.Manifest, f.Parts, false)
}

// ZoneName returns the name of the zone with index i.
func ZoneName(i int) string {
	return fmt.Sprintf("zone-%d", i+1)
}

func generateZones(size Size) []fleet.Zone {
	zones := make([]fleet.Zone, size.Zones)
	for i := range zones {
		zones[i] = fleet.Zone{
			Name:   ZoneName(i),
			Region: fmt.Sprintf("region-%d", i%size.Regions+1),
			Number: uint8(i + 1),
		}
	}
	return zones
}

func generateServices(size Size) []fleet.Service {
	services := make([]fleet.Service, size.Services)
	for i := range services {
		services[i] = fleet.Service{
			ID:          fleet.ServiceID{Customer: fmt.Sprintf("customer-%d", i%2), Name: fmt.Sprintf("service-%d", i/2)},
			Addr:        netip.AddrPortFrom(loopbackAddr(serviceOctet, i), servicePort),
			Slots:       5,
			Connections: 2000,
			Zones:       []string{ZoneName(i % size.Zones), ZoneName((i + 1) % size.Zones)},
			Drain:       10 * time.Minute,
			Warmup:      time.Minute,
		}
	}
	return services
}

func splitParts(services []fleet.Service, count int) (map[string][]byte, []fleet.PartRef, error) {
	parts := make(map[string][]byte, count)
	refs := make([]fleet.PartRef, 0, count)
	for i := range count {
		var part fleet.Part
		for j := i; j < len(services); j += count {
			part.Services = append(part.Services, services[j])
		}
		data, err := fleet.Encode(part)
		if err != nil {
			return nil, nil, err
		}
		digest := fleet.Digest(data)
		parts[digest] = data
		refs = append(refs, fleet.PartRef{Name: fmt.Sprintf("part-%d", i), Digest: digest, Size: len(data)})
	}
	return parts, refs, nil
}

func generateLists(size Size, services []fleet.Service) map[string]fleet.VMList {
	lists := make(map[string]fleet.VMList, size.Zones)
	for i := range size.Zones {
		lists[ZoneName(i)] = fleet.VMList{Zone: ZoneName(i), Version: 1}
	}
	add := func(vm fleet.VM) {
		list := lists[vm.Zone]
		list.VMs = append(list.VMs, vm)
		lists[vm.Zone] = list
	}
	for i := range size.Entries {
		add(newVM("entry", i, ZoneName(i%size.Zones), fleet.RoleEntry, fleet.ServiceID{}))
	}
	for i := range size.Hosts {
		service := services[i%len(services)]
		zone := service.Zones[i/len(services)%len(service.Zones)]
		add(newVM("host", i, zone, fleet.RoleAgent, service.ID))
	}
	return lists
}

// newVM returns a live VM with index i among the VMs of its role.
func newVM(prefix string, i int, zone string, role fleet.Role, service fleet.ServiceID) fleet.VM {
	octet := byte(entryOctet)
	if role == fleet.RoleAgent {
		octet = hostOctet
	}
	ip := loopbackAddr(octet, i)
	return fleet.VM{
		ID:      fmt.Sprintf("%s-%d", prefix, i),
		Addr:    netip.AddrPortFrom(ip, tunnelPort),
		Mesh:    netip.AddrPortFrom(ip, meshPort),
		Zone:    zone,
		Role:    role,
		Service: service,
		State:   fleet.VMLive,
	}
}

// loopbackAddr returns the address with index i in the network
// 127.octet.0.0/16. Addresses are in the loopback range so that a process
// started with a generated fleet cannot contact real hosts.
func loopbackAddr(octet byte, i int) netip.Addr {
	const perOctet = 250
	return netip.AddrFrom4([4]byte{127, octet, byte(i / perOctet), byte(i%perOctet + 1)})
}
