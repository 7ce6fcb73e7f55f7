package demo

import (
	"fmt"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// Services of the two customers. Both customers have a service named "proofs".
var (
	ordering    = fleet.ServiceID{Customer: "quillhaven", Name: "ordering"}
	quillProofs = fleet.ServiceID{Customer: "quillhaven", Name: "proofs"}
	press       = fleet.ServiceID{Customer: "teifi", Name: "press"}
	teifiProofs = fleet.ServiceID{Customer: "teifi", Name: "proofs"}
)

// Declared settings of every service.
const (
	drainTimeout = 8 * time.Second
	warmupTime   = 4 * time.Second
	connections  = 2000
)

// Behaviour of the simulated backend servers.
const (
	coldStartTime = time.Second
	coldSlots     = 1
	requestTime   = 40 * time.Millisecond
)

const entryCount = 4

// fleetService is a service with the size of its fleet and its load.
type fleetService struct {
	id    fleet.ServiceID
	zones []string
	hosts int
	slots int
	// submitters and feeds are the numbers of concurrent callers of each kind.
	submitters int
	feeds      int
}

var (
	midlands   = []string{"midlands-1", "midlands-2", "midlands-3", "midlands-4"}
	ceredigion = []string{"ceredigion-1", "ceredigion-2", "ceredigion-3"}
)

// services returns the services of both customers.
func services() []fleetService {
	return []fleetService{
		{id: ordering, zones: midlands, hosts: 7, slots: 5, submitters: 24, feeds: 7},
		{id: quillProofs, zones: midlands, hosts: 4, slots: 5, submitters: 10, feeds: 2},
		{id: press, zones: ceredigion, hosts: 7, slots: 2, submitters: 12, feeds: 7},
		{id: teifiProofs, zones: ceredigion, hosts: 3, slots: 2, submitters: 4, feeds: 2},
	}
}

// zones returns the declared availability zones of both regions.
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

// entryZone returns the zone of entry i; entries alternate between the two
// regions.
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
		Drain:       drainTimeout,
		Warmup:      warmupTime,
		Streams:     []string{callers.FeedPath},
	}
}

func (s fleetService) backendConfig() backend.Config {
	return backend.Config{
		Slots:       s.slots,
		ColdSlots:   coldSlots,
		Warmup:      coldStartTime,
		ServiceTime: requestTime,
	}
}

// hostName returns the name of host i of the service.
func (s fleetService) hostName(i int) string {
	return fmt.Sprintf("%s-%s-%d", s.id.Customer, s.id.Name, i+1)
}

// hostZone returns the zone of host i; hosts are distributed evenly over the
// zones.
func (s fleetService) hostZone(i int) string {
	return s.zones[i%len(s.zones)]
}
