package entry

import (
	"net/netip"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/placement"
)

// View is the immutable snapshot that traffic goroutines place packets by.
type View struct {
	// Revision is the configuration revision in force.
	Revision uint64
	// Keys are the keys in use.
	Keys *keyring.Keys
	// ConnIDs decodes connection IDs.
	ConnIDs *connid.Codec
	// Services holds the services by the address that callers use.
	Services map[netip.AddrPort]*ServiceView
	// ZonesOut holds the zone numbers into which no packet may go.
	ZonesOut [256]bool
	// AgentNetworks bounds the addresses of owners.
	AgentNetworks []netip.Prefix
}

// ServiceView is one service in a View.
type ServiceView struct {
	Tag uint32
	// Candidates and Hosts have the same order.
	Candidates []placement.Candidate
	Hosts      []HostView
	// FailOpen tells that silent hosts are among the candidates, since
	// too few answer.
	FailOpen bool
}

// HostView is one eligible host in a View.
type HostView struct {
	Addr netip.AddrPort
	// Zone is the number of the host's availability zone.
	Zone uint8

	shared *sharedHost
}

// hasHosts reports whether a service has a host that takes new flows.
func (v *View) hasHosts() bool {
	for _, service := range v.Services {
		if len(service.Hosts) > 0 {
			return true
		}
	}
	return false
}
