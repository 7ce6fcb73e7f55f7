// Package entry is the role that callers' packets reach first. An entry is a
// stateless forwarder: it places packets of established flows by their
// connection IDs and packets of new flows by rendezvous hashing. It never
// terminates a flow and holds no flow table.
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
	// AgentNetworks bounds the addresses to which packets are forwarded.
	AgentNetworks []netip.Prefix
	// Workers is the number of traffic goroutines for each socket.
	Workers int
	// BatchSize is the number of packets received by one system call.
	BatchSize int
	// SuspectAfter is how long a host may owe a report before it is avoided.
	SuspectAfter time.Duration
	// Mesh holds the settings of the links to other processes.
	Mesh mesh.Config
	// Control tells how the entry takes part in spreading the configuration.
	Control dissemination.Config
	// StopGrace is how long a stopping entry goes on forwarding.
	StopGrace time.Duration
}

// Listener is one socket that receives callers' packets.
type Listener struct {
	// Addr is the address to bind. An unspecified IP receives packets for
	// any address.
	Addr netip.AddrPort
	// ServicePort is the port under which services are declared, where the
	// fabric translates it.
	ServicePort uint16
}

// DefaultConfig returns the settings that need no value from operators.
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
