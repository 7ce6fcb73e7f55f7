package fleet

import (
	"net/netip"
	"strings"
	"time"
)

// Limits that Validate enforces.
const (
	MaxSlots       = 10_000
	MaxConnections = 1_000_000
	MaxDrain       = 24 * time.Hour
	MaxWarmup      = time.Hour
)

// Validate checks each zone and service and that they do not conflict. It
// depends only on its arguments, so all nodes accept or reject the same
// configurations. The error is a *ServiceError, *ZoneError or *ConflictError.
func Validate(zones []Zone, services []Service) error {
	names := make(map[string]bool, len(zones))
	numbers := make(map[uint8]bool, len(zones))
	for _, zone := range zones {
		if !ValidName(zone.Name) || !ValidName(zone.Region) {
			return &ZoneError{Zone: zone.Name, Reason: "name or region is not a valid name"}
		}
		if names[zone.Name] {
			return &ZoneError{Zone: zone.Name, Reason: "is declared twice"}
		}
		if zone.Number == 0 || numbers[zone.Number] {
			return &ZoneError{Zone: zone.Name, Reason: "number must be 1 to 255 and its own"}
		}
		names[zone.Name] = true
		numbers[zone.Number] = true
	}
	for _, service := range services {
		if err := validateService(service, names); err != nil {
			return err
		}
	}
	return validateUnique(services)
}

func validateService(s Service, zones map[string]bool) error {
	fail := func(field, reason string) error {
		return &ServiceError{Service: s.ID, Field: field, Reason: reason}
	}
	switch {
	case !ValidName(s.ID.Customer) || !ValidName(s.ID.Name):
		return fail("name", "customer and name take lower-case letters, digits and hyphens")
	case !s.Addr.Addr().Is4() || s.Addr.Port() == 0 || s.Addr.Addr().IsUnspecified():
		return fail("address", "must be an IPv4 address and a port")
	case s.Slots < 1 || s.Slots > MaxSlots:
		return fail("slots", "must be 1 to 10000")
	case s.Connections < 1 || s.Connections > MaxConnections:
		return fail("connections", "must be 1 to 1000000")
	case s.Drain < 0 || s.Drain > MaxDrain:
		return fail("drain", "must be 0s to 24h")
	case s.Warmup < 0 || s.Warmup > MaxWarmup:
		return fail("warmup", "must be 0s to 1h")
	case len(s.Zones) == 0:
		return fail("zones", "must name at least one availability zone")
	}
	for _, zone := range s.Zones {
		if !zones[zone] {
			return fail("zones", "zone "+zone+" is not declared")
		}
	}
	for _, prefix := range s.Streams {
		if !strings.HasPrefix(prefix, "/") {
			return fail("streams", "path prefix "+prefix+" must begin with a slash")
		}
	}
	return nil
}

func validateUnique(services []Service) error {
	ids := make(map[ServiceID]bool, len(services))
	tags := make(map[uint32]ServiceID, len(services))
	addrs := make(map[netip.AddrPort]ServiceID, len(services))
	for _, s := range services {
		if ids[s.ID] {
			return &ConflictError{First: s.ID, Second: s.ID, Property: "name"}
		}
		if other, found := tags[s.ID.Tag()]; found {
			return &ConflictError{First: other, Second: s.ID, Property: "tag"}
		}
		if other, found := addrs[s.Addr]; found {
			return &ConflictError{First: other, Second: s.ID, Property: "address " + s.Addr.String()}
		}
		ids[s.ID] = true
		tags[s.ID.Tag()] = s.ID
		addrs[s.Addr] = s.ID
	}
	return nil
}

func compareServiceIDs(a, b ServiceID) int {
	if byCustomer := strings.Compare(a.Customer, b.Customer); byCustomer != 0 {
		return byCustomer
	}
	return strings.Compare(a.Name, b.Name)
}
