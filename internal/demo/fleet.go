package demo

import (
	"fmt"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// Services of the two customers. Both call one of theirs "proofs".
var (
	ordering    = fleet.ServiceID{Customer: "quillhaven", Name: "ordering"}
	quillProofs = fleet.ServiceID{Customer: "quillhaven", Name: "proofs"}
	press       = fleet.ServiceID{Customer: "teifi", Name: "press"}
	teifiProofs = fleet.ServiceID{Customer: "teifi", Name: "proofs"}
)

// Wishes that every service declares.
const (
	drainWish   = 8 * time.Second
	warmupWish  = 4 * time.Second
	connections = 2000
)

// Behaviour of the backend servers.
const (
	coldStart   = time.Second
	coldSlots   = 1
	requestWork = 40 * time.Millisecond
)

const entryCount = 4

// fleetService is a service with the size of its fleet.
type fleetService struct {
	id    fleet.ServiceID
	zones []string
	hosts int
	slots int
	// submitters and feeds are the callers of the service.
	submitters int
	feeds      int
}

var (
	midlands   = []string{"midlands-1", "midlands-2", "midlands-3", "midlands-4"}
	ceredigion = []string{"ceredigion-1", "ceredigion-2", "ceredigion-3"}
)

// services are both customers' services at today's sizes.
func services() []fleetService {
	return []fleetService{
		{id: ordering, zones: midlands, hosts: 7, slots: 5, submitters: 24, feeds: 7},
		{id: quillProofs, zones: midlands, hosts: 4, slots: 5, submitters: 10, feeds: 2},
		{id: press, zones: ceredigion, hosts: 7, slots: 2, submitters: 12, feeds: 7},
		{id: teifiProofs, zones: ceredigion, hosts: 3, slots: 2, submitters: 4, feeds: 2},
	}
}

// zones returns the declared availability zones.
func zones() []fleet.Zone {
	var all []fleet.Zone
	for _, name := range midlands {
		all = append(all, fleet.Zone{Name: name, Region: "midlands", Number: uint8(len(all) + 1)})
	}
	for _, name := range ceredigion {
		all = append(all, fleet.Zone{Name: name, Region: "ceredigion", Number: uint8(len(all) + 1)})
	}
	return all
}

// entryZone spreads the entries over both regions.
func entryZone(i int) string {
	if i%2 == 0 {
		return midlands[i/2%len(midlands)]
	}
	return ceredigion[i/2%len(ceredigion)]
}

func (s fleetService) declaration() fleet.Service {
	return fleet.Service{
		ID:          s.id,
		Slots:       s.slots,
		Connections: connections,
		Zones:       s.zones,
		Drain:       drainWish,
		Warmup:      warmupWish,
		Streams:     []string{callers.FeedPath},
	}
}

func (s fleetService) backend() backend.Config {
	return backend.Config{
		Slots:       s.slots,
		ColdSlots:   coldSlots,
		Warmup:      coldStart,
		ServiceTime: requestWork,
	}
}

// host names host i of the service.
func (s fleetService) host(i int) string {
	return fmt.Sprintf("%s-%s-%d", s.id.Customer, s.id.Name, i+1)
}

func (s fleetService) zone(i int) string {
	return s.zones[i%len(s.zones)]
}
