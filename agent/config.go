// Package agent is the role beside each backend server. An agent terminates
// callers' QUIC flows, issues their connection IDs, admits requests and hands
// them to the backend server.
package agent

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/mesh"
)

// Config holds the settings of an agent.
type Config struct {
	// Self describes the agent's VM. Self.Addr is the address of its tunnel
	// socket and Self.Service the service of its backend server.
	Self fleet.VM
	// ReturnAddr is the source address of packets to callers.
	ReturnAddr netip.AddrPort
	// Backend is the base URL of the backend server.
	Backend string
	// TLS holds the service's certificate.
	TLS *tls.Config
	// QueueWait bounds how long a request waits for a slot.
	QueueWait time.Duration
	// RequestTimeout bounds a request that brings no deadline of its own.
	RequestTimeout time.Duration
	// StallTimeout bounds how long a caller may take nothing of an answer
	// that holds a slot.
	StallTimeout time.Duration
	// FirstRequestTimeout bounds how long a flow may be without its first request.
	FirstRequestTimeout time.Duration
	// ReportInterval is the least time between two load reports to an entry.
	ReportInterval time.Duration
	// IdleTimeout is how long a silent flow is kept.
	IdleTimeout time.Duration
	// HealthInterval is the time between two looks at the backend server's
	// health endpoint.
	HealthInterval time.Duration
	// LeaveGrace is the time between the decision to leave and the GOAWAY on
	// established flows, in which entries learn of it.
	LeaveGrace time.Duration
	// Mesh holds the settings of the links to other processes.
	Mesh mesh.Config
	// Control tells how the agent takes part in spreading the configuration.
	Control dissemination.Config
}

// DefaultConfig returns the settings that need no value from operators.
func DefaultConfig() Config {
	return Config{
		QueueWait:           500 * time.Millisecond,
		RequestTimeout:      30 * time.Second,
		StallTimeout:        10 * time.Second,
		FirstRequestTimeout: 10 * time.Second,
		ReportInterval:      250 * time.Millisecond,
		IdleTimeout:         60 * time.Second,
		HealthInterval:      500 * time.Millisecond,
		LeaveGrace:          time.Second,
		Mesh:                mesh.DefaultConfig(),
		Control:             dissemination.DefaultConfig(),
	}
}
