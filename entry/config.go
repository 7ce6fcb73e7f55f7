// Package entry implements the entry, the process that receives callers'
// packets first. An entry is a stateless forwarder: it chooses the destination
// agent of packets of established flows by their connection IDs and of packets
// of new flows by rendezvous hashing. It never terminates a flow and holds no
// flow table.
//
// A host is an agent with its backend server, as listed by the platform. Each
// new flow has a first-choice host, to which its packets are sent, and a
// second-choice host, to which the first choice may forward them. The control
// goroutine publishes immutable views, by which the forwarding goroutines place
// packets.
package entry

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/mesh"
)

// Config holds the settings of an entry.
type Config struct {
	// Self describes the entry's VM. Self.Addr is the address of its tunnel
	// socket.
	Self fleet.VM
	// Listen lists the sockets that receive callers' packets.
	Listen []Listener
	// AgentNetworks lists the networks that contain the agents. Packets are
	// forwarded only to addresses in them.
	AgentNetworks []netip.Prefix
	// Workers is the number of forwarding goroutines for each listener.
	Workers int
	// BatchSize is the maximum number of packets received by one system call.
	BatchSize int
	// SuspectAfter is how long a load report may be overdue before the host
	// receives no new flows.
	SuspectAfter time.Duration
	// Mesh holds the settings of the links to other processes.
	Mesh mesh.Config
	// Control holds the settings for disseminating the configuration.
	Control dissemination.Config
	// StopGrace is how long a stopping entry continues to forward packets.
	StopGrace time.Duration
}

// Listener is one socket that receives callers' packets.
type Listener struct {
	// Addr is the address to bind. An unspecified IP receives packets for any
	// local address.
	Addr netip.AddrPort
	// ServicePort is the port under which services are declared, for
	// deployments in which the network fabric translates the destination port.
	ServicePort uint16
}

// DefaultConfig returns defaults for all settings that operators need not set.
func DefaultConfig() Config {
	return Config{
		Workers:      1,
		BatchSize:    64,
		SuspectAfter: 2 * time.Second,
		Mesh:         mesh.DefaultConfig(),
		Control:      dissemination.DefaultConfig(),
		StopGrace:    5 * time.Second,
	}
}
