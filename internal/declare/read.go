package declare

import (
	"math"
	"slices"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Values of the setting for the state of a zone.
const (
	stateIn  = "in"
	stateOut = "out"
)

// readZones reads one zone from each section. The name of the section is that
// of the zone.
func (d *Declarations) readZones(file *inifile.File) error {
	for _, section := range file.Sections() {
		if !fleet.ValidName(section) {
			file.FailSection(section, nameRule)
		}
		file.Required(section, "state", stateIn+" or "+stateOut)
		zone := fleet.Zone{
			Name:   section,
			Region: file.Required(section, "region", "the region's name"),
			Number: uint8(file.RequiredNumber(section, "number", 1, math.MaxUint8)),
			Out:    file.OneOf(section, "state", "", stateIn, stateOut) == stateOut,
		}
		if !fleet.ValidName(zone.Region) {
			file.Fail(section, "region", zone.Region, nameRule)
		}
		if other, found := d.Zone(zone.Name); found {
			file.FailSection(section, "a name of its own; "+d.describeLocation(zoneKey(other.Name))+" has it")
		}
		d.Zones = append(d.Zones, zone)
		d.recordLocation(zoneKey(zone.Name), file, section)
	}
	return file.Finish()
}

// readServices reads one service from each section. The name of the section is
// the service's ID, customer/name.
func (d *Declarations) readServices(file *inifile.File) error {
	for _, section := range file.Sections() {
		id, err := fleet.ParseServiceID(section)
		if err != nil {
			file.FailSection(section, "[customer/name], where each has "+nameRule)
			break
		}
		if _, found := d.locations[serviceKey(id)]; found {
			file.FailSection(section, "a name of its own; "+d.describeLocation(serviceKey(id))+" has it")
		}
		d.Services = append(d.Services, readService(file, section, id))
		d.recordLocation(serviceKey(id), file, section)
	}
	return file.Finish()
}

func readService(file *inifile.File, section string, id fleet.ServiceID) fleet.Service {
	file.Required(section, "zones", "the names of availability zones")
	service := fleet.Service{
		ID:          id,
		Addr:        file.AddrPort(section, "address", "IP:port as callers use it, such as 192.0.2.10:443"),
		Slots:       file.RequiredNumber(section, "slots", 1, fleet.MaxSlots),
		Connections: file.RequiredNumber(section, "connections", 1, fleet.MaxConnections),
		Zones:       file.List(section, "zones"),
		Drain:       file.Duration(section, "drain", defaultDrain, 0, fleet.MaxDrain),
		Warmup:      file.Duration(section, "warmup", defaultWarmup, 0, fleet.MaxWarmup),
		Idempotent:  file.Bool(section, "idempotent", false),
		Streams:     file.List(section, "streams"),
	}
	slices.Sort(service.Zones)
	slices.Sort(service.Streams)
	return service
}

func (d *Declarations) recordLocation(key string, file *inifile.File, section string) {
	d.locations[key] = location{file: file, section: section}
}

// describeLocation returns the section and file of a declaration as text for an
// error message.
func (d *Declarations) describeLocation(key string) string {
	loc := d.locations[key]
	return "[" + loc.section + "] in " + loc.file.Path()
}

func zoneKey(name string) string {
	return "zone " + name
}

func serviceKey(id fleet.ServiceID) string {
	return "service " + id.String()
}

const nameRule = "1 to 63 lower-case letters, digits and inner hyphens"
