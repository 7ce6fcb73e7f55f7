// Package agent implements the agent, the process that runs next to each backend
// server. An agent terminates the callers' QUIC connections (flows), issues
// their connection IDs, applies admission control to requests and proxies them
// to the backend server.
//
// A host is an agent with its backend server. Entries send the packets of a new
// flow to the flow's first-choice host, which accepts the flow, refuses it or
// forwards its packets to the second-choice host.
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
	// ReturnAddr is the source address of the packets that are sent directly to
	// callers.
	ReturnAddr netip.AddrPort
	// Backend is the base URL of the backend server.
	Backend string
	// TLS holds the service's certificate.
	TLS *tls.Config
	// QueueWait bounds how long a request waits for a slot.
	QueueWait time.Duration
	// RequestTimeout bounds a request that has no deadline of its own.
	RequestTimeout time.Duration
	// StallTimeout bounds how long a write to the caller may block while the
	// response occupies a slot.
	StallTimeout time.Duration
	// FirstRequestTimeout bounds the time from the start of a flow to its first
	// request.
	FirstRequestTimeout time.Duration
	// ReportInterval is the minimum time between two load reports to an entry.
	// Changes of the host's state are reported without this delay.
	ReportInterval time.Duration
	// IdleTimeout is the QUIC idle timeout of a flow.
	IdleTimeout time.Duration
	// HealthInterval is the time between two checks of the backend server's
	// health endpoint.
	HealthInterval time.Duration
	// LeaveGrace is the time between the decision to leave and the GOAWAY on
	// established flows. It gives entries time to learn that the host is leaving.
	LeaveGrace time.Duration
	// Mesh holds the settings of the control connections to other processes.
	Mesh mesh.Config
	// Control holds the settings of the dissemination of the configuration.
	Control dissemination.Config
}

// DefaultConfig returns the default settings. The fields that have no default
// are left unset: Self, ReturnAddr, Backend and TLS.
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
