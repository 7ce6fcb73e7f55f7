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

// ParseServiceID reads the form "customer/name".
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

// Tag returns the 32-bit tag that stands for the service in connection IDs
// and tunnel headers. Validate refuses a configuration in which two services
// share a tag.
func (id ServiceID) Tag() uint32 {
	return uint32(xxhash.Sum64String(id.String()))
}

// Service is one declared service.
type Service struct {
	ID ServiceID `json:"id"`
	// Addr is the address that callers use.
	Addr netip.AddrPort `json:"addr"`
	// Slots is the number of requests that one host serves at a time.
	Slots int `json:"slots"`
	// Connections is the number of flows that one host holds at a time.
	Connections int `json:"connections"`
	// Zones lists the availability zones with hosts of the service.
	Zones []string `json:"zones"`
	// Drain bounds how long a leaving host keeps its established flows.
	Drain time.Duration `json:"drain"`
	// Warmup is the time for which a started host is held to a small share of
	// its slots. Then it rises to all of them step by step.
	Warmup time.Duration `json:"warmup"`
	// Idempotent tells that a request may be repeated without harm.
	Idempotent bool `json:"idempotent"`
	// Streams lists path prefixes whose answers are long streams. They count
	// against Connections and not against Slots.
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
