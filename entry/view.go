package entry

import (
	"net/netip"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/placement"
)

// View is the immutable snapshot by which forwarding goroutines place packets.
type View struct {
	// Revision is the configuration revision in force.
	Revision uint64
	// Keys is the key set from which ConnIDs and the tunnel codecs are built.
	Keys *keyring.Keys
	// ConnIDs decodes the connection IDs that agents issue.
	ConnIDs *connid.Codec
	// Services holds the services by the address that callers use.
	Services map[netip.AddrPort]*ServiceView
	// ZonesOut is indexed by zone number and is true for each zone to which no
	// packet may be sent.
	ZonesOut [256]bool
	// AgentNetworks lists the networks in which the address of a flow's owner
	// must be.
	AgentNetworks []netip.Prefix
}

// ServiceView is one service in a View.
type ServiceView struct {
	Tag uint32
	// Candidates and Hosts describe the same hosts in the same order.
	Candidates []placement.Candidate
	Hosts      []HostView
	// FailOpen is whether silent hosts are among the candidates because too
	// few hosts answer.
	FailOpen bool
}

// HostView is one eligible host in a View.
type HostView struct {
	Addr netip.AddrPort
	// Zone is the number of the host's availability zone.
	Zone uint8

	shared *sharedHost
}

// hasHosts reports whether any service has a host that receives new flows.
func (v *View) hasHosts() bool {
	for _, service := range v.Services {
		if len(service.Hosts) > 0 {
			return true
		}
	}
	return false
}
