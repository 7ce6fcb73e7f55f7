package fleet

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceID qualifies a service name by its customer, so that two customers
// may use the same name.
type ServiceID struct {
	Customer string `json:"customer"`
	Name     string `json:"name"`
}

// ParseServiceID parses an ID of the form "customer/name". The error is a
// *NameError.
func ParseServiceID(s string) (ServiceID, error) {
	customer, name, found := strings.Cut(s, "/")
	if !found || !ValidName(customer) || !ValidName(name) {
		return ServiceID{}, &NameError{Value: s}
	}
	return ServiceID{Customer: customer, Name: name}, nil
}

// String returns "customer/name".
func (id ServiceID) String() string {
	return id.Customer + "/" + id.Name
}

// IsZero reports whether the ID names no service.
func (id ServiceID) IsZero() bool {
	return id == ServiceID{}
}

// Tag returns the 32-bit hash that identifies the service in connection IDs and
// tunnel headers. Validate rejects a configuration in which two services have
// the same tag.
func (id ServiceID) Tag() uint32 {
	return uint32(xxhash.Sum64String(id.String()))
}

// Service is one declared service.
type Service struct {
	ID ServiceID `json:"id"`
	// Addr is the address that callers use.
	Addr netip.AddrPort `json:"addr"`
	// Slots is the maximum number of requests that one host serves at a time.
	Slots int `json:"slots"`
	// Connections is the maximum number of flows that one host holds at a time.
	Connections int `json:"connections"`
	// Zones lists the availability zones with hosts of the service.
	Zones []string `json:"zones"`
	// Drain is the maximum time for which a leaving host keeps its established
	// flows.
	Drain time.Duration `json:"drain"`
	// Warmup is the time after its start for which a host may use only a small
	// share of its slots. The share then rises in steps to all of them.
	Warmup time.Duration `json:"warmup"`
	// Idempotent reports whether requests may safely be repeated.
	Idempotent bool `json:"idempotent"`
	// Streams lists the path prefixes whose responses are long-lived streams.
	// Their requests count against Connections and not against Slots.
	Streams []string `json:"streams,omitempty"`
}

// ValidName reports whether s may name a customer, service, zone or region:
// 1 to 63 lower-case letters, digits and inner hyphens.
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > maxNameLength {
		return false
	}
	if s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, r := range s {
		lower := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !lower && !digit && r != '-' {
			return false
		}
	}
	return true
}

const maxNameLength = 63
